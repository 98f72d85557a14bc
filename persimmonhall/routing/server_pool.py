"""Track the servers of one service and eject outliers."""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from absl import logging

from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.membership.messages import Member
from persimmonhall.routing.draw_table import DrawTable
from persimmonhall.routing.load import Load
from persimmonhall.routing.server_view import EjectReason, ServerView, Usability

OUTLIER_CHECK_INTERVAL_S = 0.5
MAX_SAMPLE_AGE_S = 2.0
MAX_CHECKED_SERVERS = 32
MIN_LATENCY_SAMPLES = 5
MIN_SLOWDOWN = 0.01
SLOW_FACTOR = 3.0
MIN_SLOW_EXCESS_S = 0.01
MAX_MEDIAN_FAILURE_RATE = 0.25
# While a service deeper in the call graph begins to fail, every server fails within a
# few calls of the others; a low median shows that the others do not.
MAX_MEDIAN_FAILURE_RATE_AT_ONCE = 0.1
MAX_EJECTED_FRACTION = 0.5
USAGE_WEIGHT = 0.05
MIN_BASELINE_WEIGHT = 0.005
ALWAYS_WARM = float("-inf")
# While the service has room, faster servers get more than their share, as requests
# take less time there; from this usage on shares are in proportion to speed.
PROPORTIONAL_USAGE = 0.5
MAX_SPEED_EXPONENT = 3.0
DRAW_TABLE_AGE_S = 0.1


@dataclass
class LatencyBaseline:
    """Average the latency of one kind of request over a long time."""

    latency_s: float = 0.0
    samples: int = 0

    def add(self, latency_s: float) -> None:
        """Add one latency."""
        self.samples += 1
        weight = max(MIN_BASELINE_WEIGHT, 1 / self.samples)
        self.latency_s += weight * (latency_s - self.latency_s)


