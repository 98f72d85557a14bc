"""Match applied log entries with the commands that are awaiting them."""

from dataclasses import dataclass, field

import trio
from returns.result import Failure, Result, Success

from persimmonhall.control.messages import CommandReply
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import LogIndex, Term


@dataclass
class PendingCommand:
    """Represent a command whose entry is not yet applied or replaced."""

    term: Term
    done: trio.Event = field(default_factory=trio.Event)
    result: Result[CommandReply, Refusal] | None = None

    def set_result(self, result: Result[CommandReply, Refusal]) -> None:
        """Set the result and wake the caller that waits for it."""
        self.result = result
        self.done.set()


class PendingCommands:
    """Hold the commands that this replica appended and has not yet applied."""

    def __init__(self):
        self._by_index: dict[LogIndex, PendingCommand] = {}

    async def wait(self, index: LogIndex, term: Term) -> Result[CommandReply, Refusal]:
        """Wait for the entry at an index and return its reply."""
        pending = self._by_index[index] = PendingCommand(term)
        try:
            await pending.done.wait()
        finally:
            if self._by_index.get(index) is pending:
                del self._by_index[index]
        return pending.result

    def on_applied(
        self, index: LogIndex, term: Term, reply: CommandReply | None
    ) -> None:
        """Set the result of the command at an index."""
        pending = self._by_index.get(index)
        if pending is None:
            return
        if pending.term == term and reply is not None:
            pending.set_result(Success(reply))
        else:
            refusal = refuse(ErrorKind.NOT_LEADER, "another leader took over")
            pending.set_result(Failure(refusal))

    def on_snapshot_restored(self, up_to: LogIndex) -> None:
        """Refuse commands whose outcome is unknown because a snapshot covers them."""
        for index, pending in self._by_index.items():
            if index <= up_to:
                detail = "another leader took over"
                refusal = refuse(ErrorKind.NOT_LEADER, detail, ran=Ran.UNKNOWN)
                pending.set_result(Failure(refusal))
