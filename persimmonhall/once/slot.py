"""Define the interface between waiting claims and a server's admission."""

from typing import Protocol

from returns.result import Result

from persimmonhall.errors import Refusal


class Slot(Protocol):
    """Hold the slot of one admitted request at the backend server."""

    @property
    def run_s(self) -> float:
        """Return the usual run time of such a request in seconds, 0 if not known."""

    def release(self) -> None:
        """Let another request use the slot until it is reacquired."""

    async def reacquire(self) -> Result[None, Refusal]:
        """Wait to be admitted again if the slot was released."""
