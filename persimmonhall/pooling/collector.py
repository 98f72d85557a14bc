"""Sum the counts of all nodes and limit the organisations that exceed their quota.

A collector sums the nodes of its zone and hears the sums of the other collectors. It
keeps no state that a new one could not get from the nodes within a second.
"""

from dataclasses import dataclass, field

from persimmonhall.ids import NodeName, ZoneName
from persimmonhall.pooling.counts import Change, CountsSource, CumulativeCounts
from persimmonhall.pooling.late_zones import LateZones
from persimmonhall.pooling.messages import CountsReport, LimitsAnswer
from persimmonhall.pooling.quota_bucket import QuotaBucket, Rate, average_weight
from persimmonhall.pooling.shares import (
    MIN_DIFFERENCE,
    Demand,
    share_of,
    typical_ratio,
)
from persimmonhall.pooling.subject import Limit, Quota, QuotaBounds, SubjectId
from persimmonhall.pooling.zone_parts import ZoneParts

# Time in which all nodes and the other collectors report to a new collector.
WARM_UP_S = 0.5
# A collector that did not run for this long has missed what it should sum.
MAX_STEP_GAP_S = 0.6
# A reporter that was silent for this long may have reported to another collector.
MAX_SOURCE_GAP_S = 1.0
RATE_TIME_S = 0.4
# Averages over this time show the onset of a surge.
ONSET_TIME_S = 0.15
# Below this part of its depth a bucket may soon be empty.
LOW_FRACTION = 0.5
SHARES_INTERVAL_S = 0.5
# Bins of two nodes begin at different times, so their windows differ by a bin.
COUNTED_FRACTION = 0.9


@dataclass(slots=True)
class SubjectState:
    """Hold the sums of one subject over all zones, and its bucket."""

    bucket: QuotaBucket | None = None
    asked: float = 0
    admitted: float = 0
    asked_since: float = 0
    asked_rate: Rate = field(default_factory=lambda: Rate(RATE_TIME_S))
    latest_asked_rate: Rate = field(default_factory=lambda: Rate(ONSET_TIME_S))
    latest_admitted_rate: Rate = field(default_factory=lambda: Rate(ONSET_TIME_S))
    admitted_rate: Rate = field(default_factory=lambda: Rate(RATE_TIME_S))
    demand: Demand = field(default_factory=Demand)
    share: float = 1.0
    limit: Limit = field(default_factory=Limit)


