"""Decide which nodes to probe and which gossip to send to them."""

import random
from dataclasses import dataclass, replace

from persimmonhall.address import Address
from persimmonhall.ids import LogIndex, NodeName
from persimmonhall.membership.effects import (
    DocumentsSeen,
    Effect,
    Send,
    Synchronise,
    address_of,
)
from persimmonhall.membership.messages import (
    Ack,
    Datagram,
    Health,
    Member,
    News,
    Ping,
    PingRequest,
    Spread,
)
from persimmonhall.membership.news import HEAD_BYTES, MAX_DATAGRAM_BYTES, wire_bytes
from persimmonhall.membership.table import MemberTable
from persimmonhall.membership.view import View

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3
SPREAD_INTERVAL_S = 0.2
SPREAD_PEERS = 3
RETRY_INTERVAL_S = 4.0
SYNC_INTERVAL_S = 30.0
SOON_S = 1.0
# A node that knows fewer members has just started and serves badly until it knows
# more, so it synchronises after INITIAL_SYNC_DELAY_S.
FEW_MEMBERS = 4
AT_ONCE_S = 0.05
TOMBSTONE_S = 2 * 3600.0
STALL_S = 1.0
FORWARD_S = 2.0
MAX_FORWARDS = 256


@dataclass(slots=True)
class _Probe:
    sequence: int
    member: Member
    indirect_at: float
    is_indirect: bool = False


@dataclass(slots=True)
class _Forward:
    sequence: int
    target: NodeName
    reply_to: Address
    expires: float


