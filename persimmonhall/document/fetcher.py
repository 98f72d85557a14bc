"""Fetch accepted documents from peer nodes and from the control VMs."""

import random

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.control.client import ControlClient
from persimmonhall.control.messages import REPLIES, REQUESTS, Documents, FetchDocuments
from persimmonhall.document.active import ActiveDocuments
from persimmonhall.errors import Refusal
from persimmonhall.ids import ZoneName
from persimmonhall.membership.effects import DocumentIndexReport
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.table import MemberTable
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkError, LinkPool

TOTAL_POLLS_PER_S = 10.0
MIN_POLL_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 2.0
MAX_OTHER_ZONE_DELAY_S = 0.3


class DocumentFetcher:
    """Fetch documents missing on this node and serve documents to peer nodes."""

    def __init__(
        self,
        documents: ActiveDocuments,
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
        self._documents_missing = trio.Event()
        gossiper.add_document_index_listener(self._record_source)

    async def handle(self, payload: bytes) -> bytes:
        """Return the documents accepted after the index that a peer node sends."""
        match REQUESTS.decode(payload):
            case FetchDocuments(after):
                items = self._documents.accepted_after(after)
                return REPLIES.encode(
                    Documents(self._documents.index, items, current=False)
                )
        raise ValueError("unsupported request from a peer node")

    async def run(self) -> None:
        """Fetch documents until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_control)
            nursery.start_soon(self._fetch_missing)

    def _record_source(self, report: DocumentIndexReport) -> None:
        if report.document_index > self._documents.index:
            self._sources[report.address] = report
            self._documents_missing.set()

    async def _poll_control(self) -> None:
        while True:
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                self._apply_result(
                    await self._control.fetch_documents(self._documents.index)
                )
            # Keeps the total poll rate of all nodes independent of their number.
            interval_s = max(
                MIN_POLL_INTERVAL_S, self._gossiper.member_count / TOTAL_POLLS_PER_S
            )
            await trio.sleep(interval_s * (0.5 + self._rng.random()))

    async def _fetch_missing(self) -> None:
        while True:
            await self._documents_missing.wait()
            self._documents_missing = trio.Event()
            source = await self._choose_source()
            if source is None:
                continue
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                self._apply_result(await self._fetch_from(source.address))
            self._sources.pop(source.address, None)
            if self._sources_ahead():
                self._documents_missing.set()

    def _sources_ahead(self) -> list[DocumentIndexReport]:
        for address, report in tuple(self._sources.items()):
            if report.document_index <= self._documents.index:
                del self._sources[address]
        return list(self._sources.values())

    async def _choose_source(self) -> DocumentIndexReport | None:
        """Prefer a node of the local zone, waiting briefly for one to be ahead."""
        local_sources = self._local_zone_sources()
        if not local_sources:
            await trio.sleep(MAX_OTHER_ZONE_DELAY_S * self._rng.random())
            local_sources = self._local_zone_sources()
        sources = local_sources or self._sources_ahead()
        return self._rng.choice(sources) if sources else None

    def _local_zone_sources(self) -> list[DocumentIndexReport]:
        zone: ZoneName = self._table.local_member.zone
        members = ((s, self._table.get(s.sender)) for s in self._sources_ahead())
        return [s for s, member in members if member and member.zone == zone]

    async def _fetch_from(
        self, address: Address
    ) -> Result[Documents, Refusal | LinkError]:
        payload = REQUESTS.encode(FetchDocuments(self._documents.index))
        answer = await self._links.request(address, Channel.DOCUMENT, payload)
        try:
            return answer.map(REPLIES.decode)
        except ValueError as error:
            return Failure(LinkError(str(error), is_sent=True))

    def _apply_result(self, result: Result[Documents, Refusal | LinkError]) -> None:
        match result:
            case Success(Documents(items=items)):
                self._documents.apply_all(items)
                self._gossiper.set_document_index(self._documents.index)
            case Failure(reason):
                logging.log_every_n_seconds(
                    logging.WARNING, "documents not fetched: %s", 10, reason
                )
