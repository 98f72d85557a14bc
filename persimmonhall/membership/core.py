"""Decide which nodes to probe and which gossip to send to them."""

import random
from dataclasses import dataclass, replace

from persimmonhall.address import Address
from persimmonhall.ids import InstanceId, LogIndex, NodeName, ZoneName
from persimmonhall.membership.effects import (
    DocumentIndexReport,
    Effect,
    PeerAnswered,
    Send,
    Synchronise,
    address_of,
)
from persimmonhall.membership.gossip_queue import (
    DATAGRAM_OVERHEAD_BYTES,
    MAX_DATAGRAM_BYTES,
    wire_bytes,
)
from persimmonhall.membership.messages import (
    Ack,
    Datagram,
    Departure,
    Health,
    Member,
    News,
    Ping,
    PingRequest,
    Spread,
)
from persimmonhall.membership.table import MemberTable
from persimmonhall.membership.view import MembershipView

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.3
INDIRECT_PROBE_HELPERS = 3
GOSSIP_INTERVAL_S = 0.2
# One of them in another zone: bytes between zones cost more than those within, and
# the news spread within each zone.
GOSSIP_FANOUT = 3
# Probes and their acknowledgements cross zones every second whatever has changed.
MAX_REMOTE_NEWS_BYTES = 250
RECONNECT_INTERVAL_S = 4.0
SYNC_INTERVAL_S = 30.0
EARLY_SYNC_DELAY_S = 1.0
# A node that knows fewer members has just started and serves badly until it knows
# more, so it synchronises after INITIAL_SYNC_DELAY_S.
MIN_KNOWN_MEMBERS = 4
INITIAL_SYNC_DELAY_S = 0.05
TOMBSTONE_TTL_S = 2 * 3600.0
MIN_PROCESS_PAUSE_S = 1.0
RELAYED_PROBE_TTL_S = 2.0
MAX_RELAYED_PROBES = 256


@dataclass(slots=True)
class _Probe:
    sequence: int
    member: Member
    indirect_at: float
    is_indirect: bool = False


