"""Bring accepted documents to a node, from neighbours before control."""

import random

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.client import ControlClient
from persimmonhall.control.messages import REPLIES, REQUESTS, Documents, FetchDocuments
from persimmonhall.document.in_force import DocumentsInForce
from persimmonhall.errors import Refusal
from persimmonhall.ids import ZoneName
from persimmonhall.membership.effects import DocumentIndexReport
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.table import MemberTable
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkError, LinkPool

POLLS_PER_S = 10.0
LEAST_POLL_INTERVAL_S = 0.5
ASK_TIMEOUT_S = 2.0
OTHER_ZONE_WAIT_S = 0.3


class DocumentFollower:
    """Fetch what the node misses and answer neighbours that miss something."""

    def __init__(
        self,
        documents: DocumentsInForce,
        control: ControlClient,
        gossiper: Gossiper,
        table: MemberTable,
        links: LinkPool,
        rng: random.Random,
    ):
        self._documents = documents
        self._control = control
        self._gossiper = gossiper
        self._table = table
        self._links = links
        self._rng = rng
        self._sources: dict[Address, DocumentIndexReport] = {}
        self._missing = trio.Event()
        gossiper.add_document_index_listener(self._see)

    async def handle(self, payload: bytes) -> bytes:
        """Answer a neighbour with the documents after its index."""
        match REQUESTS.decode(payload):
            case FetchDocuments(after):
                items = self._documents.after(after)
                return REPLIES.encode(
                    Documents(self._documents.index, items, current=False)
                )
        raise ValueError("neighbours only ask for documents")

    async def run(self) -> None:
        """Fetch documents until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_control)
            nursery.start_soon(self._pull_missing)

    def _see(self, sight: DocumentIndexReport) -> None:
        if sight.document_index > self._documents.index:
            self._sources[sight.address] = sight
            self._missing.set()

    async def _poll_control(self) -> None:
        while True:
            with trio.move_on_after(ASK_TIMEOUT_S):
                self._report(await self._control.fetch_documents(self._documents.index))
            # All nodes together poll at one rate, whatever their number.
            interval_s = max(
                LEAST_POLL_INTERVAL_S, self._gossiper.member_count / POLLS_PER_S
            )
            await trio.sleep(interval_s * (0.5 + self._rng.random()))

    async def _pull_missing(self) -> None:
        while True:
            await self._missing.wait()
            self._missing = trio.Event()
            source = await self._choose_source()
            if source is None:
                continue
            with trio.move_on_after(ASK_TIMEOUT_S):
                self._report(await self._ask(source.address))
            self._sources.pop(source.address, None)
            if self._current_sources():
                self._missing.set()

    def _current_sources(self) -> list[DocumentIndexReport]:
        for address, sight in tuple(self._sources.items()):
            if sight.document_index <= self._documents.index:
                del self._sources[address]
        return list(self._sources.values())

    async def _choose_source(self) -> DocumentIndexReport | None:
        """Prefer a node of the own zone; wait a little for one to know."""
        near = self._near_sources()
        if not near:
            await trio.sleep(OTHER_ZONE_WAIT_S * self._rng.random())
            near = self._near_sources()
        sources = near or self._current_sources()
        return self._rng.choice(sources) if sources else None

    def _near_sources(self) -> list[DocumentIndexReport]:
        zone: ZoneName = self._table.local_member.zone
        members = ((s, self._table.get(s.sender)) for s in self._current_sources())
        return [s for s, member in members if member and member.zone == zone]

    async def _ask(self, address: Address) -> Result[Documents, Refusal | LinkError]:
        payload = REQUESTS.encode(FetchDocuments(self._documents.index))
        answer = await self._links.request(address, Channel.DOCUMENT, payload)
        try:
            return answer.map(REPLIES.decode)
        except ValueError as error:
            return Failure(LinkError(str(error), is_sent=True))

    def _report(self, result: Result[Documents, Refusal | LinkError]) -> None:
        match result:
            case Success(Documents(items=items)):
                self._documents.apply_all(items)
                self._gossiper.set_document_index(self._documents.index)
            case Failure(reason):
                logging.log_every_n_seconds(
                    logging.WARNING, "documents not fetched: %s", 10, reason
                )
