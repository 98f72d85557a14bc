"""Run the membership core with sockets, links and the clock.

Load: a node gets tens of datagrams a second besides its calls. Where the node has a
poller they are handled in its callbacks: a pass of the scheduler for each costs more
than the datagram.
"""

import random
import select
from collections.abc import Callable, Iterable
from dataclasses import replace

import trio
from absl import logging
from returns.result import Success

from persimmonhall.address import Address
from persimmonhall.ids import InstanceId, LogIndex, NodeName, ServiceName
from persimmonhall.membership.core import MembershipCore
from persimmonhall.membership.datagrams import (
    DatagramSocket,
    open_datagram_socket,
)
from persimmonhall.membership.departure_confirmer import DepartureConfirmer
from persimmonhall.membership.effects import (
    DepartureLearned,
    DocumentIndexReport,
    Effect,
    HealthChanged,
    PeerAnswered,
    Send,
    Synchronise,
    address_of,
)
from persimmonhall.membership.messages import (
    MAX_DEPARTURE_NUMBER,
    MAX_TEXT_BYTES,
    SYNC_REQUESTS,
    CompareDigests,
    Datagram,
    Departure,
    Differences,
    Health,
    Member,
    MemberState,
    NodeReport,
    PushNews,
    ReportTopic,
    decode_differences,
    encode_differences,
)
from persimmonhall.membership.sync import (
    bucket_digests,
    find_differences,
    news_in_buckets,
)
from persimmonhall.membership.table import MemberTable
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.poller import Poller

SYNC_TIMEOUT_S = 5.0
DOCUMENT_INDEX_TIMEOUT_S = 1.0
DOCUMENT_INDEX_ATTEMPTS = 3
# With its header a report fits a datagram that is not fragmented.
MAX_REPORT_BYTES = 1200
# Datagrams handled before other connections have their turn.
MAX_DATAGRAMS_PER_CALLBACK = 64

DocumentIndexListener = Callable[[DocumentIndexReport], None]
ReportHandler = Callable[[NodeName, bytes], None]
DepartureListener = Callable[[Departure], None]


