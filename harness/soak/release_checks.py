"""Check by what was probed that each release was in force in time, and only it.

A request at a node must be handled as some release says that was accepted at any time
and is neither older than the newest one that had been acknowledged long enough before
(where nothing was harmed), nor older than one that the node has shown before.
"""

import math
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from harness.soak.probes import SLOW_PREFIX
from harness.soak.record import (
    CALM_S,
    SOAK_NAME,
    Probe,
    Record,
    SentRelease,
    service_of,
)
from harness.soak.releases import MOVED, SPLIT, TIMED

APPLY_S = 2.0
# While one control VM at a time is harmed, a release may take as much longer.
EXTENSION_S = 5.0
BACK_S = 0.25
SHARE_BOUND, MIN_SHARED = 0.2, 200
SERVED_RATIO, MIN_ADDED = 0.25, 20
TIMEOUT_SLACK_S, MIN_LATE, LATE_RATIO = 0.5, 8, 0.25


@dataclass
class _Handled:
    """Represent a probe with the range of releases that may handle it."""

    probe: Probe
    lowest: int
    highest: int


class ReleaseChecks:
    """Check the probes of one seed against its releases."""

    def __init__(self, record: Record, control: list[str]):
        self._record = record
        self._control = control
        self._chain = [record.releases[number] for number in record.chain()]
        self._put_at = [release.put_at for release in self._chain]
        self._acks = sorted((r.acked_at, i) for i, r in enumerate(self._chain))
        self._unsure_since = sorted(self._overlaps())

    def run(self) -> None:
        """Run all checks."""
        self._check_refused()
        probes = sorted(self._record.probes.values(), key=lambda probe: probe.sent_at)
        by_life: dict = defaultdict(list)
        for probe in probes:
            by_life[probe.node, probe.life].append(probe)
        for probes_of_life in by_life.values():
            self._check_life(probes_of_life)
        calm = [h for h in map(self._place, probes) if h is not None]
        self._check_timeouts(calm)
        names = {item.name for item in self._record.disturbances} - set(self._control)
        steady = [
            h
            for h in calm
            if self._record.is_calm(names, h.probe.sent_at, h.probe.sent_at)
            and self._record.is_core_stable(self._control, h.probe.sent_at)
        ]
        self._record.calm_probes = len(calm)
        self._check_shares(steady)
        self._check_added(steady)
        self._record.note(
            f"{len(probes)} probes, {len(calm)} at calm nodes, {len(steady)} in calm"
        )

    def _check_refused(self) -> None:
        for release in self._chain:
            if release.refused_with:
                status = release.refused_with
                text = f"release {release.number} got {status} and was in force"
                self._record.report_violation(text)

    def _check_life(self, probes: list[Probe]) -> None:
        """Check what one process has shown, in the order of time."""
        shown: list[tuple[float, int]] = []
        for probe in probes:
            runs = self._record.runs.get(probe.id, ())
            services = {service_of(run.server) for run in runs}
            if not services and probe.status != 404:
                continue
            last = bisect_right(self._put_at, probe.answered_at)
            matching = [
                position
                for position in range(last)
                if _matches(self._chain[position], probe, services)
            ]
            if not matching:
                self._report(probe, services, "as in no release that was accepted")
                continue
            newest = matching[-1]
            older = [p for at, p in shown if at < probe.sent_at - BACK_S]
            if older and newest < max(older):
                number = self._chain[max(older)].number
                self._report(probe, services, f"as before {number}, shown before")
            due = self._due(probe)
            if newest < due:
                release = self._chain[due]
                late_s = probe.sent_at - release.acked_at
                text = f"as before {release.number}, acknowledged {late_s:.2f} s before"
                self._report(probe, services, text)
            if runs:
                shown.append((runs[0].at, matching[0]))

    def _report(self, probe: Probe, services: set[str], text: str) -> None:
        seen = f"run by {sorted(services)}" if services else f"got {probe.status}"
        at = probe.sent_at - self._record.started_at
        text = f"{probe.path} at {probe.node}, sent at {at:.3f}, {seen}, {text}"
        self._record.report_violation(text)

    def _due(self, probe: Probe) -> int:
        """Return the position of the release that a node must have, or -1."""
        sent_at = probe.sent_at
        if not self._record.is_calm((probe.node,), sent_at, sent_at):
            return -1
        if self._record.is_core_stable(self._control, sent_at):
            return self._newest_acked(sent_at - APPLY_S)
        position = self._newest_acked(sent_at - APPLY_S - EXTENSION_S)
        before = [at for at in self._unsure_since if at <= sent_at]
        if position >= 0 and self._chain[position].acked_at > max(before, default=0):
            return position
        return -1

    def _newest_acked(self, until: float) -> int:
        return max((i for at, i in self._acks if at <= until), default=-1)

    def _overlaps(self) -> Iterator[float]:
        """Yield until when two control VMs were harmed at once."""
        harmed = [d for d in self._record.disturbances if d.name in self._control]
        for first in harmed:
            for other in harmed:
                is_pair = first.name != other.name and first.begin <= other.begin
                if is_pair and other.begin <= first.end + CALM_S:
                    yield min(first.end, other.end) + CALM_S

    def _place(self, probe: Probe) -> _Handled | None:
        """Return the range of releases of a probe at a calm node, None elsewhere."""
        due = self._due(probe)
        if due < 0 or not probe.has_ended:
            return None
        last = bisect_right(self._put_at, min(probe.answered_at, probe.sent_at + 5))
        return _Handled(probe, due, last - 1)

    def _routes(self, handled: _Handled) -> list[dict | None]:
        releases = self._chain[handled.lowest : handled.highest + 1]
        return [release.find(handled.probe.path) for release in releases]

    def _check_timeouts(self, calm: list[_Handled]) -> None:
        late, over, slow = [], [], 0
        for handled in calm:
            probe = handled.probe
            if not probe.id.startswith(SLOW_PREFIX):
                continue
            timeout_s = max(r["timeout_ms"] for r in self._routes(handled)) / 1000
            bound_s = timeout_s + TIMEOUT_SLACK_S
            took_s = probe.answered_at - probe.sent_at
            until = probe.sent_at + bound_s
            observed = (probe.node, SOAK_NAME)
            if not self._record.is_calm(observed, probe.sent_at, until):
                continue
            slow += 1
            over.append(round(took_s - timeout_s, 2))
            if took_s > bound_s:
                at = probe.sent_at - self._record.started_at
                late.append(f"{probe.id} at {probe.node} at {at:.3f}: {took_s:.2f} s")
                late[-1] += f" instead of {timeout_s}, got {probe.status}"
        self._record.note(f"{len(late)} of {slow} answers on {TIMED} late: {late}")
        self._record.note(f"seconds beyond the timeout: {sorted(over)}")
        if len(late) >= MIN_LATE and len(late) > LATE_RATIO * slow:
            text = f"{len(late)} of {slow} answered later than the timeout: {late[:5]}"
            self._record.report_violation(text)

    def _check_shares(self, steady: list[_Handled]) -> None:
        """Check how the requests of a route with weights were shared."""
        expected, actual = Counter(), Counter()
        for handled in steady:
            runs = self._record.runs.get(handled.probe.id, ())
            targets = [r["targets"] for r in self._routes(handled) if r is not None]
            is_same = all(target == targets[0] for target in targets)
            if handled.probe.path == SPLIT and runs and is_same:
                actual[service_of(runs[0].server)] += 1
                total = sum(target["weight"] for target in targets[0])
                for target in targets[0]:
                    expected[target["service"]] += target["weight"] / total
        count = actual.total()
        for service, share in expected.items():
            off = abs(actual[service] - share) / count
            text = f"{service} ran {actual[service]} of {count} instead of {share:.0f}"
            self._record.note(f"shares: {text}")
            if count >= MIN_SHARED and off > SHARE_BOUND:
                self._record.report_violation(text)

    def _check_added(self, steady: list[_Handled]) -> None:
        """Check that added routes are served like the first ones."""
        seen: dict[str, list[bool]] = defaultdict(list)
        for handled in steady:
            routes = self._routes(handled)
            if None in routes or handled.probe.id.startswith(SLOW_PREFIX):
                continue
            is_first = routes[0]["path_prefix"] in (*MOVED, SPLIT)
            name = "first" if is_first else routes[0]["name"]
            is_served = handled.probe.status == 200
            seen[name].append(is_served)
            if not is_first:
                seen["all others"].append(is_served)
                seen[f"priority {routes[0]['priority']}"].append(is_served)
        first = seen.pop("first", [])
        for name, served in seen.items():
            ratio = sum(served) / len(served)
            bound = SERVED_RATIO * sum(first) / len(first) if first else math.nan
            text = f"{name}: {sum(served)} of {len(served)} served, bound {bound:.2f}"
            self._record.note(f"added routes: {text}")
            if len(served) >= MIN_ADDED and ratio < bound:
                self._record.report_violation(f"added route not served: {text}")


def _matches(release: SentRelease, probe: Probe, services: set[str]) -> bool:
    """Return whether a release handles a request as it was seen."""
    route = release.find(probe.path)
    if not services:
        return route is None
    if route is None:
        return False
    return services <= {t["service"] for t in route["targets"] if t["weight"] > 0}
