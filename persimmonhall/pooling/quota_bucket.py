"""Limit an organisation whose callers send more than its quota.

The bucket is drained by what all nodes have admitted, which is known late. It may so
fall below zero; the requests admitted in the meantime are paid back before more are
admitted, so that the sum of a window holds.
"""

import math

from persimmonhall.pooling.subject import Quota, QuotaBounds

# Time from a request at an entry to the change of the limit there.
CONTROL_DELAY_S = 0.3
# Time in which what the bucket holds is spent, and a debt paid back.
SETTLE_S = 0.8
# Part of the slack that callers may use, so that organisations with few requests are
# not refused by chance. The rest of what the bounds allow covers what is admitted
# before a limit reaches the entries, and the counts that a dying node takes along.
USABLE_FRACTION = 0.3
MAX_WAIT_S = 30.0


class QuotaBucket:
    """Hold the requests that an organisation may still run."""

    def __init__(self, quota: Quota, bounds: QuotaBounds):
        self._quota = quota
        self._bounds = bounds
        self._part = 1.0
        self.level = 0.0

    @property
    def quota(self) -> Quota:
        """Return the quota that the bucket enforces."""
        return self._quota

    def window_size(self) -> float:
        """Return the most requests of a window."""
        quota, bounds = self._quota, self._bounds
        allowed = quota.rate_per_s * bounds.window_s + quota.burst
        return allowed * (1 + bounds.overshoot) + bounds.slack

    def depth(self, part: float) -> float:
        """Return the most that a part of the bucket holds."""
        return part * self._quota.burst + self._usable_margin()

    def _usable_margin(self) -> float:
        # Not divided at a cut: both sides together stay within the whole margin.
        return USABLE_FRACTION * self._bounds.slack

    def start(self, recent: int, covered_s: float, part: float) -> None:
        """Start from the requests of a time of which nothing else is known."""
        self._part = part
        level = self._quota.rate_per_s * covered_s + self._usable_margin()
        self.level = min(self.depth(part), part * level - recent)

    def set_quota(self, quota: Quota, part: float) -> None:
        """Replace the quota; what a higher one holds more is there at once."""
        depth = self.depth(part)
        self._quota = quota
        self.level += max(0.0, self.depth(part) - depth)
        self.level = min(self.level, self.depth(part))

    def advance(self, elapsed_s: float, admitted: float, part: float) -> None:
        """Fill the bucket for a time and drain what was admitted in it."""
        if part < self._part and self.level > 0:
            # The others keep their part of what is left.
            kept = min(self.level, self._usable_margin())
            self.level = max(kept, self.level * part / self._part)
        self._part = part
        self.level += part * self._quota.rate_per_s * elapsed_s - admitted
        self.level = min(self.level, self.depth(part))

    def fraction(self, asked_rate: float, admitted_rate: float, part: float) -> float:
        """Return the fraction of requests to admit, 1 if there is no limit."""
        rate = part * self._quota.rate_per_s
        excess = asked_rate - rate
        if asked_rate <= 0 or (excess <= 0 and self.level >= 0):
            return 1.0
        available = self.level - max(0.0, admitted_rate - rate) * CONTROL_DELAY_S
        if available > max(0.0, excess) * CONTROL_DELAY_S:
            return 1.0
        target = max(0.0, rate + available / SETTLE_S)
        return min(1.0, target / asked_rate)

    def wait_s(self, part: float) -> float:
        """Return the time until the bucket has room for another request."""
        rate = part * self._quota.rate_per_s
        debt = max(0.0, 1.0 - self.level)
        return min(MAX_WAIT_S, debt / rate) if rate > 0 else MAX_WAIT_S


class Rate:
    """Average a rate over a time that it takes to forget."""

    __slots__ = ("per_s", "_time_s")

    def __init__(self, time_s: float, per_s: float = 0.0):
        self.per_s = per_s
        self._time_s = time_s

    def advance(self, count: float, elapsed_s: float) -> None:
        """Add what was counted in a time."""
        self.blend(count / elapsed_s, average_weight(elapsed_s, self._time_s))

    def blend(self, per_s: float, weight: float) -> None:
        """Add the rate of a time whose weight was computed for many averages."""
        self.per_s += weight * (per_s - self.per_s)


def average_weight(elapsed_s: float, time_s: float) -> float:
    """Return the weight of the latest part of an average over a time."""
    return 1 - math.exp(-elapsed_s / time_s)
