"""Divide quotas between zones that can't reach each other.

While a zone is cut off, both sides go on with the part of each quota that the zones
they reach used before, so that the sum of both holds.
"""

import math
from collections.abc import Iterable

from persimmonhall.ids import ZoneName
from persimmonhall.pooling.quota_bucket import average_weight
from persimmonhall.pooling.subject import SubjectId

# Three reports of a zone are missing.
CUT_AFTER_S = 0.7
# A zone has to be heard for this long before its part is given back: by then the
# other side counts with it, too.
REGAINED_AFTER_S = 1.0
LATE_AFTER_S = 0.3
USE_TIME_S = 10.0
# Use is taken from before a cut, when both sides saw the same.
SETTLED_S = 1.0
# Before, the parts are those of the nodes.
MIN_OBSERVED_S = 3.0
# Requests per second that all zones together count as having used besides what they
# did, in proportion to their nodes: the parts of an organisation without requests.
BASE_RATE = 0.5


class ZoneParts:
    """Track the use of quotas by zone and which zones are cut off."""

    def __init__(self, own_zone: ZoneName):
        self._own_zone = own_zone
        self._node_counts: dict[ZoneName, int] = {}
        self._heard_at: dict[ZoneName, float] = {}
        self._missed_at: dict[ZoneName, float] = {}
        self._rates: dict[ZoneName, dict[SubjectId, float]] = {}
        self._latest_use: dict[ZoneName, dict[SubjectId, float]] = {}
        self._settled_use: dict[ZoneName, dict[SubjectId, float]] = {}
        self._settled_at = -math.inf
        self._observed_s = 0.0
        self._cut: frozenset[ZoneName] = frozenset()
        self._cut_since: dict[ZoneName, float] = {}

    @property
    def cut(self) -> frozenset[ZoneName]:
        """Return the zones that no collector has been heard of."""
        return self._cut

    def set_node_counts(self, counts: dict[ZoneName, int], now: float) -> None:
        """Set the nodes by zone, with those that can't be reached now."""
        for zone in [z for z in self._heard_at if z not in counts]:
            del self._heard_at[zone]
            self._missed_at.pop(zone, None)
        for zone in counts:
            if zone not in self._heard_at and zone != self._own_zone:
                self._heard_at[zone] = self._missed_at[zone] = -math.inf
        self._node_counts = dict(counts)

    def hear(self, zone: ZoneName, now: float) -> None:
        """Record a report of another zone."""
        if self._heard_at.get(zone) == -math.inf:
            self._missed_at.pop(zone)
        self._heard_at[zone] = now

    def update(self, now: float) -> None:
        """Find the zones that are cut off now."""
        for zone, heard_at in self._heard_at.items():
            if now - heard_at > CUT_AFTER_S:
                self._missed_at[zone] = now
        self._cut = frozenset(
            zone
            for zone, missed_at in self._missed_at.items()
            if now - missed_at < REGAINED_AFTER_S
        )
        self._cut_since = {
            zone: self._cut_since.get(zone, self._heard_at[zone]) for zone in self._cut
        }

    def late(self, now: float) -> frozenset[ZoneName]:
        """Return the zones whose reports are missing but that are not cut off yet."""
        return frozenset(
            zone
            for zone, heard_at in self._heard_at.items()
            if zone not in self._cut and now - heard_at > LATE_AFTER_S
        )

    def cut_s(self, zone: ZoneName, now: float) -> float:
        """Return for how long a zone has been cut off, 0 if it is not."""
        return now - self._cut_since.get(zone, now)

    def advance(
        self,
        admitted: dict[ZoneName, dict[SubjectId, int]],
        subjects: Iterable[SubjectId],
        elapsed_s: float,
        now: float,
    ) -> None:
        """Add what the zones admitted; while one is late, use stays as it was."""
        if self._cut or self.late(now):
            return
        weight = average_weight(elapsed_s, USE_TIME_S)
        for zone in self._node_counts:
            counts = admitted.get(zone, {})
            rates = self._rates.setdefault(zone, {})
            for subject in subjects:
                rate = rates.get(subject, 0.0)
                per_s = counts.get(subject, 0) / elapsed_s
                rates[subject] = rate + weight * (per_s - rate)
        self._observed_s += elapsed_s
        is_known = self._observed_s >= MIN_OBSERVED_S
        if is_known and now - self._settled_at >= SETTLED_S:
            self._settled_at = now
            self._settled_use = self._latest_use
            self._latest_use = {
                zone: dict(rates) for zone, rates in self._rates.items()
            }

    def part(self, subject: SubjectId) -> float:
        """Return the part of a quota that the zones in reach may use."""
        if not self._cut:
            return 1.0
        total = reached = 0.0
        nodes = sum(self._node_counts.values()) or 1
        for zone, count in self._node_counts.items():
            use = self._settled_use.get(zone, {}).get(subject, 0.0)
            used = BASE_RATE * count / nodes + use
            total += used
            if zone not in self._cut:
                reached += used
        return reached / total if total > 0 else 1.0
