"""Track the servers of one service and eject outliers."""

import random
import statistics
from dataclasses import dataclass, field

from absl import logging

from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.membership.messages import Member
from persimmonhall.routing.views import EjectReason, ServerView, Usability

SWEEP_INTERVAL_S = 0.5
FRESH_S = 2.0
MAX_SWEPT = 32
MIN_SAMPLES = 5
SLOW_FACTOR = 3.0
SLOW_MIN_S = 0.01
FAILING_SHARE = 0.5
USUAL_FAILING_SHARE = 0.25
MAX_EJECTED_SHARE = 0.5
USUAL_WEIGHT = 0.05
BASELINE_WEIGHT = 0.005
ALWAYS_WARM = float("-inf")


@dataclass
class Baseline:
    """Average the latency of one kind of request over a long time."""

    latency_s: float = 0.0
    samples: int = 0

    def add(self, latency_s: float) -> None:
        """Add one latency."""
        self.samples += 1
        weight = max(BASELINE_WEIGHT, 1 / self.samples)
        self.latency_s += weight * (latency_s - self.latency_s)


@dataclass
class Pool:
    """Store the members that serve a service, with the router's view of each."""

    service: ServiceName
    members: tuple[Member, ...] = ()
    near: list[Member] = field(default_factory=list)
    far: list[Member] = field(default_factory=list)
    views: dict[NodeName, ServerView] = field(default_factory=dict)
    usual_usage: float = 0.0
    next_sweep: float = 0.0
    baselines: dict[str, Baseline] = field(default_factory=dict)
    ejected: int = 0

    def set_members(
        self, members: tuple[Member, ...], zone: ZoneName, now: float
    ) -> None:
        """Update the members; a server that joins later goes through slow start."""
        warm_since = now if self.members else ALWAYS_WARM
        self.near = [m for m in members if m.zone == zone]
        self.far = [m for m in members if m.zone != zone]
        self.views = {
            m.node: self.views.get(m.node) or ServerView(max(1, m.slots), warm_since)
            for m in members
        }
        self.members = members
        self._count_ejected()

    def take_latency(
        self, view: ServerView, path: str, latency_s: float, now: float
    ) -> None:
        """Record the latency of an answer of one server."""
        baseline = self.baselines.setdefault(path, Baseline())
        baseline.add(latency_s)
        view.take_latency(latency_s, baseline.latency_s, now)

    def take_usage(self, usage: float) -> None:
        """Add one reported usage to the mean, which stands in for outdated reports."""
        self.usual_usage += USUAL_WEIGHT * (usage - self.usual_usage)

    def eject(
        self, node: NodeName, reason: EjectReason, rng: random.Random, now: float
    ) -> bool:
        """Eject a server; return False if too many are ejected already."""
        view = self.views[node]
        if view.reason is None and not self._may_eject(reason):
            return False
        view.eject(reason, rng.random(), now)
        self._count_ejected()
        logging.info(
            "server ejected service=%s node=%s reason=%s seconds=%.1f times=%d",
            self.service,
            node,
            reason.value,
            view.ejected_until - now,
            view.ejections,
        )
        return True

    def restore(self, node: NodeName, now: float) -> None:
        """End the ejection of a server."""
        self.views[node].restore(now)
        self._count_ejected()
        logging.info("server restored service=%s node=%s", self.service, node)

    def _count_ejected(self) -> None:
        self.ejected = sum(v.reason is not None for v in self.views.values())

    def _may_eject(self, reason: EjectReason) -> bool:
        if reason.is_certain:
            return self.ejected < len(self.views) - 1
        return self.ejected + 1 <= len(self.views) * MAX_EJECTED_SHARE

    def sweep(self, rng: random.Random, now: float) -> None:
        """Eject servers that are much slower or fail much more than the others."""
        if now < self.next_sweep:
            return
        self.next_sweep = now + SWEEP_INTERVAL_S
        near = self._pick_swept(self.near, rng)
        far = self._pick_swept(self.far, rng)
        self._sweep_slow(near, rng, now)
        self._sweep_slow(far, rng, now)
        self._sweep_failing(near | far, rng, now)

    def _pick_swept(
        self, members: list[Member], rng: random.Random
    ) -> dict[NodeName, ServerView]:
        """Return the servers to check: a bounded number, none of them ejected."""
        start = int(rng.random() * len(members)) if len(members) > MAX_SWEPT else 0
        return {
            member.node: view
            for member in members[start : start + MAX_SWEPT]
            if (view := self.views[member.node]).reason is None
        }

    def _sweep_slow(
        self, swept: dict[NodeName, ServerView], rng: random.Random, now: float
    ) -> None:
        """Eject slow servers among local or remote ones; spill handles slow zones."""
        known = {
            node: view
            for node, view in swept.items()
            if view.samples >= MIN_SAMPLES and now - view.sampled_at < FRESH_S
        }
        if len(known) < 2:
            return
        usual = statistics.median_low(view.slowness for view in known.values())
        for node, view in known.items():
            if _is_slow(view, usual):
                self.eject(node, EjectReason.SLOW, rng, now)

    def _sweep_failing(
        self, swept: dict[NodeName, ServerView], rng: random.Random, now: float
    ) -> None:
        failing = [n for n, v in swept.items() if v.failure_share >= FAILING_SHARE]
        if not failing:
            return
        shares = (view.failure_share for view in swept.values())
        if statistics.median_low(shares) > USUAL_FAILING_SHARE:
            return
        for node in failing:
            self.eject(node, EjectReason.FAILING, rng, now)


def _is_slow(view: ServerView, usual: float) -> bool:
    excess_s = view.latency_s * (1 - usual / max(view.slowness, usual))
    return view.slowness > SLOW_FACTOR * usual and excess_s > SLOW_MIN_S


def is_usable(view: ServerView, now: float) -> bool:
    """Return whether a server may be chosen for ordinary calls."""
    return view.usability(now) is Usability.USABLE