class Gossiper:
    """Keep the member table up to date and announce this node to peers."""

    def __init__(
        self,
        table: MemberTable,
        links: LinkPool,
        seeds: tuple[Address, ...],
        rng: random.Random,
        poller: Poller | None = None,
    ):
        self._table = table
        self._links = links
        self._poller = poller
        self._core = MembershipCore(table, seeds, rng, trio.current_time())
        self._pending_effects: list[Effect] = []
        self._wakeup = trio.Event()
        self._is_draining = False
        self._bind_address = address_of(table.local_member.frames)
        self._socket: DatagramSocket | None = None
        self._nursery: trio.Nursery | None = None
        self._report_handlers: dict[int, ReportHandler] = {}
        self._document_index_listeners: list[DocumentIndexListener] = []
        self._on_departure: DepartureListener = lambda departure: None
        self._has_unconfirmed_departure = False
        self._confirmer = DepartureConfirmer(self._core, table, self._apply_effects)

    @property
    def has_unconfirmed_departure(self) -> bool:
        """Return whether a departure was announced that members may not know yet."""
        return self._has_unconfirmed_departure

    @property
    def member_count(self) -> int:
        """Return the number of members, this node included."""
        return len(self._table.peers()) + 1

    @property
    def datagram_bytes(self) -> int:
        """Return the bytes of all datagrams sent and received."""
        if self._socket is None:
            return 0
        return self._socket.sent_bytes + self._socket.received_bytes

    def add_document_index_listener(self, listener: DocumentIndexListener) -> None:
        """Call a function for each document index received from a node."""
        self._document_index_listeners.append(listener)

    def announce(self, service: ServiceName, slots: int, state: MemberState) -> None:
        """Announce the state of this node's backend server to peers."""
        local_member = self._table.local_member
        state = MemberState.LEAVING if self._is_draining else state
        changed = replace(local_member, service=service, slots=slots, state=state)
        if changed != local_member:
            self._core.update_local_member(changed)
            self._wakeup.set()

    def announce_departure(
        self, instance: InstanceId, born_ms: int, sequence: int
    ) -> None:
        """Announce up to which report an instance leaves; peers keep it for this node.

        A departure whose numbers or id no record can hold is not announced.
        """
        if len(instance.encode()) > MAX_TEXT_BYTES or not all(
            abs(number) <= MAX_DEPARTURE_NUMBER for number in (born_ms, sequence)
        ):
            return
        self._core.record_departure(instance, born_ms, sequence)
        self._has_unconfirmed_departure = True
        self._wakeup.set()

    def set_departure_listener(self, on_departure: DepartureListener) -> None:
        """Set what to call for a departure kept by peers."""
        self._on_departure = on_departure

    async def confirm_departure(self) -> None:
        """Wait until members know the departure, or for all attempts."""
        if self._socket is not None:
            await self._confirmer.confirm()
        self._has_unconfirmed_departure = False

    def set_frames_address(
        self, bind_address: Address, advertised_address: Address
    ) -> None:
        """Set the address to bind and the one that peers connect to."""
        self._bind_address = bind_address
        self._table.set_local_member(
            replace(self._table.local_member, frames=str(advertised_address))
        )

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seed nodes."""
        self._core.set_seeds(seeds)

    def set_report_handler(self, topic: ReportTopic, handler: ReportHandler) -> None:
        """Set the function that gets the reports of other nodes on a topic."""
        self._report_handlers[topic] = handler

    def send_report(
        self, topic: ReportTopic, payload: bytes, members: Iterable[Member]
    ) -> None:
        """Send a report of up to MAX_REPORT_BYTES to some members."""
        report = NodeReport(int(topic), self._table.local_member.node, payload)
        effects = [Send(address_of(member.frames), report) for member in members]
        if self._socket is None:
            self._pending_effects += effects
        else:
            self._apply_effects(effects)

    def send_report_in_zone(
        self, topic: ReportTopic, payload: bytes, count: int
    ) -> None:
        """Send a report to a number of random nodes of the own zone."""
        members = self._core.sample_own_zone_nodes(count)
        self.send_report(topic, payload, members)

    def set_document_index(self, document_index: LogIndex) -> None:
        """Send this node's document index to peers."""
        self._pending_effects += self._core.set_document_index(document_index)
        self._wakeup.set()

    def announce_draining(self) -> None:
        """Tell peers that this node accepts no new calls."""
        local_member = self._table.local_member
        self._is_draining = True
        self.announce(local_member.service, local_member.slots, MemberState.LEAVING)

    def announce_left(self) -> None:
        """Tell peers that this node has left."""
        self._pending_effects += self._core.leave()
        self._wakeup.set()

    async def handle(self, payload: bytes) -> bytes:
        """Answer one synchronisation request of a peer."""
        match SYNC_REQUESTS.decode(payload):
            case CompareDigests(digests):
                return encode_differences(find_differences(digests, self._core.news))
            case PushNews(news):
                self._pending_effects += self._core.merge_synchronised(
                    news, trio.current_time()
                )
                self._wakeup.set()
        return encode_differences(Differences((), ()))

    async def run(self) -> None:
        """Probe and gossip until cancelled."""
        socket = await open_datagram_socket(self._bind_address)
        async with trio.open_nursery() as nursery:
            self._socket, self._nursery = socket, nursery
            if self._poller is None:
                nursery.start_soon(self._receive, socket)
            else:
                self._poller.add(socket.fd, select.EPOLLIN, self._receive_arrived)
            while True:
                self._wakeup = trio.Event()
                effects, self._pending_effects = self._pending_effects, []
                effects += self._core.tick(trio.current_time())
                self._apply_effects(effects)
                with trio.move_on_at(self._core.next_tick()):
                    await self._wakeup.wait()

    async def collect_document_indexes(self) -> dict[NodeName, LogIndex]:
        """Return the document index of every member that answers a ping."""
        indexes: dict[NodeName, LogIndex] = {}

        def record(report: DocumentIndexReport) -> None:
            indexes[report.sender] = report.document_index

        self.add_document_index_listener(record)
        try:
            for _ in range(DOCUMENT_INDEX_ATTEMPTS):
                missing = [m for m in self._table.peers() if m.node not in indexes]
                self._pending_effects += self._core.ping_members(missing)
                self._wakeup.set()
                await self._wait_for_indexes(indexes, len(missing) + len(indexes))
        finally:
            self._document_index_listeners.remove(record)
        return indexes

    async def _wait_for_indexes(self, indexes: dict, count: int) -> None:
        with trio.move_on_after(DOCUMENT_INDEX_TIMEOUT_S / DOCUMENT_INDEX_ATTEMPTS):
            while len(indexes) < count:
                await trio.sleep(DOCUMENT_INDEX_TIMEOUT_S / 100)

    async def _receive(self, socket: DatagramSocket) -> None:
        while True:
            self._handle_datagram(await socket.receive())

    def _receive_arrived(self, events: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_CALLBACK):
            datagram = self._socket.receive_now()
            if datagram is None:
                return
            self._handle_datagram(datagram)

    def _handle_datagram(self, datagram: Datagram) -> None:
        try:
            if isinstance(datagram, NodeReport):
                handler = self._report_handlers.get(datagram.topic)
                if handler is not None:
                    handler(datagram.sender, datagram.payload)
                return
            planned_tick = self._core.next_tick()
            self._apply_effects(self._core.receive(datagram, trio.current_time()))
            if self._core.next_tick() < planned_tick:
                self._wakeup.set()
        except Exception:
            # An error in one datagram must not end the process.
            logging.exception("datagram not handled")

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            try:
                self._apply_effect(effect)
            except Exception:
                # An error in one effect must not end the process.
                logging.exception("effect not applied: %s", type(effect).__name__)

    def _apply_effect(self, effect: Effect) -> None:
        match effect:
            case Send(address, datagram):
                self._socket.send(address, datagram)
            case Synchronise(address):
                self._nursery.start_soon(self._synchronise, address)
            case HealthChanged(news):
                member = news.member
                if news.health is Health.DEAD:
                    self._links.reconnect(address_of(member.frames))
                logging.info(
                    "member node=%s health=%s zone=%s service=%s order=%s",
                    member.node,
                    news.health.name.lower(),
                    member.zone,
                    member.service,
                    member.version_key,
                )
            case PeerAnswered(sequence):
                self._confirmer.handle_answer(sequence)
            case DepartureLearned(departure):
                self._on_departure(departure)
            case DocumentIndexReport():
                for listener in tuple(self._document_index_listeners):
                    listener(effect)

    async def _synchronise(self, address: Address) -> None:
        try:
            with trio.move_on_after(SYNC_TIMEOUT_S):
                await self._exchange_differences(address)
        except ValueError as error:
            logging.warning("synchronisation with %s failed: %s", address, error)

    async def _exchange_differences(self, address: Address) -> None:
        request = CompareDigests(bucket_digests(self._core.news))
        match await self._send_request(address, request):
            case Success(Differences(buckets, news)) if buckets:
                local_news = news_in_buckets(self._core.news, buckets)
                self._pending_effects += self._core.merge_synchronised(
                    news, trio.current_time()
                )
                self._wakeup.set()
                await self._send_request(address, PushNews(local_news))

    async def _send_request(self, address: Address, request: CompareDigests | PushNews):
        payload = SYNC_REQUESTS.encode(request)
        answer = await self._links.request(address, Channel.MEMBERSHIP, payload)
        return answer.map(decode_differences)
