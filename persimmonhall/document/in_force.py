"""Hold the documents in force on a node."""

from dataclasses import dataclass

from absl import logging
from returns.result import Success

from persimmonhall.document.messages import HeldDocument
from persimmonhall.document.schema import Document, parse_document
from persimmonhall.ids import LogIndex, Revision, ServiceName


@dataclass(frozen=True)
class InForce:
    """Pair a checked document with its revision."""

    document: Document
    held: HeldDocument


class DocumentsInForce:
    """Apply only newer revisions, in whatever order they arrive."""

    def __init__(self):
        self._documents: dict[ServiceName, InForce] = {}
        self._index = LogIndex(0)

    @property
    def index(self) -> LogIndex:
        """Return the log index up to which changes were applied."""
        return self._index

    @property
    def revisions(self) -> dict[ServiceName, Revision]:
        """Return the revision in force of every service."""
        return {name: entry.held.revision for name, entry in self._documents.items()}

    def apply(self, held: HeldDocument) -> bool:
        """Put a revision in force unless an equal or newer one is."""
        current = self._documents.get(held.service)
        if current is not None and current.held.revision >= held.revision:
            return False
        match parse_document(held.text):
            case Success(document):
                self._documents[held.service] = InForce(document, held)
            case _:
                logging.error(
                    "document unreadable service=%s revision=%d",
                    held.service,
                    held.revision,
                )
                return False
        logging.info(
            "document in force service=%s revision=%d index=%d",
            held.service,
            held.revision,
            held.index,
        )
        return True

    def advance(self, index: LogIndex) -> None:
        """Record that every change up to an index was applied."""
        self._index = max(self._index, index)

    def get(self, service: ServiceName) -> Document | None:
        """Return the document in force of a service."""
        entry = self._documents.get(service)
        return entry.document if entry is not None else None

    def all_held(self) -> tuple[HeldDocument, ...]:
        """Return every revision in force."""
        return tuple(entry.held for entry in self._documents.values())
