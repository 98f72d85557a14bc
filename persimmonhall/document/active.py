"""Store the active documents of a node."""

from dataclasses import dataclass

from absl import logging
from returns.result import Success

from persimmonhall.document.messages import HeldDocument
from persimmonhall.document.schema import Document, parse_document
from persimmonhall.ids import LogIndex, Revision, ServiceName


@dataclass(frozen=True)
class ActiveDocument:
    """Pair a parsed document with its accepted revision."""

    document: Document
    held: HeldDocument


class ActiveDocuments:
    """Apply only newer revisions, in whatever order they arrive."""

    def __init__(self):
        self._documents: dict[ServiceName, ActiveDocument] = {}
        self._newest: dict[ServiceName, HeldDocument] = {}
        self._index = LogIndex(0)

    @property
    def index(self) -> LogIndex:
        """Return the log index up to which all accepted documents are stored."""
        return self._index

    @property
    def revisions(self) -> dict[ServiceName, Revision]:
        """Return the active revision of every service."""
        return {name: entry.held.revision for name, entry in self._documents.items()}

    def apply_all(self, items: tuple[HeldDocument, ...]) -> None:
        """Apply all documents that were accepted after the local index."""
        for held in items:
            self.apply(held)
        for held in items:
            self._index = max(self._index, held.index)

    def apply(self, held: HeldDocument) -> bool:
        """Activate a revision unless it is unreadable or not newer."""
        newest = self._newest.get(held.service)
        if newest is not None and newest.revision >= held.revision:
            return False
        # Stored before parsing: peers need it even if this program cannot read it yet.
        self._newest[held.service] = held
        match parse_document(held.text):
            case Success(document):
                self._documents[held.service] = ActiveDocument(document, held)
            case _:
                logging.error(
                    "document unreadable service=%s revision=%d",
                    held.service,
                    held.revision,
                )
                return False
        logging.info(
            "document active service=%s revision=%d index=%d",
            held.service,
            held.revision,
            held.index,
        )
        return True

    def get(self, service: ServiceName) -> Document | None:
        """Return the active document of a service."""
        entry = self._documents.get(service)
        return entry.document if entry is not None else None

    def index_of(self, service: ServiceName) -> LogIndex:
        """Return the log index of the newest revision of a service, or 0."""
        newest = self._newest.get(service)
        return newest.index if newest is not None else LogIndex(0)

    def accepted_after(self, index: LogIndex) -> tuple[HeldDocument, ...]:
        """Return the newest documents that were accepted after an index."""
        return tuple(held for held in self._newest.values() if held.index > index)
