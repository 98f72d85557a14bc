"""Bring accepted documents to a node."""

import trio
from absl import logging
from returns.result import Failure, Success

from persimmonhall.control.client import ControlClient
from persimmonhall.document.in_force import DocumentsInForce

INTERVAL_S = 0.5


class DocumentFollower:
    """Fetch what the node misses."""

    def __init__(self, documents: DocumentsInForce, control: ControlClient):
        self._documents = documents
        self._control = control

    async def run(self) -> None:
        """Fetch documents until cancelled."""
        while True:
            with trio.move_on_after(INTERVAL_S * 4):
                await self._fetch()
            await trio.sleep(INTERVAL_S)

    async def _fetch(self) -> None:
        match await self._control.fetch_documents(self._documents.index):
            case Success(reply):
                for held in reply.items:
                    self._documents.apply(held)
                self._documents.advance(reply.index)
            case Failure(refusal):
                logging.log_every_n_seconds(
                    logging.WARNING, "documents not fetched: %s", 10, refusal.detail
                )
