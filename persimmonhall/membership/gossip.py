"""Run the membership core with sockets, links and the clock."""

import random
from collections.abc import Callable
from dataclasses import replace

import trio
from absl import logging
from returns.result import Success

from persimmonhall.address import Address
from persimmonhall.ids import LogIndex, NodeName, ServiceName
from persimmonhall.membership.core import MembershipCore
from persimmonhall.membership.datagrams import (
    DatagramSocket,
    check_addresses,
    open_datagrams,
)
from persimmonhall.membership.effects import (
    DocumentsSeen,
    Effect,
    HealthChanged,
    Send,
    Synchronise,
    address_of,
)
from persimmonhall.membership.messages import (
    SYNC_ASKS,
    CompareDigests,
    Differences,
    Health,
    MemberState,
    PushNews,
    decode_differences,
    encode_differences,
)
from persimmonhall.membership.sync import compare, digests_of, news_in
from persimmonhall.membership.table import MemberTable
from persimmonhall.wire.frames import Channel
from persimmonhall.wire.link import LinkPool

SYNC_TIMEOUT_S = 5.0
SURVEY_TIMEOUT_S = 1.0
SURVEY_TRIES = 3

DocumentsListener = Callable[[DocumentsSeen], None]


class Gossiper:
    """Keep the member table up to date and announce this node to peers."""

    def __init__(
        self,
        table: MemberTable,
        links: LinkPool,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ):
        self._table = table
        self._links = links
        self._core = MembershipCore(table, seeds, rng, trio.current_time())
        self._due: list[Effect] = []
        self._woken = trio.Event()
        self._leaving = False
        self._bound = address_of(table.own.frames)
        self._socket: DatagramSocket | None = None
        self._listeners: list[DocumentsListener] = []

    @property
    def members(self) -> int:
        """Return the number of members, this node included."""
        return len(self._table.peers()) + 1

    @property
    def datagram_bytes(self) -> int:
        """Return the bytes of all datagrams sent and received."""
        if self._socket is None:
            return 0
        return self._socket.sent_bytes + self._socket.received_bytes

    def listen(self, listener: DocumentsListener) -> None:
        """Call a function for each document index received from a node."""
        self._listeners.append(listener)

    def announce(self, service: ServiceName, slots: int, state: MemberState) -> None:
        """Announce the state of this node's backend server to peers."""
        own = self._table.own
        state = MemberState.LEAVING if self._leaving else state
        changed = replace(own, service=service, slots=slots, state=state)
        if changed != own:
            self._core.change_own(changed)
            self._woken.set()

    def set_frames(self, bound: Address, advertised: Address) -> None:
        """Set the address to bind and the one that peers connect to."""
        self._bound = bound
        self._table.set_own(replace(self._table.own, frames=str(advertised)))

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seed nodes."""
        self._core.set_seeds(seeds)

    def set_documents(self, documents: LogIndex) -> None:
        """Send this node's document index to peers."""
        self._due += self._core.set_documents(documents)
        self._woken.set()

    def leave(self) -> None:
        """Tell peers that this node accepts no new calls."""
        own = self._table.own
        self._leaving = True
        self.announce(own.service, own.slots, MemberState.LEAVING)

    def say_left(self) -> None:
        """Tell peers that this node has left."""
        self._due += self._core.leave()
        self._woken.set()

    async def handle(self, payload: bytes) -> bytes:
        """Answer one synchronisation request of a peer."""
        match SYNC_ASKS.decode(payload):
            case CompareDigests(digests):
                return encode_differences(compare(digests, self._core.news))
            case PushNews(news):
                check_addresses(news)
                self._due += self._core.take_synchronised(news, trio.current_time())
                self._woken.set()
        return encode_differences(Differences((), ()))

    async def run(self) -> None:
        """Probe and gossip until cancelled."""
        socket = await open_datagrams(self._bound)
        self._socket = socket
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, socket, nursery)
            while True:
                self._woken = trio.Event()
                due, self._due = self._due, []
                due += self._core.tick(trio.current_time())
                await self._do(due, socket, nursery)
                with trio.move_on_at(self._core.next_tick()):
                    await self._woken.wait()

    async def survey(self) -> dict[NodeName, LogIndex]:
        """Return the document index of every member that answers a ping."""
        seen: dict[NodeName, LogIndex] = {}

        def note(sight: DocumentsSeen) -> None:
            seen[sight.sender] = sight.documents

        self.listen(note)
        try:
            for _ in range(SURVEY_TRIES):
                missing = [m for m in self._table.peers() if m.node not in seen]
                self._due += self._core.survey(missing)
                self._woken.set()
                await self._wait_for(seen, len(missing) + len(seen))
        finally:
            self._listeners.remove(note)
        return seen

    async def _wait_for(self, seen: dict, count: int) -> None:
        with trio.move_on_after(SURVEY_TIMEOUT_S / SURVEY_TRIES):
            while len(seen) < count:
                await trio.sleep(SURVEY_TIMEOUT_S / 100)

    async def _receive(self, socket: DatagramSocket, nursery: trio.Nursery) -> None:
        while True:
            datagram = await socket.receive()
            planned = self._core.next_tick()
            effects = self._core.receive(datagram, trio.current_time())
            await self._do(effects, socket, nursery)
            if self._core.next_tick() < planned:
                self._woken.set()

    async def _do(
        self, effects: list[Effect], socket: DatagramSocket, nursery: trio.Nursery
    ) -> None:
        for effect in effects:
            match effect:
                case Send(address, datagram):
                    await socket.send(address, datagram)
                case Synchronise(address):
                    nursery.start_soon(self._synchronise, address)
                case HealthChanged(news):
                    member = news.member
                    if news.health is Health.DEAD:
                        self._links.retire(address_of(member.frames))
                    logging.info(
                        "member node=%s health=%s zone=%s service=%s order=%s",
                        member.node,
                        news.health.name.lower(),
                        member.zone,
                        member.service,
                        member.order,
                    )
                case DocumentsSeen():
                    for listener in tuple(self._listeners):
                        listener(effect)

    async def _synchronise(self, address: Address) -> None:
        try:
            with trio.move_on_after(SYNC_TIMEOUT_S):
                await self._exchange_differences(address)
        except ValueError as error:
            logging.warning("synchronisation with %s failed: %s", address, error)

    async def _exchange_differences(self, address: Address) -> None:
        ask = CompareDigests(digests_of(self._core.news))
        match await self._ask(address, ask):
            case Success(Differences(buckets, news)) if buckets:
                own = news_in(self._core.news, buckets)
                self._due += self._core.take_synchronised(news, trio.current_time())
                self._woken.set()
                await self._ask(address, PushNews(own))

    async def _ask(self, address: Address, ask: CompareDigests | PushNews):
        payload = SYNC_ASKS.encode(ask)
        answer = await self._links.ask(address, Channel.MEMBERSHIP, payload)
        return answer.map(_read_differences)


def _read_differences(data: bytes) -> Differences:
    differences = decode_differences(data)
    check_addresses(differences.news)
    return differences
