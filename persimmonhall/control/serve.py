"""Answer nodes over frames."""

from returns.result import Failure, Success

from persimmonhall.control.messages import (
    ASKS,
    COMMAND_REPLIES,
    COMMANDS,
    REPLIES,
    Declined,
    Documents,
    FetchDocuments,
    Submit,
    Submitted,
)
from persimmonhall.control.replica import Replica


class ControlService:
    """Serve the asks of nodes from a replica."""

    def __init__(self, replica: Replica):
        self._replica = replica

    async def handle(self, payload: bytes) -> bytes:
        """Answer one ask."""
        match ASKS.decode(payload):
            case FetchDocuments(after):
                return REPLIES.encode(self._documents(after))
            case Submit(command):
                return REPLIES.encode(await self._submit(command))

    def _documents(self, after) -> Documents:
        machine = self._replica.machine
        return Documents(machine.index, machine.documents.after(after))

    async def _submit(self, command: bytes) -> Submitted | Declined:
        match await self._replica.submit(COMMANDS.decode(command)):
            case Success(reply):
                return Submitted(COMMAND_REPLIES.encode(reply))
            case Failure(refusal):
                return Declined(refusal.kind, refusal.detail, refusal.ran)
