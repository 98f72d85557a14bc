"""Run many membership cores on a simulated network with seeded faults."""

import heapq
import itertools
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, replace

from persimmonhall.address import Address, parse_address
from persimmonhall.ids import InstanceId, NodeName, ServiceName, ZoneName
from persimmonhall.membership.core import MembershipCore
from persimmonhall.membership.effects import Effect, HealthChanged, Send, Synchronise
from persimmonhall.membership.messages import (
    DATAGRAMS,
    Datagram,
    Differences,
    Health,
    Member,
    MemberState,
    News,
    encode_differences,
)
from persimmonhall.membership.sync import (
    bucket_digests,
    find_differences,
    news_in_buckets,
)
from persimmonhall.membership.table import MemberTable

MIN_DELAY_S = 0.001


@dataclass
class DatagramFaults:
    """Set the probabilities of lost, duplicated and late datagrams."""

    loss: float = 0.0
    duplicates: float = 0.0
    late: float = 0.0
    late_s: float = 0.2


@dataclass
class SimulatedNode:
    """Store a node's core, its counters and its frozen state."""

    member: Member
    table: MemberTable
    core: MembershipCore
    frozen: bool = False
    sent_bytes: int = 0
    sent_between_zones_bytes: int = 0
    received_bytes: int = 0
    core_s: float = 0.0


