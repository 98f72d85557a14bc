"""Define what a claim that waits needs of the admission to a server."""

from typing import Protocol

from returns.result import Result

from persimmonhall.errors import Refusal


class Slot(Protocol):
    """Hold the place of one admitted request at the backend server."""

    @property
    def run_s(self) -> float:
        """Return how long such a request usually runs, 0 if not known."""

    def release(self) -> None:
        """Let another request use the place for now."""

    async def reacquire(self) -> Result[None, Refusal]:
        """Be admitted again if the place was given back."""