@dataclass(slots=True)
class _RelayedProbe:
    requester_sequence: int
    target: NodeName
    reply_to: Address
    expires_at: float


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
        self._view = MembershipView(table, rng)
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._probe: _Probe | None = None
        self._sequence = 0
        self._document_index = LogIndex(0)
        self._next_probe = now + PROBE_INTERVAL_S * rng.random()
        self._next_gossip = now
        self._next_reconnect = now
        self._next_sync = now + SYNC_INTERVAL_S * rng.random()

    @property
    def news(self) -> tuple[News, ...]:
        """Return the latest gossip update of every node."""
        return self._view.peers.news

    def health(self, node: NodeName) -> Health | None:
        """Return the known health of another node."""
        known = self._view.news_of(node)
        return known.health if known is not None else None

    def next_tick(self) -> float:
        """Return the time of the next call of tick."""
        times = [self._next_probe, self._next_reconnect, self._next_sync]
        times.append(self._view.next_suspicion_deadline)
        if self._probe is not None and not self._probe.is_indirect:
            times.append(self._probe.indirect_at)
        if self._view.queue:
            times.append(self._next_gossip)
        return min(times)

    def update_local_member(self, member: Member) -> None:
        """Replace the local node's record and propagate it."""
        version = self._view.local_member.version + 1
        self._view.set_local_member(replace(member, version=version))

    def record_departure(
        self, instance: InstanceId, born_ms: int, sequence: int
    ) -> None:
        """Add a departure to the local node's record and propagate it."""
        member = self._view.local_member
        version = member.version + 1
        departure = Departure(
            (member.incarnation, version), instance, born_ms, sequence
        )
        self._view.set_local_member(
            replace(member, version=version, departure=departure)
        )

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seed nodes."""
        self._seeds = seeds

    def set_document_index(self, document_index: LogIndex) -> list[Effect]:
        """Send a higher local document index to a few members at once."""
        if document_index <= self._document_index:
            return []
        self._document_index = document_index
        return self._gossip()

    def leave(self) -> list[Effect]:
        """Tell a few members that this node has left."""
        self._view.leave()
        return self._gossip()

    def ping_members(self, members: list[Member]) -> list[Effect]:
        """Ping members to learn their document indexes from the acks."""
        return [
            Send(address_of(member.frames), self._make_ping(member.node, ()))
            for member in members
        ]

    def sample(self, count: int) -> list[Member]:
        """Return up to count random members."""
        return self._view.peers.sample(count)

    def sample_own_zone_nodes(self, count: int) -> list[Member]:
        """Return up to count random nodes of the own zone."""
        return self._view.peers.sample_own_zone_nodes(count)

    def merge_news(self, news: tuple[News, ...], now: float) -> list[Effect]:
        """Merge gossip updates that are newer than the known ones."""
        return self._view.merge_news(news, now)

    def merge_synchronised(self, news: tuple[News, ...], now: float) -> list[Effect]:
        """Merge updates of a synchronisation without propagating them further."""
        effects = self._view.merge_news(news, now, propagate=False)
        if effects:
            # Another node may have more updates.
            self._next_sync = min(self._next_sync, now + self._early_sync_delay_s())
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Run the actions that are due."""
        self._handle_process_pause(now)
        effects = self._probe_indirectly(now)
        if now >= self._next_probe:
            effects += self._finish_probe(now)
            effects += self._start_probe(now)
        effects += self._view.expire_suspects(now)
        if now >= self._next_reconnect:
            effects += self._reconnect(now)
        if now >= self._next_sync:
            effects += self._start_sync(now)
        if self._view.queue and now >= self._next_gossip:
            self._next_gossip = now + GOSSIP_INTERVAL_S
            effects += self._gossip()
        return effects

    def receive(self, datagram: Datagram, now: float) -> list[Effect]:
        """Handle a datagram and return the replies."""
        match datagram:
            case Ping():
                return self._answer_ping(datagram, now)
            case Ack():
                return self._handle_ack(datagram, now)
            case PingRequest():
                return self._relay_probe(datagram, now)
            case Spread(sender, address, documents, news):
                seen = DocumentIndexReport(sender, address_of(address), documents)
                return [seen, *self.merge_news(news, now)]

    def _handle_process_pause(self, now: float) -> None:
        """Suspect no peer for missing replies while this process was paused."""
        if now - self.next_tick() >= MIN_PROCESS_PAUSE_S:
            self._probe = None
            self._view.restart_suspicion_timeouts(now)

    def _start_probe(self, now: float) -> list[Effect]:
        self._next_probe = now + PROBE_INTERVAL_S
        member = self._view.peers.next_to_probe()
        if member is None:
            return []
        ping = self._make_ping(member.node, self._view.news_to_refute(member.node))
        self._probe = _Probe(ping.sequence, member, now + PROBE_TIMEOUT_S)
        return [Send(address_of(member.frames), ping)]

    def _probe_indirectly(self, now: float) -> list[Effect]:
        probe = self._probe
        if probe is None or probe.is_indirect or now < probe.indirect_at:
            return []
        probe.is_indirect = True
        target = probe.member
        reply_to = self._view.local_member.frames
        request = PingRequest(probe.sequence, target.node, target.frames, reply_to)
        helpers = self._view.peers.sample(INDIRECT_PROBE_HELPERS + 1)
        helpers = [m for m in helpers if m.node != target.node][:INDIRECT_PROBE_HELPERS]
        return [Send(address_of(helper.frames), request) for helper in helpers]

    def _finish_probe(self, now: float) -> list[Effect]:
        probe, self._probe = self._probe, None
        return self._view.suspect(probe.member.node, now) if probe else []

    def _reconnect(self, now: float) -> list[Effect]:
        """Ping a removed node and an unknown seed, to heal after a partition."""
        self._remove_expired(now)
        members = {member.frames for member in self._view.peers.members}
        self._next_reconnect = now + (
            RECONNECT_INTERVAL_S if members else PROBE_INTERVAL_S
        )
        effects: list[Effect] = []
        tombstone = self._view.peers.random_tombstone()
        if tombstone is not None:
            ping = self._make_ping(tombstone.member.node, (tombstone,))
            effects.append(Send(address_of(tombstone.member.frames), ping))
        known_addresses = members | {self._view.local_member.frames}
        unknown_seeds = [
            seed for seed in self._seeds if str(seed) not in known_addresses
        ]
        if unknown_seeds:
            ping = self._make_ping(NodeName(""), ())
            effects.append(Send(self._rng.choice(unknown_seeds), ping))
        return effects

    def _early_sync_delay_s(self) -> float:
        return EARLY_SYNC_DELAY_S * (0.5 + self._rng.random())

    def _remove_expired(self, now: float) -> None:
        self._view.peers.remove_tombstones(now - TOMBSTONE_TTL_S)
        for sequence in [
            n for n, f in self._relayed_probes.items() if f.expires_at < now
        ]:
            del self._relayed_probes[sequence]

    def _start_sync(self, now: float) -> list[Effect]:
        self._next_sync = now + SYNC_INTERVAL_S * (0.5 + self._rng.random())
        peers = self._view.peers.sample(1)
        return [Synchronise(address_of(member.frames)) for member in peers]

    def _gossip(self) -> list[Effect]:
        local_member = self._view.local_member
        return [
            Send(
                address_of(member.frames),
                Spread(
                    local_member.node,
                    local_member.frames,
                    self._document_index,
                    self._select_news(()),
                ),
            )
            for member in self._view.peers.sample_own_zone_first(GOSSIP_FANOUT)
        ]

    def _answer_ping(self, ping: Ping, now: float) -> list[Effect]:
        effects = self._handle_sender(ping, now)
        if ping.target not in ("", self._view.local_member.node):
            return effects
        news = self._select_news(self._view.news_for(ping.sender), ping.sender.zone)
        ack = Ack(ping.sequence, self._view.local_member, self._document_index, news)
        return [*effects, Send(address_of(ping.sender.frames), ack)]

    def _handle_sender(self, datagram: Ping | Ack, now: float) -> list[Effect]:
        sender = datagram.sender
        known = self._view.news_of(sender.node)
        if known is None or known.health.is_gone:
            # Both nodes may have missed many updates: synchronise early.
            is_joining = (
                known is None and len(self._view.peers.members) < MIN_KNOWN_MEMBERS
            )
            wait_s = INITIAL_SYNC_DELAY_S if is_joining else self._early_sync_delay_s()
            self._next_sync = min(self._next_sync, now + wait_s)
        seen = DocumentIndexReport(
            sender.node, address_of(sender.frames), datagram.documents
        )
        return [seen, *self.merge_news((News(sender), *datagram.news), now)]

    def _handle_ack(self, ack: Ack, now: float) -> list[Effect]:
        effects = self._handle_sender(ack, now)
        effects.append(PeerAnswered(ack.sequence))
        probe = self._probe
        if probe is not None and probe.sequence == ack.sequence:
            if probe.member.node == ack.sender.node:
                self._probe = None
            return effects
        relayed_probe = self._relayed_probes.pop(ack.sequence, None)
        if relayed_probe is not None and relayed_probe.target == ack.sender.node:
            relayed = Ack(
                relayed_probe.requester_sequence, ack.sender, ack.documents, ()
            )
            effects.append(Send(relayed_probe.reply_to, relayed))
        return effects

    def _relay_probe(self, request: PingRequest, now: float) -> list[Effect]:
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            return []
        ping = self._make_ping(
            request.target, self._view.news_to_refute(request.target)
        )
        self._relayed_probes[ping.sequence] = _RelayedProbe(
            request.sequence,
            request.target,
            address_of(request.reply_to),
            now + RELAYED_PROBE_TTL_S,
        )
        return [Send(address_of(request.address), ping)]

    def _make_ping(self, target: NodeName, priority_news: tuple[News, ...]) -> Ping:
        self._sequence = (self._sequence + 1) % 2**32
        known = self._view.news_of(target)
        zone = known.member.zone if known is not None else None
        return Ping(
            self._sequence,
            target,
            self._view.local_member,
            self._document_index,
            self._select_news(priority_news, zone),
        )

    def _select_news(
        self, priority_news: tuple[News, ...], zone: ZoneName | None = None
    ) -> tuple[News, ...]:
        """Return the priority news and queued ones, few for probes of other zones."""
        budget_bytes = (
            MAX_DATAGRAM_BYTES
            - DATAGRAM_OVERHEAD_BYTES
            - wire_bytes(News(self._view.local_member))
        )
        budget_bytes -= sum(map(wire_bytes, priority_news))
        if zone not in (None, self._view.local_member.zone):
            budget_bytes = min(budget_bytes, MAX_REMOTE_NEWS_BYTES)
        member_count = len(self._view.peers.members)
        return priority_news + self._view.queue.take(budget_bytes, member_count)
