"""Draw servers in proportion to their usual speed for a kind of call.

Load: each call draws two of 40 servers, and drawing evenly to refuse most slow ones
takes several evaluations a call. Usual speeds change within seconds, so the weights of
all are computed ten times a second at most and a draw is a search in their sums.
"""

import math
from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate

# Every server is drawn at times: only calls show that it is faster again.
MIN_WEIGHT = 0.005


class DrawTable:
    """Hold relative weights of servers, from MIN_WEIGHT to 1, at a time."""

    __slots__ = ("made_at", "_weights", "_sums", "_total", "_last")

    def __init__(self, log_weights: Sequence[float], now: float):
        most = max(log_weights)
        self.made_at = now
        self._weights = [max(MIN_WEIGHT, math.exp(w - most)) for w in log_weights]
        self._sums = list(accumulate(self._weights))
        self._total = self._sums[-1]
        self._last = len(log_weights) - 1

    def draw(self, random_number: float) -> int:
        """Return the index of a server for a random number below 1."""
        index = bisect_right(self._sums, random_number * self._total)
        return min(index, self._last)

    def acceptance(self, index: int, penalty: float) -> float:
        """Return the probability to keep a drawn server that is slowed by e**penalty.

        With it the server keeps MIN_WEIGHT at least.
        """
        weight = self._weights[index]
        return max(MIN_WEIGHT, weight * math.exp(-penalty)) / weight
