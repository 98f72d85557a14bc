"""Keep the documents and the outcome of every change as replicated state."""

import itertools
from collections import deque
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
MAX_HISTORY_PER_DOCUMENT = 50


class DocumentTable:
    """Apply document commands in log order."""

    def __init__(self):
        self._documents: dict[ServiceName, HeldDocument] = {}
        self._replies: dict[ChangeId, PutReply] = {}
        self._history: dict[ServiceName, deque[HistoryEntry]] = {}

    def put(self, command: PutDocument, index: LogIndex) -> PutReply:
        """Accept the change, or tell who wrote the revision in its way."""
        known = self._replies.get(command.change_id)
        if known is not None:
            return known
        reply = self._put_new(command, index)
        self._replies[command.change_id] = reply
        if len(self._replies) > MAX_REPLIES:
            del self._replies[next(iter(self._replies))]
        return reply

    def _put_new(self, command: PutDocument, index: LogIndex) -> PutReply:
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
        self._record(command, revision, index)
        return PutReply(PutOutcome.ACCEPTED, revision, command.author)

    def _record(
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

    def after(self, index: LogIndex) -> tuple[HeldDocument, ...]:
        """Return the documents accepted after an index."""
        return tuple(d for d in self._documents.values() if d.index > index)

    def history(self, service: ServiceName) -> tuple[HistoryEntry, ...]:
        """Return who put the latest revisions of a document, oldest first."""
        return tuple(self._history.get(service, ()))

    def state(self) -> bytes:
        """Write the whole table for a snapshot."""
        replies = tuple(
            KnownReply(change, reply.outcome, reply.revision, reply.author)
            for change, reply in self._replies.items()
        )
        history = tuple(itertools.chain.from_iterable(self._history.values()))
        documents = tuple(self._documents.values())
        return encode(SCHEMA.TableState, TableState(documents, replies, history))

    def restore(self, data: bytes) -> None:
        """Take over the table of a snapshot."""
        state = decode(SCHEMA.TableState, TableState, data)
        self._documents = {held.service: held for held in state.documents}
        self._replies = {
            known.change_id: PutReply(known.outcome, known.revision, known.author)
            for known in state.replies
        }
        self._history = {}
        for entry in state.history:
            self._add_history(entry)