class Collector:
    """Sum counts, keep the buckets and answer the nodes of the zone."""

    def __init__(self, zone: ZoneName, bounds: QuotaBounds, boot: int, now: float):
        self._zone = zone
        self._bounds = bounds
        self._started_at = self._stepped_at = self._shares_at = now
        self._boot = boot
        self._parts = ZoneParts(zone)
        self._own_counts = CumulativeCounts(bounds.window_s, boot, now)
        self._nodes: dict[NodeName, CountsSource] = {}
        self._collectors: dict[NodeName, tuple[ZoneName, CountsSource]] = {}
        self._quotas: dict[SubjectId, Quota] = {}
        self._subjects: dict[SubjectId, SubjectState] = {}
        self._zone_admitted: dict[ZoneName, dict[SubjectId, int]] = {}
        # What the other zones are known to have run.
        self._zone_counts: dict[ZoneName, CumulativeCounts] = {}
        self._late_zones = LateZones()
        self._limits: dict[SubjectId, Limit] = {}
        self._limits_and_shares: dict[SubjectId, Limit] = {}
        # Whether the other collectors of the zone sum other nodes.
        self.shares_zone = False
        self._reported_reach = 1.0
        self._is_ready = False
        self._is_urgent = False

    @property
    def is_ready(self) -> bool:
        """Return whether the sums cover all nodes that could report."""
        return self._is_ready

    @property
    def subjects(self) -> dict[SubjectId, SubjectState]:
        """Return the sums of all subjects."""
        return self._subjects

    @property
    def is_urgent(self) -> bool:
        """Return whether a quota may soon be exceeded, so that sums must be recent."""
        return self._is_urgent

    @property
    def cut_zones(self) -> frozenset[ZoneName]:
        """Return the zones that can't be reached."""
        return self._parts.cut

    def has_reports(self, now: float) -> bool:
        """Return whether a node has reported here lately."""
        return any(
            now - node.heard_at < MAX_SOURCE_GAP_S for node in self._nodes.values()
        )

    def is_alone(self, node: NodeName, now: float) -> bool:
        """Return whether no report of another node has come lately."""
        return not self.heard_collectors(now) and all(
            name == node or now - source.heard_at > MAX_SOURCE_GAP_S
            for name, source in self._nodes.items()
        )

    def heard_collectors(self, now: float) -> dict[NodeName, ZoneName]:
        """Return the collectors that have reported lately."""
        return {
            node: zone
            for node, (zone, source) in self._collectors.items()
            if now - source.heard_at < MAX_SOURCE_GAP_S
        }

    def set_quotas(self, quotas: dict[SubjectId, Quota]) -> None:
        """Set the quotas of the active release."""
        if quotas is self._quotas:
            return
        self._quotas = quotas
        self._own_counts.keep(quotas)
        for subject in [s for s in self._subjects if s not in quotas]:
            del self._subjects[subject]
        for subject, quota in quotas.items():
            state = self._subjects.setdefault(subject, SubjectState())
            if quota.rate_per_s <= 0:
                state.bucket = None
            elif state.bucket is None:
                state.bucket = QuotaBucket(quota, self._bounds)
                state.bucket.level = state.bucket.depth(self._part(subject))
            else:
                state.bucket.set_quota(quota, self._part(subject))

    def set_node_counts(
        self, counts: dict[ZoneName, int], reach: float, now: float
    ) -> None:
        """Set the nodes by zone, and which part of them is in zones in reach."""
        self._parts.set_node_counts(counts, now)
        self._own_counts.reach = reach

    def receive_counts(
        self, sender: NodeName, report: CountsReport, now: float
    ) -> LimitsAnswer | None:
        """Add the counts of a node of the zone and answer with the limits.

        None if the node needs no answer and nothing is limited or soon may be.
        """
        source = self._nodes.setdefault(sender, CountsSource())
        changes = source.merge(report, now, MAX_SOURCE_GAP_S)
        for subject, change in changes.items():
            self._own_counts.add(subject, change.asked, change.admitted, now)
            if not self._is_ready and change.recent:
                self._own_counts.add_recent(subject, change.recent, now)
        self._add(self._zone, changes)
        has_news = self._is_urgent or bool(self._limits) or not self._is_ready
        if not report.needs_answer and not has_news:
            return None
        return LimitsAnswer(
            report.boot,
            report.sequence,
            self._boot,
            self._is_ready,
            self._limits_and_shares if report.needs_shares else self._limits,
            report.needs_shares,
            self._is_urgent,
        )

    def receive_totals(
        self, sender: NodeName, zone: ZoneName, report: CountsReport, now: float
    ) -> None:
        """Add what another collector has counted."""
        if sender not in self._collectors:
            self._collectors[sender] = (zone, CountsSource())
        source = self._collectors[sender][1]
        changes = source.merge(report, now, MAX_SOURCE_GAP_S)
        if zone not in self._parts.cut:
            # Until its part is given back, a zone uses that and not what is here.
            self._add(zone, changes)
        if zone == self._zone:
            return
        self._late_zones.record(zone, changes)
        for subject, asked, admitted in self._late_zones.take_back(zone):
            if zone not in self._parts.cut:
                self._add_assumed(subject, -asked, -admitted)
        counted = self._counted_in(zone, now)
        for subject, change in changes.items():
            counted.add(subject, change.asked, change.admitted, now)
        if self._is_ready and source.has_begun(now, MAX_SOURCE_GAP_S):
            self._add_missed(zone, report, now)
        self._parts.hear(zone, now)

    def make_totals(self, now: float) -> tuple[CountsReport, CountsReport]:
        """Report the counts of the own zone: what has changed, and everything."""
        changed = self._own_counts.make_report(now, is_first=False)
        return changed, self._own_counts.repeat_in_full(changed, now)

    def step(self, now: float) -> bool:
        """Update the limits; return False if the collector has to start again."""
        elapsed_s = now - self._stepped_at
        if elapsed_s <= 0:
            return True
        if elapsed_s > MAX_STEP_GAP_S:
            return False
        self._stepped_at = now
        self._parts.update(now)
        self._update_reach(now)
        if not self._is_ready and now - self._started_at >= WARM_UP_S:
            self._start_buckets(now)
        if self._is_ready:
            self._parts.advance(self._zone_admitted, self._subjects, elapsed_s, now)
        self._zone_admitted.clear()
        are_shares_due = now - self._shares_at >= SHARES_INTERVAL_S
        late = self._parts.late(now)
        for subject, asked, admitted in self._late_zones.advance(late, elapsed_s):
            self._add_assumed(subject, asked, admitted)
        weights = (
            average_weight(elapsed_s, RATE_TIME_S),
            average_weight(elapsed_s, ONSET_TIME_S),
        )
        for subject, state in self._subjects.items():
            self._advance(subject, state, elapsed_s, *weights)
        if are_shares_due:
            self._update_shares(now)
        self._collect_limits()
        return True

    def _collect_limits(self) -> None:
        """Find the subjects that answers tell of, once for all answers."""
        self._limits = {}
        self._limits_and_shares = {}
        self._is_urgent = False
        for subject, state in self._subjects.items():
            limit = state.limit
            bucket = state.bucket
            if bucket is not None and bucket.level < LOW_FRACTION * bucket.depth(1.0):
                self._is_urgent = True
            if limit.fraction < 1.0:
                self._limits[subject] = Limit(limit.fraction, 1.0, limit.wait_s)
            if limit.fraction < 1.0 or limit.share != 1.0:
                self._limits_and_shares[subject] = limit

    def _add(self, zone: ZoneName, changes: dict[SubjectId, Change]) -> None:
        zone_admitted = self._zone_admitted.setdefault(zone, {})
        for subject, change in changes.items():
            state = self._subjects.get(subject)
            if state is None:
                continue
            state.asked += change.asked
            state.admitted += change.admitted
            zone_admitted[subject] = zone_admitted.get(subject, 0) + change.admitted

    def _add_assumed(self, subject: SubjectId, asked: float, admitted: float) -> None:
        state = self._subjects.get(subject)
        if state is not None:
            state.asked += asked
            state.admitted += admitted

    def _counted_in(self, zone: ZoneName, now: float) -> CumulativeCounts:
        counted = self._zone_counts.get(zone)
        if counted is None:
            counted = CumulativeCounts(self._bounds.window_s, 0, now)
            self._zone_counts[zone] = counted
        return counted

    def _add_missed(self, zone: ZoneName, report: CountsReport, now: float) -> None:
        """Drain what a zone ran between its last collector and this one.

        A zone that was cut off had a part of its own.
        """
        counted = self._counted_in(zone, now)
        cut_fraction = min(1.0, self._parts.cut_s(zone, now) / self._bounds.window_s)
        for subject, count in report.counts.items():
            state = self._subjects.get(subject)
            if state is None or state.bucket is None:
                continue
            allowed = state.bucket.window_size() * (1 - self._part(subject))
            known = counted.recent(subject, now) + cut_fraction * allowed
            missed = int(COUNTED_FRACTION * count.recent - known)
            if missed > 0:
                state.admitted += missed
                counted.add_recent(subject, missed, now)

    def _part(self, subject: SubjectId) -> float:
        """Return the part of a quota that may be used here."""
        if self._parts.cut:
            return self._parts.part(subject)
        # This process may be younger than a cut that others know of.
        return self._reported_reach

    def _update_reach(self, now: float) -> None:
        nodes = sorted(
            source.reach
            for source in self._nodes.values()
            if now - source.heard_at < MAX_SOURCE_GAP_S
        )
        others = [
            source.reach
            for _, source in self._collectors.values()
            if now - source.heard_at < MAX_SOURCE_GAP_S
        ]
        self._reported_reach = min([nodes[len(nodes) // 2] if nodes else 1.0, *others])

    def _start_buckets(self, now: float) -> None:
        self._is_ready = True
        covered = sorted(node.covered_s for node in self._nodes.values())
        covered_s = covered[len(covered) // 2] if covered else 0.0
        recent = self._recent_by_zone()
        for zone, counts in recent.items():
            if zone != self._zone:
                counted = self._counted_in(zone, now)
                for subject, count in counts.items():
                    missed = count - counted.recent(subject, now)
                    counted.add_recent(subject, missed, now)
        for subject, state in self._subjects.items():
            if state.bucket is not None:
                admitted = sum(counts.get(subject, 0) for counts in recent.values())
                part = self._part(subject)
                state.bucket.start(admitted, covered_s, part)

    def _recent_by_zone(self) -> dict[ZoneName, dict[SubjectId, int]]:
        """Return what was admitted in the last window, also before the start."""
        recent: dict[ZoneName, dict[SubjectId, int]] = {self._zone: {}}
        own = recent[self._zone]
        for node in self._nodes.values():
            for subject, count in node.recent.items():
                own[subject] = own.get(subject, 0) + count
        for zone, source in self._collectors.values():
            counts = recent.setdefault(zone, {})
            for subject, count in source.recent.items():
                if self.shares_zone:
                    counts[subject] = counts.get(subject, 0) + count
                elif zone != self._zone:
                    # Another one in the own zone counted the same nodes.
                    counts[subject] = max(count, counts.get(subject, 0))
        return recent

    def _advance(
        self,
        subject: SubjectId,
        state: SubjectState,
        elapsed_s: float,
        weight: float,
        onset_weight: float,
    ) -> None:
        asked, state.asked = state.asked, 0
        admitted, state.admitted = state.admitted, 0
        asked_per_s, admitted_per_s = asked / elapsed_s, admitted / elapsed_s
        state.asked_rate.blend(asked_per_s, weight)
        state.admitted_rate.blend(admitted_per_s, weight)
        state.latest_asked_rate.blend(asked_per_s, onset_weight)
        state.latest_admitted_rate.blend(admitted_per_s, onset_weight)
        state.asked_since += asked
        if state.bucket is None or not self._is_ready:
            state.limit = Limit(1.0, state.share)
            return
        part = self._part(subject)
        state.bucket.advance(elapsed_s, admitted, part)
        fraction = state.bucket.fraction(
            max(state.asked_rate.per_s, state.latest_asked_rate.per_s),
            state.latest_admitted_rate.per_s,
            part,
        )
        wait_s = state.bucket.wait_s(part) if fraction < 1.0 else 0.0
        state.limit = Limit(fraction, state.share, wait_s)

    def _update_shares(self, now: float) -> None:
        elapsed_s = now - self._shares_at
        self._shares_at = now
        demands = {}
        for subject, state in self._subjects.items():
            state.demand.advance(state.asked_since, elapsed_s)
            state.asked_since = 0
            rate = state.bucket.quota.rate_per_s if state.bucket is not None else 0.0
            demands[subject] = state.demand.of_quota(rate)
        typical = typical_ratio(demands.values())
        for subject, (demand, weight) in demands.items():
            share = share_of(demand, weight, typical)
            is_typical = abs(share - 1.0) < MIN_DIFFERENCE
            self._subjects[subject].share = 1.0 if is_typical else share
