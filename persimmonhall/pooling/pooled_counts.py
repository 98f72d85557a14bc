"""Connect the counts of a node with the collectors of all zones.

Runs without a network: datagrams are passed in and sent by a function.
"""

import math
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from persimmonhall.events import Event, EventLog
from persimmonhall.ids import NodeName, OrganisationName, ZoneName
from persimmonhall.membership.control_members import CONTROL_SERVICE
from persimmonhall.membership.messages import Member, MemberState, ReportTopic
from persimmonhall.membership.table import MemberTable
from persimmonhall.pooling.collector import Collector
from persimmonhall.pooling.limit_log import LimitLog
from persimmonhall.pooling.messages import (
    CountsReport,
    LimitsAnswer,
    decode_counts,
    decode_limits,
    encode_counts,
    encode_limits,
)
from persimmonhall.pooling.node_limits import ANSWER_AGE_S, NodeLimits, order_of
from persimmonhall.pooling.subject import (
    Quota,
    QuotaBounds,
    SubjectId,
    quotas_of,
    subject_of,
)
from persimmonhall.release.schema import Organisation

STEP_INTERVAL_S = 0.1
TOTALS_INTERVAL_S = 0.2
# With more nodes in a zone each reports half as often, to bound the collector's work,
LARGE_ZONE_NODES = 40
# and with more of them they are divided between collectors.
MAX_NODES_PER_COLLECTOR = 100
MEMBERS_INTERVAL_S = 0.5
# Collectors of another zone that are told while none of it has been heard.
UNHEARD_COLLECTORS = 2
# The whole counts are sent for this long to a collector that was not heard before.
FULL_TOTALS_S = 1.0

SendReport = Callable[[ReportTopic, bytes, tuple[Member, ...]], None]


class SubjectRates(NamedTuple):
    """Show one organisation at its collector, in requests per second."""

    name: OrganisationName
    asked: float
    admitted: float
    quota: Quota
    fraction: float
    share: float

    @property
    def refused_by_quota(self) -> float:
        """Return the rate that the quota refuses."""
        return self.asked * (1 - self.fraction)

    @property
    def refused_otherwise(self) -> float:
        """Return the rate that did not run for other reasons."""
        return max(0.0, self.asked - self.admitted - self.refused_by_quota)


