"""Match applied entries with the commands that wait for them."""

from dataclasses import dataclass, field

import trio
from returns.result import Failure, Result, Success

from persimmonhall.control.messages import CommandReply
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import LogIndex, Term


@dataclass
class Waiter:
    """Hold one command until its entry is applied or replaced."""

    term: Term
    done: trio.Event = field(default_factory=trio.Event)
    result: Result[CommandReply, Refusal] | None = None

    def finish(self, result: Result[CommandReply, Refusal]) -> None:
        """Set the result."""
        self.result = result
        self.done.set()


class Waiters:
    """Keep the commands that were appended here and not yet applied."""

    def __init__(self):
        self._by_index: dict[LogIndex, Waiter] = {}

    async def wait(self, index: LogIndex, term: Term) -> Result[CommandReply, Refusal]:
        """Return the reply of the entry at an index."""
        waiter = self._by_index[index] = Waiter(term)
        try:
            await waiter.done.wait()
        finally:
            if self._by_index.get(index) is waiter:
                del self._by_index[index]
        return waiter.result

    def applied(self, index: LogIndex, term: Term, reply: CommandReply | None) -> None:
        """Finish the command at an index."""
        waiter = self._by_index.get(index)
        if waiter is None:
            return
        if waiter.term == term and reply is not None:
            waiter.finish(Success(reply))
        else:
            refusal = refuse(ErrorKind.NOT_LEADER, "another leader took over")
            waiter.finish(Failure(refusal))

    def skipped(self, upto: LogIndex) -> None:
        """Finish commands whose outcome a snapshot hides."""
        for index, waiter in self._by_index.items():
            if index <= upto:
                detail = "another leader took over"
                refusal = refuse(ErrorKind.NOT_LEADER, detail, ran=Ran.UNKNOWN)
                waiter.finish(Failure(refusal))