class MembershipCore:
    """Detect failures, propagate gossip and heal partitions, without any I/O."""

    def __init__(
        self,
        table: MemberTable,
        seeds: tuple[Address, ...],
        rng: random.Random,
        now: float,
    ):
        self._seeds = seeds
        self._rng = rng
        self._view = View(table, rng)
        self._forwards: dict[int, _Forward] = {}
        self._probe: _Probe | None = None
        self._sequence = 0
        self._documents = LogIndex(0)
        self._next_probe = now + PROBE_INTERVAL_S * rng.random()
        self._next_spread = now
        self._next_retry = now
        self._next_sync = now + SYNC_INTERVAL_S * rng.random()

    @property
    def news(self) -> tuple[News, ...]:
        """Return the latest gossip update of every node."""
        return self._view.peers.news

    def health(self, node: NodeName) -> Health | None:
        """Return the known health of another node."""
        known = self._view.known(node)
        return known.health if known is not None else None

    def next_tick(self) -> float:
        """Return the time of the next call of tick."""
        times = [self._next_probe, self._next_retry, self._next_sync]
        times.append(self._view.next_burial)
        if self._probe is not None and not self._probe.is_indirect:
            times.append(self._probe.indirect_at)
        if self._view.queue:
            times.append(self._next_spread)
        return min(times)

    def change_own(self, member: Member) -> None:
        """Replace the local node's record and propagate it."""
        version = self._view.own.version + 1
        self._view.set_own(replace(member, version=version))

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seed nodes."""
        self._seeds = seeds

    def set_documents(self, documents: LogIndex) -> list[Effect]:
        """Send a higher local document index to a few members at once."""
        if documents <= self._documents:
            return []
        self._documents = documents
        return self._spread()

    def leave(self) -> list[Effect]:
        """Tell a few members that this node has left."""
        self._view.leave()
        return self._spread()

    def survey(self, members: list[Member]) -> list[Effect]:
        """Ping members to learn their document indexes from the acks."""
        return [
            Send(address_of(member.frames), self._ping(member.node, ()))
            for member in members
        ]

    def take_news(self, news: tuple[News, ...], now: float) -> list[Effect]:
        """Merge gossip updates that are newer than the known ones."""
        return self._view.take_news(news, now)

    def take_synchronised(self, news: tuple[News, ...], now: float) -> list[Effect]:
        """Merge updates of a synchronisation without propagating them further."""
        effects = self._view.take_news(news, now, spread=False)
        if effects:
            # Another node may have more updates.
            self._next_sync = min(self._next_sync, now + self._soon())
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Run the actions that are due."""
        self._allow_for_stall(now)
        effects = self._probe_indirectly(now)
        if now >= self._next_probe:
            effects += self._finish_probe(now)
            effects += self._start_probe(now)
        effects += self._view.bury_suspects(now)
        if now >= self._next_retry:
            effects += self._retry(now)
        if now >= self._next_sync:
            effects += self._start_sync(now)
        if self._view.queue and now >= self._next_spread:
            self._next_spread = now + SPREAD_INTERVAL_S
            effects += self._spread()
        return effects

    def receive(self, datagram: Datagram, now: float) -> list[Effect]:
        """Handle a datagram and return the replies."""
        match datagram:
            case Ping():
                return self._answer(datagram, now)
            case Ack():
                return self._take_ack(datagram, now)
            case PingRequest():
                return self._probe_for(datagram, now)
            case Spread(sender, address, documents, news):
                seen = DocumentsSeen(sender, address_of(address), documents)
                return [seen, *self.take_news(news, now)]

    def _allow_for_stall(self, now: float) -> None:
        """Suspect no peer for missing replies while this process was paused."""
        if now - self.next_tick() >= STALL_S:
            self._probe = None
            self._view.delay_burials(now)

    def _start_probe(self, now: float) -> list[Effect]:
        self._next_probe = now + PROBE_INTERVAL_S
        member = self._view.peers.next_to_probe()
        if member is None:
            return []
        ping = self._ping(member.node, self._view.accused(member.node))
        self._probe = _Probe(ping.sequence, member, now + PROBE_TIMEOUT_S)
        return [Send(address_of(member.frames), ping)]

    def _probe_indirectly(self, now: float) -> list[Effect]:
        probe = self._probe
        if probe is None or probe.is_indirect or now < probe.indirect_at:
            return []
        probe.is_indirect = True
        target = probe.member
        own = self._view.own.frames
        request = PingRequest(probe.sequence, target.node, target.frames, own)
        helpers = self._view.peers.sample(INDIRECT_PROBES + 1)
        helpers = [m for m in helpers if m.node != target.node][:INDIRECT_PROBES]
        return [Send(address_of(helper.frames), request) for helper in helpers]

    def _finish_probe(self, now: float) -> list[Effect]:
        probe, self._probe = self._probe, None
        return self._view.suspect(probe.member.node, now) if probe else []

    def _retry(self, now: float) -> list[Effect]:
        """Ping a removed node and an unknown seed, to heal after a partition."""
        self._forget_old(now)
        members = {member.frames for member in self._view.peers.members}
        self._next_retry = now + (RETRY_INTERVAL_S if members else PROBE_INTERVAL_S)
        effects: list[Effect] = []
        gone = self._view.peers.random_gone()
        if gone is not None:
            ping = self._ping(gone.member.node, (gone,))
            effects.append(Send(address_of(gone.member.frames), ping))
        present = members | {self._view.own.frames}
        missing = [seed for seed in self._seeds if str(seed) not in present]
        if missing:
            ping = self._ping(NodeName(""), ())
            effects.append(Send(self._rng.choice(missing), ping))
        return effects

    def _soon(self) -> float:
        return SOON_S * (0.5 + self._rng.random())

    def _forget_old(self, now: float) -> None:
        self._view.peers.forget_gone(now - TOMBSTONE_S)
        for sequence in [n for n, f in self._forwards.items() if f.expires < now]:
            del self._forwards[sequence]

    def _start_sync(self, now: float) -> list[Effect]:
        self._next_sync = now + SYNC_INTERVAL_S * (0.5 + self._rng.random())
        peers = self._view.peers.sample(1)
        return [Synchronise(address_of(member.frames)) for member in peers]

    def _spread(self) -> list[Effect]:
        own = self._view.own
        return [
            Send(
                address_of(member.frames),
                Spread(own.node, own.frames, self._documents, self._news(())),
            )
            for member in self._view.peers.sample(SPREAD_PEERS)
        ]

    def _answer(self, ping: Ping, now: float) -> list[Effect]:
        effects = self._take_sender(ping, now)
        if ping.target not in ("", self._view.own.node):
            return effects
        news = self._news(self._view.accused(ping.sender.node))
        ack = Ack(ping.sequence, self._view.own, self._documents, news)
        return [*effects, Send(address_of(ping.sender.frames), ack)]

    def _take_sender(self, datagram: Ping | Ack, now: float) -> list[Effect]:
        sender = datagram.sender
        known = self._view.known(sender.node)
        if known is None or known.health.is_gone:
            # Both nodes may have missed many updates: synchronise early.
            is_new = known is None and len(self._view.peers.members) < FEW_MEMBERS
            wait_s = AT_ONCE_S if is_new else self._soon()
            self._next_sync = min(self._next_sync, now + wait_s)
        seen = DocumentsSeen(sender.node, address_of(sender.frames), datagram.documents)
        return [seen, *self.take_news((News(sender), *datagram.news), now)]

    def _take_ack(self, ack: Ack, now: float) -> list[Effect]:
        effects = self._take_sender(ack, now)
        probe = self._probe
        if probe is not None and probe.sequence == ack.sequence:
            if probe.member.node == ack.sender.node:
                self._probe = None
            return effects
        forward = self._forwards.pop(ack.sequence, None)
        if forward is not None and forward.target == ack.sender.node:
            passed = Ack(forward.sequence, ack.sender, ack.documents, ())
            effects.append(Send(forward.reply_to, passed))
        return effects

    def _probe_for(self, request: PingRequest, now: float) -> list[Effect]:
        if len(self._forwards) >= MAX_FORWARDS:
            return []
        ping = self._ping(request.target, self._view.accused(request.target))
        self._forwards[ping.sequence] = _Forward(
            request.sequence,
            request.target,
            address_of(request.reply_to),
            now + FORWARD_S,
        )
        return [Send(address_of(request.address), ping)]

    def _ping(self, target: NodeName, first: tuple[News, ...]) -> Ping:
        self._sequence = (self._sequence + 1) % 2**32
        return Ping(
            self._sequence, target, self._view.own, self._documents, self._news(first)
        )

    def _news(self, first: tuple[News, ...]) -> tuple[News, ...]:
        budget = MAX_DATAGRAM_BYTES - HEAD_BYTES - wire_bytes(self._view.own)
        budget -= sum(wire_bytes(news.member) for news in first)
        members = len(self._view.peers.members)
        return first + self._view.queue.take(budget, members)