class SimulatedNetwork:
    """Deliver datagrams between cores in simulated time."""

    def __init__(self, seed: int, faults: DatagramFaults, *, count_bytes: bool = False):
        self.now = 0.0
        self.faults = faults
        self.nodes: dict[NodeName, SimulatedNode] = {}
        self.health_changes: list[tuple[float, NodeName, HealthChanged]] = []
        self.max_datagram_bytes = 0
        self._rng = random.Random(seed)
        self._count_bytes = count_bytes
        self._addresses: dict[Address, NodeName] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._events: list = []
        self._event_numbers = itertools.count()

    def start(self, number: int, zone: str, incarnation: int = 1) -> NodeName:
        """Start a node, or restart it with an empty member table."""
        name = NodeName(f"{zone}-{number}")
        frames = f"10.0.{number // 250}.{number % 250 + 1}:7000"
        seeds = tuple(list(self._addresses)[:3])
        member = Member(
            name,
            ZoneName(zone),
            "viti",
            frames,
            incarnation,
            0,
            ServiceName("cue"),
            4,
            MemberState.READY,
        )
        table = MemberTable(member)
        rng = random.Random(self._rng.random())
        core = MembershipCore(table, seeds, rng, self.now)
        self._addresses[parse_address(frames).unwrap()] = name
        self.nodes[name] = SimulatedNode(member, table, core)
        self._schedule_tick(name)
        return name

    def introduce_all(self) -> None:
        """Give every node all members, as after a completed join."""
        news = tuple(News(node.member) for node in self.nodes.values())
        for node in self.nodes.values():
            node.core.merge_synchronised(news, self.now)

    def kill(self, name: NodeName) -> None:
        """Remove a node without notice."""
        del self.nodes[name]

    def set_state(self, name: NodeName, state: MemberState) -> None:
        """Change the state that a node announces."""
        node = self.nodes[name]
        node.core.update_local_member(replace(node.table.local_member, state=state))
        self._schedule_tick(name)

    def record_departure(
        self, name: NodeName, instance: InstanceId, members: Iterable[NodeName]
    ) -> None:
        """Announce a departure and ping some members with it, as before its ack."""
        node = self.nodes[name]
        node.core.record_departure(instance, 1000, 7)
        targets = [self.nodes[member].member for member in members]
        self._apply_effects(node, node.core.ping_members(targets))

    def cut(self, sender: str, receiver: str) -> None:
        """Drop all traffic from one zone to another."""
        self._cuts.add((sender, receiver))

    def end_cuts(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def resume(self, name: NodeName) -> None:
        """Resume a frozen node."""
        self.nodes[name].frozen = False
        self._schedule_tick(name)

    def run(self, seconds: float) -> None:
        """Process events for the given simulated time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = end

    def observed_health(self, observer: NodeName, node: NodeName) -> Health | None:
        """Return the health that one node has recorded for another."""
        return self.nodes[observer].core.health(node)

    def are_all_members(self) -> bool:
        """Return whether every running node sees every other as a member."""
        return all(
            (health := self.observed_health(observer, name)) is not None
            and not health.is_gone
            for observer in self.nodes
            for name in self.nodes
            if observer != name
        )

    def all_observe(self, health: Health, names: Iterable[NodeName]) -> bool:
        """Return whether all running nodes see the given health for all named nodes."""
        held = {
            self.observed_health(observer, name)
            for observer in self.nodes
            for name in names
        }
        return held == {health}

    def _schedule(self, at: float, act) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), act))

    def _schedule_tick(self, name: NodeName) -> None:
        node = self.nodes[name]
        due = max(self.now, node.core.next_tick())
        self._schedule(due, lambda: self._tick(node, due))

    def _tick(self, node: SimulatedNode, due: float) -> None:
        name = node.member.node
        if node.frozen or self.nodes.get(name) is not node:
            return
        if node.core.next_tick() > self.now:
            return
        self._apply_effects(node, self._timed(node, lambda: node.core.tick(self.now)))

    def _apply_effects(self, node: SimulatedNode, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(address, datagram):
                    self._send(node, address, datagram)
                case Synchronise(address):
                    self._synchronise(node, address)
                case HealthChanged():
                    self.health_changes.append((self.now, node.member.node, effect))
        self._schedule_tick(node.member.node)

    def _send(self, node: SimulatedNode, address: Address, datagram: Datagram) -> None:
        size = len(DATAGRAMS.encode(datagram)) if self._count_bytes else 0
        self.max_datagram_bytes = max(self.max_datagram_bytes, size)
        node.sent_bytes += size
        target = self.nodes.get(self._addresses.get(address))
        if target is not None and target.member.zone != node.member.zone:
            node.sent_between_zones_bytes += size
        if not self._can_reach(node, address) or self._rng.random() < self.faults.loss:
            return
        for _ in range(1 + (self._rng.random() < self.faults.duplicates)):
            delay = MIN_DELAY_S * (1 + self._rng.random())
            if self._rng.random() < self.faults.late:
                delay += self.faults.late_s * self._rng.random()
            self._schedule(
                self.now + delay, lambda: self._deliver(address, datagram, size)
            )

    def _can_reach(self, node: SimulatedNode, address: Address) -> bool:
        target = self.nodes.get(self._addresses.get(address))
        if target is None:
            return False
        return (node.member.zone, target.member.zone) not in self._cuts

    def _deliver(self, address: Address, datagram: Datagram, size: int) -> None:
        node = self.nodes.get(self._addresses[address])
        if node is None or node.frozen:
            return
        node.received_bytes += size
        self._apply_effects(
            node, self._timed(node, lambda: node.core.receive(datagram, self.now))
        )

    def _timed(self, node: SimulatedNode, act) -> list[Effect]:
        begin = time.perf_counter()
        effects = act()
        node.core_s += time.perf_counter() - begin
        return effects

    def _synchronise(self, node: SimulatedNode, address: Address) -> None:
        peer = self.nodes.get(self._addresses.get(address))
        if peer is None or peer.frozen or not self._can_reach(node, address):
            return
        if (peer.member.zone, node.member.zone) in self._cuts:
            return
        differences = find_differences(bucket_digests(node.core.news), peer.core.news)
        local_news = news_in_buckets(node.core.news, differences.buckets)
        if self._count_bytes and peer.member.zone != node.member.zone:
            peer.sent_between_zones_bytes += len(encode_differences(differences))
            exchanged = Differences((), local_news)
            node.sent_between_zones_bytes += len(encode_differences(exchanged))
        self._apply_effects(
            node, node.core.merge_synchronised(differences.news, self.now)
        )
        self._apply_effects(peer, peer.core.merge_synchronised(local_news, self.now))
