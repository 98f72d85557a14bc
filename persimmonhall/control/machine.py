"""Apply the commands of the log to the replicated state."""

from collections.abc import Iterator

from persimmonhall.control.messages import Command, CommandReply, NoOp, NoReply
from persimmonhall.control.snapshot import Table, read_block, write_blocks
from persimmonhall.document.messages import PutDocument
from persimmonhall.document.table import DocumentTable
from persimmonhall.ids import LogIndex
from persimmonhall.once.claims import ClaimTable
from persimmonhall.once.messages import (
    ClaimKey,
    ElapseTime,
    FinishKey,
    LoseClaims,
    ReleaseKey,
)
from persimmonhall.release.messages import PutRelease
from persimmonhall.release.table import ReleaseTable


class StateMachine:
    """Hold all replicated state."""

    def __init__(self, index: LogIndex = LogIndex(0)):
        self._documents = DocumentTable()
        self._claims = ClaimTable()
        self._releases = ReleaseTable()
        self._tables: dict[str, Table] = {
            "documents": self._documents,
            "claims": self._claims,
            "releases": self._releases,
        }
        self._index = index

    @property
    def documents(self) -> DocumentTable:
        """Return the documents."""
        return self._documents

    @property
    def claims(self) -> ClaimTable:
        """Return the claims."""
        return self._claims

    @property
    def releases(self) -> ReleaseTable:
        """Return the releases."""
        return self._releases

    @property
    def index(self) -> LogIndex:
        """Return the index of the last command applied."""
        return self._index

    @property
    def size(self) -> int:
        """Return how many rows a snapshot has, about."""
        return self._claims.count + self._documents.count + self._releases.count

    def apply(self, command: Command, index: LogIndex) -> CommandReply:
        """Apply one command in log order."""
        self._index = index
        match command:
            case PutDocument():
                return self._documents.put(command, index)
            case PutRelease():
                return self._releases.put(command, index)
            case ClaimKey():
                return self._claims.claim(command)
            case FinishKey():
                self._claims.finish(command)
            case ReleaseKey():
                self._claims.release(command)
            case ElapseTime():
                self._claims.advance_clock(command)
            case LoseClaims():
                self._claims.mark_lost(command)
            case NoOp():
                pass
        return NoReply()

    def skip(self, index: LogIndex) -> None:
        """Pass over an entry that holds no command."""
        self._index = index

    def blocks(self) -> Iterator[bytes]:
        """Write all state as it stands at the call, block by block."""
        return write_blocks(self._tables)

    def restore(self, block: bytes) -> None:
        """Take over the next block of a snapshot."""
        read_block(block, self._tables)
