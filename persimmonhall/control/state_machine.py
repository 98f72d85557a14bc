"""Apply the commands of the log to the replicated state."""

from collections.abc import Iterator

from persimmonhall.control.messages import Command, CommandReply, NoOp, NoReply
from persimmonhall.control.snapshot import Table, encode_blocks, restore_block
from persimmonhall.departure.messages import RecordDeparture
from persimmonhall.departure.table import DepartureTable
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
    """Hold the replicated state: documents, claims, releases and departures."""

    def __init__(self, index: LogIndex = LogIndex(0)):
        self._documents = DocumentTable()
        self._claims = ClaimTable()
        self._releases = ReleaseTable()
        self._departures = DepartureTable()
        self._tables: dict[str, Table] = {
            "documents": self._documents,
            "claims": self._claims,
            "releases": self._releases,
            "departures": self._departures,
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
    def departures(self) -> DepartureTable:
        """Return the departures of backend servers."""
        return self._departures

    @property
    def index(self) -> LogIndex:
        """Return the index of the last applied entry."""
        return self._index

    @property
    def row_count(self) -> int:
        """Return the approximate number of rows in a snapshot."""
        tables = (self._claims, self._documents, self._releases, self._departures)
        return sum(table.count for table in tables)

    def apply(self, command: Command, index: LogIndex) -> CommandReply:
        """Apply one command in log order."""
        self._index = index
        match command:
            case PutDocument():
                return self._documents.put(command, index)
            case PutRelease():
                return self._releases.put(command, index)
            case RecordDeparture():
                self._departures.record(command)
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
        """Advance the index past an entry without a command."""
        self._index = index

    def blocks(self) -> Iterator[bytes]:
        """Encode the state as of this call, block by block."""
        return encode_blocks(self._tables)

    def restore(self, block: bytes) -> None:
        """Restore the next block of a snapshot."""
        restore_block(block, self._tables)