@dataclass
class ServerPool:
    """Store the members that serve a service, with the router's view of each."""

    service: ServiceName
    members: tuple[Member, ...] = ()
    local_members: list[Member] = field(default_factory=list)
    remote_members: list[Member] = field(default_factory=list)
    views: dict[NodeName, ServerView] = field(default_factory=dict)
    mean_usage: float = 0.0
    next_outlier_check_at: float = 0.0
    baselines: dict[str, LatencyBaseline] = field(default_factory=dict)
    ejected_count: int = 0
    log_usual_times: dict[str, LatencyBaseline] = field(default_factory=dict)
    mean_log_slowdown: float = 0.0
    # Of the calls of this node and of others.
    mean_total_usage: float = 0.0
    nodes_by_hash: dict[int, NodeName] = field(default_factory=dict)
    # By kind of call, for the local and the remote members.
    local_draws: dict[str, DrawTable] = field(default_factory=dict)
    remote_draws: dict[str, DrawTable] = field(default_factory=dict)

    @property
    def speed_exponent(self) -> float:
        """Return the power of the speed to which candidates are drawn."""
        room = max(0.0, 1 - self.mean_total_usage / PROPORTIONAL_USAGE)
        return 1 + (MAX_SPEED_EXPONENT - 1) * room

    def set_members(
        self, members: tuple[Member, ...], zone: ZoneName, now: float
    ) -> None:
        """Update the members; a server that joins later goes through slow start."""
        warm_since = now if self.members else ALWAYS_WARM
        self.local_members = [m for m in members if m.zone == zone]
        self.remote_members = [m for m in members if m.zone != zone]
        self.views = {
            m.node: self.views.get(m.node) or ServerView(max(1, m.slots), warm_since)
            for m in members
        }
        self.members = members
        self.nodes_by_hash = {}
        self.local_draws = {}
        self.remote_draws = {}
        self._count_ejected()

    def record_latency(
        self, view: ServerView, path: str, latency_s: float, now: float
    ) -> None:
        """Record the latency of an answer of one server."""
        baseline = self.baselines.get(path)
        if baseline is None:
            baseline = self.baselines[path] = LatencyBaseline()
        baseline.add(latency_s)
        view.record_latency(latency_s, baseline.latency_s, now)

    def record_speed(self, view: ServerView, path: str, load: Load, now: float) -> None:
        """Record the load and the usual and current run time that a gate reports."""
        total_usage = (load.in_flight + load.queued) / max(1, load.limit)
        self.mean_total_usage += USAGE_WEIGHT * (total_usage - self.mean_total_usage)
        log_slowdown = math.log(max(MIN_SLOWDOWN, load.slowdown))
        view.record_slowdown(log_slowdown, now)
        self.mean_log_slowdown += USAGE_WEIGHT * (log_slowdown - self.mean_log_slowdown)
        if load.usual_run_s <= 0:
            return
        self.merge_usual_time(view, path, load.usual_run_s)

    def merge_usual_time(self, view: ServerView, path: str, usual_s: float) -> None:
        """Record the usual run time of a kind of call that a gate told."""
        log_usual = math.log(usual_s)
        baseline = self.log_usual_times.get(path)
        if baseline is None:
            baseline = self.log_usual_times[path] = LatencyBaseline()
        baseline.add(log_usual)
        view.record_usual_time(path, log_usual - baseline.latency_s)

    def typical_run_s(self, path: str) -> float:
        """Return the usual run time over the servers of the service, 0 if unknown."""
        baseline = self.log_usual_times.get(path)
        return math.exp(baseline.latency_s) if baseline is not None else 0.0

    def draw_table(
        self, members: Sequence[Member], path: str, now: float
    ) -> DrawTable | None:
        """Return the table for the local or remote members, None to draw evenly."""
        if path not in self.log_usual_times:
            return None
        is_local = members is self.local_members
        tables = self.local_draws if is_local else self.remote_draws
        table = tables.get(path)
        if table is None or now - table.made_at >= DRAW_TABLE_AGE_S:
            exponent = self.speed_exponent
            log_weights = [
                -exponent * self.views[member.node].log_ratios.get(path, 0.0)
                for member in members
            ]
            table = tables[path] = DrawTable(log_weights, now)
        return table

    def cost(self, view: ServerView, path: str, now: float, exponent: float) -> float:
        """Return the cost of one more call; a higher exponent favours fast servers."""
        cost = view.cost(self.mean_usage, path, now)
        if not view.log_ratios:
            return cost
        log_factor = (exponent - 1) * view.log_ratios.get(path, 0.0)
        log_factor += view.slowdown_penalty(self.mean_log_slowdown, now)
        return cost * math.exp(log_factor) if log_factor else cost

    def node_by_hash(
        self, digest: int, hash_of: Callable[[NodeName], int]
    ) -> NodeName | None:
        """Return the server's node with a hash, None if there is none."""
        if not self.nodes_by_hash:
            self.nodes_by_hash = {hash_of(node): node for node in self.views}
        return self.nodes_by_hash.get(digest)

    def merge_slowdown(self, node: NodeName, slowdown: float, at: float) -> None:
        """Merge the slowdown that the gate of a server told other nodes."""
        view = self.views[node]
        if at > view.slowdown_at:
            view.record_slowdown(math.log(max(MIN_SLOWDOWN, slowdown)), at)

    def record_failure(
        self, node: NodeName, is_failure: bool, rng: random.Random, now: float
    ) -> None:
        """Record whether a call failed; eject a server as soon as most calls fail."""
        view = self.views[node]
        was_failing = view.is_failing
        view.record_failure(is_failure)
        if view.is_failing and not was_failing and view.eject_reason is None:
            checked = self._pick_checked(self.members, rng)
            self._eject_failing(
                checked | {node: view}, MAX_MEDIAN_FAILURE_RATE_AT_ONCE, rng, now
            )

    def record_usage(self, usage: float) -> None:
        """Add one reported usage to the mean, which stands in for outdated reports."""
        self.mean_usage += USAGE_WEIGHT * (usage - self.mean_usage)

    def eject(
        self, node: NodeName, reason: EjectReason, rng: random.Random, now: float
    ) -> bool:
        """Eject a server; return False if too many are ejected already."""
        view = self.views[node]
        if view.eject_reason is None and not self._can_eject(reason):
            return False
        view.eject(reason, rng.random(), now)
        self._count_ejected()
        logging.info(
            "server ejected service=%s node=%s reason=%s seconds=%.1f times=%d",
            self.service,
            node,
            reason.value,
            view.ejected_until - now,
            view.ejection_count,
        )
        return True

    def restore(self, node: NodeName, now: float) -> None:
        """End the ejection of a server."""
        self.views[node].restore(now)
        self._count_ejected()
        logging.info("server restored service=%s node=%s", self.service, node)

    def _count_ejected(self) -> None:
        self.ejected_count = sum(
            v.eject_reason is not None for v in self.views.values()
        )

    def _can_eject(self, reason: EjectReason) -> bool:
        if reason.is_out_of_service:
            return self.ejected_count < len(self.views) - 1
        return self.ejected_count + 1 <= len(self.views) * MAX_EJECTED_FRACTION

    def eject_outliers(self, rng: random.Random, now: float) -> None:
        """Eject servers that are much slower or fail much more than the others."""
        if now < self.next_outlier_check_at:
            return
        self.next_outlier_check_at = now + OUTLIER_CHECK_INTERVAL_S
        local_views = self._pick_checked(self.local_members, rng)
        remote_views = self._pick_checked(self.remote_members, rng)
        self._eject_slow(local_views, rng, now)
        self._eject_slow(remote_views, rng, now)
        checked = local_views | remote_views
        self._eject_failing(checked, MAX_MEDIAN_FAILURE_RATE, rng, now)

    def _pick_checked(
        self, members: Sequence[Member], rng: random.Random
    ) -> dict[NodeName, ServerView]:
        """Return the servers to check: a bounded number, none of them ejected."""
        start = (
            int(rng.random() * len(members))
            if len(members) > MAX_CHECKED_SERVERS
            else 0
        )
        return {
            member.node: view
            for member in members[start : start + MAX_CHECKED_SERVERS]
            if (view := self.views[member.node]).eject_reason is None
        }

    def _eject_slow(
        self, checked: dict[NodeName, ServerView], rng: random.Random, now: float
    ) -> None:
        """Eject slow servers among local or remote ones; spill handles slow zones."""
        measured = {
            node: view
            for node, view in checked.items()
            if view.samples >= MIN_LATENCY_SAMPLES
            and now - view.sampled_at < MAX_SAMPLE_AGE_S
        }
        if len(measured) < 2:
            return
        median_slowness = _median_low(view.slowness for view in measured.values())
        for node, view in measured.items():
            if _is_slow(view, median_slowness):
                self.eject(node, EjectReason.SLOW, rng, now)

    def _eject_failing(
        self,
        checked: dict[NodeName, ServerView],
        max_median_failure_rate: float,
        rng: random.Random,
        now: float,
    ) -> None:
        failing = [node for node, view in checked.items() if view.is_failing]
        if not failing:
            return
        failure_rates = (view.failure_rate for view in checked.values())
        if _median_low(failure_rates) > max_median_failure_rate:
            return
        for node in failing:
            self.eject(node, EjectReason.FAILING, rng, now)


def _median_low(values: Iterable[float]) -> float:
    """Return the median, the lower one of two; `statistics` takes long to import."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


def _is_slow(view: ServerView, median_slowness: float) -> bool:
    excess_s = view.latency_s * (
        1 - median_slowness / max(view.slowness, median_slowness)
    )
    return (
        view.slowness > SLOW_FACTOR * median_slowness and excess_s > MIN_SLOW_EXCESS_S
    )


def is_usable(view: ServerView, now: float) -> bool:
    """Return whether a server may be chosen for ordinary calls."""
    return view.usability(now) is Usability.USABLE
