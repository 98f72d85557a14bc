"""Weigh organisations where room for requests is rationed.

An organisation that asks for far more than usual would take the room of the others,
as a level refuses the same fraction of all requests of a rank.
"""

from collections.abc import Iterable

from persimmonhall.pooling.quota_bucket import Rate

ASKED_TIME_S = 3.0
USUAL_TIME_S = 60.0
# Requests per second by which a weight and its demand are moved to the typical ratio:
# the rate of a small organisation is mostly chance.
CHANCE_RATE = 2.0
MIN_SHARE = 0.1
MAX_SHARE = 4.0
# Shares this close to the typical one are not sent.
MIN_DIFFERENCE = 0.25


class Demand:
    """Track what an organisation asks, and what it usually asks."""

    __slots__ = ("_asked", "_usual", "_age_s")

    def __init__(self):
        self._asked = Rate(ASKED_TIME_S)
        self._usual = Rate(USUAL_TIME_S)
        self._age_s = 0.0

    def advance(self, asked: float, elapsed_s: float) -> None:
        """Add what was asked in a time."""
        self._age_s += elapsed_s
        self._asked.advance(asked, elapsed_s)
        # An average over a minute that has not passed is one over the time that has.
        if self._age_s < USUAL_TIME_S:
            weight = elapsed_s / self._age_s
            self._usual.per_s += weight * (asked / elapsed_s - self._usual.per_s)
        else:
            self._usual.advance(asked, elapsed_s)

    def of_quota(self, rate_per_s: float) -> tuple[float, float]:
        """Return the demand that may be admitted and the weight of the organisation."""
        if rate_per_s > 0:
            return min(self._asked.per_s, rate_per_s), rate_per_s
        return self._asked.per_s, self._usual.per_s


def typical_ratio(demands: Iterable[tuple[float, float]]) -> float:
    """Return the median of demand by weight, each organisation with its weight."""
    ratios = sorted((d / w, w) for d, w in demands if w > 0)
    half = sum(weight for _, weight in ratios) / 2
    for ratio, weight in ratios:
        half -= weight
        if half <= 0:
            return ratio
    return 0.0


def share_of(demand: float, weight: float, typical: float) -> float:
    """Return the typical ratio of demand and weight by that of an organisation."""
    if typical <= 0 or weight <= 0:
        return 1.0
    ratio = (demand + CHANCE_RATE * typical) / (weight + CHANCE_RATE)
    return min(MAX_SHARE, max(MIN_SHARE, typical / ratio))
