"""Match applied log entries with the commands that are awaiting them."""

from dataclasses import dataclass, field

import trio
from returns.result import Failure, Result, Success

from persimmonhall.control.messages import CommandReply
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import LogIndex, Term


@dataclass
class Waiter:
    """Represent a command whose entry is not yet applied or replaced."""

    term: Term
    done: trio.Event = field(default_factory=trio.Event)
    result: Result[CommandReply, Refusal] | None = None

    def finish(self, result: Result[CommandReply, Refusal]) -> None:
        """Set the result."""
        self.result = result
        self.done.set()


class Waiters:
    """Hold the commands that this replica appended and has not yet applied."""

    def __init__(self):
        self._by_index: dict[LogIndex, Waiter] = {}

    async def wait(self, index: LogIndex, term: Term) -> Result[CommandReply, Refusal]:
        """Wait for the entry at an index and return its reply."""
        waiter = self._by_index[index] = Waiter(term)
        try:
            await waiter.done.wait()
        finally:
            if self._by_index.get(index) is waiter:
                del self._by_index[index]
        return waiter.result

    def applied(self, index: LogIndex, term: Term, reply: CommandReply | None) -> None:
        """Set the result of the command at an index."""
        waiter = self._by_index.get(index)
        if waiter is None:
            return
        if waiter.term == term and reply is not None:
            waiter.finish(Success(reply))
        else:
            refusal = refuse(ErrorKind.NOT_LEADER, "another leader took over")
            waiter.finish(Failure(refusal))

    def skipped(self, upto: LogIndex) -> None:
        """Refuse commands whose outcome is unknown because a snapshot covers them."""
        for index, waiter in self._by_index.items():
            if index <= upto:
                detail = "another leader took over"
                refusal = refuse(ErrorKind.NOT_LEADER, detail, ran=Ran.UNKNOWN)
                waiter.finish(Failure(refusal))