class PooledCounts:
    """Count at a node, and collect for the zone while its nodes ask for it."""

    def __init__(
        self,
        table: MemberTable,
        bounds: QuotaBounds,
        rng: random.Random,
        send: SendReport,
        log: EventLog,
        now: float,
    ):
        local = table.local_member
        self._table = table
        self._node = local.node
        self._zone = local.zone
        self._bounds = bounds
        self._rng = rng
        self._send = send
        self._log = log
        self._limit_log = LimitLog(log)
        self._quotas: dict[SubjectId, Quota] = {}
        self._organisations: tuple[Organisation, ...] = ()
        self._names: dict[SubjectId, OrganisationName] = {}
        self._collector: Collector | None = None
        self._zones: dict[ZoneName, list[NodeName]] = {}
        self._known_nodes = _KnownNodes()
        self._leaving: set[NodeName] = set()
        self._reach = 1.0
        self._members_at = self._totals_at = self._reported_at = -1.0
        self._stepped_at = now
        self._known_collectors: dict[NodeName, float] = {}
        self._logged_collector: NodeName | None = None
        self._was_connected = True
        self.limits = NodeLimits(local.node, bounds, rng, now)
        # Whether a level refuses requests here, so that shares matter.
        self.is_rationing = False

    @property
    def collector(self) -> NodeName | None:
        """Return the node that this one reports to."""
        return self.limits.collector

    @property
    def is_collector(self) -> bool:
        """Return whether this node sums the counts of others."""
        return self._collector is not None

    def set_organisations(self, organisations: tuple[Organisation, ...]) -> None:
        """Set the organisations of the active release."""
        if organisations is self._organisations:
            return
        self._organisations = organisations
        self._names = {subject_of(item.name): item.name for item in organisations}
        self._quotas = quotas_of(organisations)
        self.limits.set_quotas(self._quotas)
        if self._collector is not None:
            self._collector.set_quotas(self._quotas)

    def step(self, now: float) -> None:
        """Send what is due; call every STEP_INTERVAL_S."""
        if not self._organisations:
            self._collector = None
            return
        if now - self._members_at >= MEMBERS_INTERVAL_S:
            self._members_at = now
            self._read_members(now)
        self._step_collector(now)
        zone_nodes = self._zones.get(self._zone, [])
        is_large = len(zone_nodes) > LARGE_ZONE_NODES
        interval_s = STEP_INTERVAL_S * (2 if is_large else 1)
        if now - self._reported_at >= 0.9 * interval_s:
            self._reported_at = now
            # Of reports that are rarer each needs an answer.
            self._report(zone_nodes, 0.0 if is_large else ANSWER_AGE_S, now)
        self._log_connection(now)

    def handle_counts(self, sender: NodeName, payload: bytes, now: float) -> None:
        """Handle a datagram about counts: a report of a node or the answer to one."""
        answer = decode_limits(payload)
        if answer is not None:
            self.limits.receive_limits(sender, answer, now)
            return
        report = decode_counts(payload)
        member = self._table.get(sender)
        if report is None or member is None or not self._organisations:
            return
        answer = self._collect(sender, report, now)
        if answer is not None:
            for datagram in encode_limits(answer):
                self._send(ReportTopic.COUNTS, datagram, (member,))

    def handle_totals(self, sender: NodeName, payload: bytes, now: float) -> None:
        """Handle the sums of another collector."""
        report = decode_counts(payload)
        member = self._table.get(sender)
        if report is None or member is None or self._collector is None:
            return
        self._collector.receive_totals(sender, member.zone, report, now)

    def rates(self) -> list[SubjectRates]:
        """Return all organisations at this collector, the busiest first."""
        if self._collector is None:
            return []
        rows = [
            SubjectRates(
                self._names[subject],
                state.asked_rate.per_s,
                state.admitted_rate.per_s,
                self._quotas[subject],
                state.limit.fraction,
                state.share,
            )
            for subject, state in self._collector.subjects.items()
        ]
        return sorted(rows, key=lambda row: -row.asked)

    def _report(
        self, zone_nodes: list[NodeName], answer_age_s: float, now: float
    ) -> None:
        first = xxhash.xxh3_64_intdigest(self._node.encode()) % _divisor(zone_nodes)
        candidates = zone_nodes[first:] + zone_nodes[:first]
        report = self.limits.step(
            now,
            candidates,
            needs_shares=self.is_rationing,
            answer_age_s=answer_age_s,
        )
        if report is None:
            return
        collector, counts = report
        if collector == self._node:
            answer = self._collect(self._node, counts, now)
            if answer is not None:
                self.limits.receive_limits(self._node, answer, now)
            return
        member = self._table.get(collector)
        if member is not None:
            for datagram in encode_counts(counts):
                self._send(ReportTopic.COUNTS, datagram, (member,))

    def _collect(
        self, sender: NodeName, report: CountsReport, now: float
    ) -> LimitsAnswer | None:
        if self._collector is None:
            self._collector = self._make_collector(now)
        answer = self._collector.receive_counts(sender, report, now)
        # A node that only hears itself can't know what the others run.
        has_others = self.limits.fleet_size > 1
        is_alone = has_others and self._collector.is_alone(self._node, now)
        return None if is_alone else answer

    def _make_collector(self, now: float) -> Collector:
        boot = self._rng.getrandbits(32)
        collector = Collector(self._zone, self._bounds, boot, now)
        collector.set_quotas(self._quotas)
        counts = self._known_nodes.count_by_zone()
        collector.set_node_counts(counts, self._reach, now)
        collector.shares_zone = _divisor(self._zones.get(self._zone, [])) > 1
        self._known_collectors.clear()
        return collector

    def _step_collector(self, now: float) -> None:
        collector = self._collector
        if collector is None:
            return
        if not collector.step(now):
            collector = self._collector = self._make_collector(now)
        elif not collector.has_reports(now):
            self._collector = None
            return
        self._limit_log.update(collector, self._names, now)
        interval_s = STEP_INTERVAL_S if collector.is_urgent else TOTALS_INTERVAL_S
        if now - self._totals_at >= 0.9 * interval_s:
            self._totals_at = now
            self._send_totals(collector, now)

    def _send_totals(self, collector: Collector, now: float) -> None:
        heard = collector.heard_collectors(now)
        targets = set(heard)
        for zone, nodes in self._zones.items():
            count = _divisor(nodes)
            if zone not in heard.values():
                count = max(count, UNHEARD_COLLECTORS)
            targets.update(nodes[:count])
        targets.discard(self._node)
        for node in [n for n in self._known_collectors if n not in heard]:
            del self._known_collectors[node]
        changed, full = collector.make_totals(now)
        for report, is_full in ((changed, False), (full, True)):
            members = []
            for node in sorted(targets):
                since = self._known_collectors.get(node, now)
                if node in heard:
                    self._known_collectors[node] = since
                is_new = now - since < FULL_TOTALS_S
                if is_new == is_full and (member := self._table.get(node)):
                    members.append(member)
            if members:
                for datagram in encode_counts(report):
                    self._send(ReportTopic.TOTALS, datagram, tuple(members))

    def _read_members(self, now: float) -> None:
        zones: dict[ZoneName, list[NodeName]] = {}
        leaving: set[NodeName] = set()
        for member in self._table.all_members():
            if member.service == CONTROL_SERVICE:
                continue
            zones.setdefault(member.zone, []).append(member.node)
            if member.state is MemberState.LEAVING:
                # The node itself, or only its backend server.
                leaving.add(member.node)
            self._known_nodes.add(member)
        for node in self._leaving - leaving:
            if self._table.get(node) is None:
                self._known_nodes.remove(node)
        self._leaving = leaving
        self._zones = {
            zone: sorted(order_of(nodes), key=leaving.__contains__)
            for zone, nodes in zones.items()
        }
        counts = self._known_nodes.count_by_zone()
        reached = sum(count for zone, count in counts.items() if zone in zones)
        self._reach = reached / (sum(counts.values()) or 1)
        self.limits.set_fleet(sum(map(len, zones.values())), self._reach)
        if self._collector is not None:
            self._collector.set_node_counts(counts, self._reach, now)

    def _log_connection(self, now: float) -> None:
        if self.limits.collector != self._logged_collector:
            self._logged_collector = self.limits.collector
            self._log.emit(Event.COLLECTOR_CHANGED, collector=self.limits.collector)
        is_connected = self.limits.is_connected(now)
        if is_connected != self._was_connected:
            self._was_connected = is_connected
            event = Event.COLLECTOR_REGAINED if is_connected else Event.COLLECTOR_LOST
            self._log.emit(event, collector=self.limits.collector)


def _divisor(zone_nodes: list[NodeName]) -> int:
    """Return the number of collectors that share the nodes of a zone."""
    return max(1, math.ceil(len(zone_nodes) / MAX_NODES_PER_COLLECTOR))


class _KnownNodes:
    """Remember all nodes that have not left by themselves.

    Membership removes those that are cut off, but they still spend their part.
    """

    def __init__(self):
        self._zones: dict[NodeName, ZoneName] = {}

    def add(self, member: Member) -> None:
        """Add a node."""
        self._zones[member.node] = member.zone

    def remove(self, node: NodeName) -> None:
        """Remove a node that has left."""
        self._zones.pop(node, None)

    def count_by_zone(self) -> dict[ZoneName, int]:
        """Return the number of nodes in each zone."""
        return dict(Counter(self._zones.values()))
