"""Keep the documents and the outcome of every change as replicated state."""

from persimmonhall.document.messages import (
    HeldDocument,
    PutDocument,
    PutOutcome,
    PutReply,
)
from persimmonhall.ids import ChangeId, LogIndex, Revision, ServiceName


class DocumentTable:
    """Apply document commands in log order."""

    def __init__(self):
        self._documents: dict[ServiceName, HeldDocument] = {}
        self._replies: dict[ChangeId, PutReply] = {}

    def put(self, command: PutDocument, index: LogIndex) -> PutReply:
        """Accept the change, or tell who wrote the revision in its way."""
        known = self._replies.get(command.change_id)
        if known is not None:
            return known
        reply = self._put_new(command, index)
        self._replies[command.change_id] = reply
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
        return PutReply(PutOutcome.ACCEPTED, revision, command.author)

    def get(self, service: ServiceName) -> HeldDocument | None:
        """Return the document of a service."""
        return self._documents.get(service)

    def after(self, index: LogIndex) -> tuple[HeldDocument, ...]:
        """Return the documents accepted after an index."""
        return tuple(d for d in self._documents.values() if d.index > index)
