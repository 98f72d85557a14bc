"""Assume that a zone goes on as before while its counts are late.

Until a zone counts as cut off, its requests would seem to have stopped, and both sides
of a cut would admit what the other one uses.
"""

from collections.abc import Iterable

from persimmonhall.ids import ZoneName
from persimmonhall.pooling.counts import Change
from persimmonhall.pooling.quota_bucket import average_weight
from persimmonhall.pooling.subject import SubjectId

RATE_TIME_S = 0.4


class _Flow:
    """Track what a zone counts of a subject, and what was assumed in its place."""

    __slots__ = ("asked", "admitted", "asked_rate", "admitted_rate", "assumed")

    def __init__(self):
        self.asked = 0
        self.admitted = 0
        self.asked_rate = 0.0
        self.admitted_rate = 0.0
        self.assumed = (0.0, 0.0)


class LateZones:
    """Add what late zones are assumed to count, and take it back when they report."""

    def __init__(self):
        self._flows: dict[ZoneName, dict[SubjectId, _Flow]] = {}

    def record(self, zone: ZoneName, changes: dict[SubjectId, Change]) -> None:
        """Record what a zone has reported."""
        flows = self._flows.setdefault(zone, {})
        for subject, change in changes.items():
            flow = flows.setdefault(subject, _Flow())
            flow.asked += change.asked
            flow.admitted += change.admitted

    def advance(
        self, late: Iterable[ZoneName], elapsed_s: float
    ) -> list[tuple[SubjectId, float, float]]:
        """Return what to add for the late zones: subject, asked and admitted."""
        added = []
        weight = average_weight(elapsed_s, RATE_TIME_S)
        for zone, flows in self._flows.items():
            if zone not in late:
                for flow in flows.values():
                    asked, admitted = flow.asked_rate, flow.admitted_rate
                    flow.asked_rate += weight * (flow.asked / elapsed_s - asked)
                    flow.admitted_rate += weight * (
                        flow.admitted / elapsed_s - admitted
                    )
                    flow.asked = flow.admitted = 0
                continue
            for subject, flow in flows.items():
                asked = flow.asked_rate * elapsed_s
                admitted = flow.admitted_rate * elapsed_s
                flow.assumed = (flow.assumed[0] + asked, flow.assumed[1] + admitted)
                added.append((subject, asked, admitted))
        return added

    def take_back(self, zone: ZoneName) -> list[tuple[SubjectId, float, float]]:
        """Return what was assumed for a zone that has reported after all."""
        taken = []
        for subject, flow in self._flows.get(zone, {}).items():
            if any(flow.assumed):
                taken.append((subject, *flow.assumed))
                flow.assumed = (0.0, 0.0)
        return taken
