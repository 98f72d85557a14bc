"""Store documents and the outcomes of changes as replicated state."""

import itertools
from collections import deque
from collections.abc import Iterator
from pathlib import Path

from persimmonhall.document.messages import (
    HeldDocument,
    HistoryEntry,
    KnownReply,
    PutDocument,
    PutOutcome,
    PutReply,
    TableState,
)
from persimmonhall.ids import ChangeId, LogIndex, Revision, ServiceName
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("table.capnp"))
MAX_REPLIES = 5000
ROWS_PER_BLOCK = 64
MAX_HISTORY_PER_DOCUMENT = 50


class DocumentTable:
    """Apply document commands in log order."""

    def __init__(self):
        self._documents: dict[ServiceName, HeldDocument] = {}
        self._replies: dict[ChangeId, PutReply] = {}
        self._history: dict[ServiceName, deque[HistoryEntry]] = {}

    def put(self, command: PutDocument, index: LogIndex) -> PutReply:
        """Accept the change, or return the current revision and its author."""
        first_reply = self._replies.get(command.change_id)
        if first_reply is not None:
            return first_reply
        reply = self._apply_put(command, index)
        self._replies[command.change_id] = reply
        if len(self._replies) > MAX_REPLIES:
            del self._replies[next(iter(self._replies))]
        return reply

    def _apply_put(self, command: PutDocument, index: LogIndex) -> PutReply:
        held = self._documents.get(command.service)
        if held is not None and held.team != command.team:
            return PutReply(PutOutcome.FORBIDDEN, held.revision, held.author)
        current = held.revision if held is not None else Revision(0)
        if command.expected_revision != current:
            author = held.author if held is not None else ""
            return PutReply(PutOutcome.CONFLICT, current, author)
        revision = Revision(current + 1)
        self._documents[command.service] = HeldDocument(
            service=command.service,
            revision=revision,
            text=command.text,
            team=command.team,
            author=command.author,
            change_id=command.change_id,
            index=index,
        )
        self._record_change(command, revision, index)
        return PutReply(PutOutcome.ACCEPTED, revision, command.author)

    def _record_change(
        self, command: PutDocument, revision: Revision, index: LogIndex
    ) -> None:
        entry = HistoryEntry(
            service=command.service,
            revision=revision,
            author=command.author,
            team=command.team,
            change_id=command.change_id,
            index=index,
            at_ms=command.at_ms,
        )
        self._add_history(entry)

    def _add_history(self, entry: HistoryEntry) -> None:
        history = self._history.setdefault(
            entry.service, deque(maxlen=MAX_HISTORY_PER_DOCUMENT)
        )
        history.append(entry)

    def get(self, service: ServiceName) -> HeldDocument | None:
        """Return the document of a service."""
        return self._documents.get(service)

    def accepted_after(self, index: LogIndex) -> tuple[HeldDocument, ...]:
        """Return the documents accepted after an index."""
        return tuple(d for d in self._documents.values() if d.index > index)

    def history(self, service: ServiceName) -> tuple[HistoryEntry, ...]:
        """Return the latest history entries of a document, oldest first."""
        return tuple(self._history.get(service, ()))

    @property
    def count(self) -> int:
        """Return the number of documents."""
        return len(self._documents)

    def blocks(self) -> Iterator[bytes]:
        """Encode the table as of the call, some rows in each block."""
        # Rows are immutable and only replaced, so shallow copies are sufficient.
        documents = tuple(self._documents.values())
        replies = tuple(self._replies.items())
        history = tuple(itertools.chain.from_iterable(self._history.values()))
        return _encode_blocks(documents, replies, history)

    def restore(self, block: bytes) -> None:
        """Add the rows of the next block of an encoded table."""
        state = decode(SCHEMA.TableState, TableState, block)
        for held in state.documents:
            self._documents[held.service] = held
        for known in state.replies:
            reply = PutReply(known.outcome, known.revision, known.author)
            self._replies[known.change_id] = reply
        for entry in state.history:
            self._add_history(entry)


def _encode_blocks(documents: tuple, replies: tuple, history: tuple) -> Iterator[bytes]:
    for rows in _split_rows(documents):
        yield _encode_block(TableState(rows, (), ()))
    for rows in _split_rows(replies):
        known = tuple(KnownReply(c, r.outcome, r.revision, r.author) for c, r in rows)
        yield _encode_block(TableState((), known, ()))
    for rows in _split_rows(history):
        yield _encode_block(TableState((), (), rows))


def _encode_block(state: TableState) -> bytes:
    return encode(SCHEMA.TableState, state)


def _split_rows(rows: tuple) -> Iterator[tuple]:
    for start in range(0, len(rows), ROWS_PER_BLOCK):
        yield rows[start : start + ROWS_PER_BLOCK]
