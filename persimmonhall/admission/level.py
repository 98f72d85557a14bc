"""Derive from the load of a gate the level up to which root requests are admitted.

A level counts priority ranks from the most urgent: at 2.4 all requests of ranks 0
and 1 are admitted, and two fifths of those of rank 2. Every reply tells the entries
the level of the busiest service that its route leads to. They refuse root requests
at once, before these run, so that their calls aren't refused further down.

Load: demand that swings by half of its mean within four seconds. Each gate measures
its own part of it, with much chance, but an entry follows the mean of all gates: their
levels must not drift apart, see `COMMON_LEVEL_WEIGHT`.
"""

import math
from collections import deque
from typing import Generic, TypeVar

K = TypeVar("K")

STEP_INTERVAL_S = 0.1
# Seconds of arriving work per slot and second. Above it, a queue grows that only
# adds latency; below it, slots are idle between calls.
TARGET_LOAD = 0.98
# The target load is lower by this much for each queued call per slot, so that the
# queue empties.
QUEUE_LOAD_REDUCTION = 0.2
MAX_QUEUE_FRACTION = 3.0
# A change of the level shows in the load of a deep service only once the requests
# admitted before have made their calls. Until then its effect is predicted, as
# otherwise each step would change the level again for the same excess.
SETTLE_STEPS = 5
LOAD_WINDOW_STEPS = 2
# Longer at a gate that runs few calls: the load is averaged over the time in which it
# could run this many, as a few calls that come together are no overload.
MIN_WINDOW_CALLS = 10
MAX_LOAD_WINDOW_STEPS = 10
# Expected load of one rank: the level changes by the excess load divided by it, in
# several steps.
LOAD_PER_RANK = 1.2
STEP_FRACTION = 0.4
# With more ranks than this, the load of most is lower. Steps are longer in proportion,
# and even longer while they keep their direction, but shorter after each change of it,
# as one rank may have most of the load.
FEW_RANKS = 3
RANK_FACTOR_REDUCTION = 0.3
RANK_FACTOR_GROWTH = 1.1
MAX_RANK_FACTOR_GROWTH = 3.0
# A route with less than this fraction of a gate's work counts as one rank more
# urgent there: refusing it would cost its callers much and free little capacity.
SMALL_ROUTE_FRACTION = 0.15
FRACTION_WEIGHT = 0.1
# Fraction by which each step moves the level towards the mean of the service. Without
# it gates that had more calls by chance stay low long after the others have risen.
COMMON_LEVEL_WEIGHT = 0.1
# Minimum admitted fraction of each rank, so that no kind of request starves.
MIN_ADMITTED_FRACTION = 0.15
MIN_LEVEL = 0.3


class LevelController:
    """Lower the level while the load exceeds its target, and raise it afterwards."""

    def __init__(self, ranks: int):
        self._ranks = ranks
        self._level = float(ranks)
        self._work_s = 0.0
        self._loads: deque[float] = deque(maxlen=MAX_LOAD_WINDOW_STEPS)
        self._recent_changes: deque[float] = deque(maxlen=SETTLE_STEPS)
        self._rank_factor = 1.0
        self._was_decrease = False

    @property
    def level(self) -> float:
        """Return the level, from MIN_LEVEL to the number of ranks."""
        return self._level

    def set_ranks(self, ranks: int) -> None:
        """Set the number of ranks of the active release."""
        if ranks != self._ranks:
            self._level = rescale_level(self._level, self._ranks, ranks)
            self._ranks = ranks
            self._recent_changes.clear()

    def add_work(self, run_s: float) -> None:
        """Add the expected run time of an arriving call in seconds."""
        self._work_s += run_s

    def step(
        self,
        queued: int,
        limit: float,
        elapsed_s: float,
        mean_run_s: float = 0.0,
        common_level: float | None = None,
    ) -> float:
        """Adjust the level to the load since the last step and return it.

        The limit of concurrent calls is a fraction at a server with a low rate limit.
        `common_level` is the mean of the gates of the service, None if unknown.
        """
        limit = limit or 1
        before = self._level
        if common_level is not None:
            self._level += COMMON_LEVEL_WEIGHT * (common_level - self._level)
        self._loads.append(self._work_s / (limit * elapsed_s))
        self._work_s = 0.0
        queue_fraction = min(MAX_QUEUE_FRACTION, queued / max(1.0, limit))
        load = self._mean_load(MIN_WINDOW_CALLS * mean_run_s / (limit * elapsed_s))
        self._level += self._change(load, queue_fraction)
        self._level = min(float(self._ranks), max(MIN_LEVEL, self._level))
        self._recent_changes.append(self._level - before)
        return self._level

    def _mean_load(self, steps: float) -> float:
        count = max(LOAD_WINDOW_STEPS, min(MAX_LOAD_WINDOW_STEPS, math.ceil(steps)))
        loads = list(self._loads)[-count:]
        return sum(loads) / len(loads)

    def _change(self, load: float, queue_fraction: float) -> float:
        """Return by how much to change the level, given the load of the last steps."""
        load_per_rank = LOAD_PER_RANK / self._rank_factor
        predicted_load = load + load_per_rank * sum(self._recent_changes)
        target = TARGET_LOAD - QUEUE_LOAD_REDUCTION * queue_fraction
        excess = predicted_load - target
        self._update_rank_factor(is_decrease=excess > 0)
        return -STEP_FRACTION * excess * self._rank_factor / LOAD_PER_RANK

    def _update_rank_factor(self, *, is_decrease: bool) -> None:
        is_same_direction = is_decrease == self._was_decrease
        self._was_decrease = is_decrease
        first = max(1.0, self._ranks / FEW_RANKS)
        most = first * MAX_RANK_FACTOR_GROWTH if first > 1 else 1.0
        factor = RANK_FACTOR_GROWTH if is_same_direction else RANK_FACTOR_REDUCTION
        if self._level == self._ranks:
            # A surge begins.
            self._rank_factor = first
        else:
            self._rank_factor = min(most, max(1.0, self._rank_factor * factor))


def rescale_level(level: float, old_ranks: float, new_ranks: float) -> float:
    """Return the level at which a release with other ranks admits as much."""
    return max(MIN_LEVEL, level * new_ranks / old_ranks)


def admitted_fraction(level: float, rank: int) -> float:
    """Return the fraction of the root requests of a rank that a level admits."""
    return min(1.0, max(MIN_ADMITTED_FRACTION, level - rank))


class WorkFractions(Generic[K]):
    """Track which fraction of a gate's work each kind of call causes."""

    def __init__(self):
        self._work_s: dict[K, float] = {}
        self._fractions: dict[K, float] = {}

    @property
    def largest(self) -> K | None:
        """Return the kind that causes the most work, None before any."""
        if not self._fractions:
            return None
        return max(self._fractions, key=self._fractions.__getitem__)

    def add_work(self, kind: K, run_s: float) -> None:
        """Add the expected run time of an arriving call in seconds."""
        self._work_s[kind] = self._work_s.get(kind, 0.0) + run_s

    def update(self) -> None:
        """Average the work since the last update into the fractions."""
        total = sum(self._work_s.values())
        if total <= 0:
            return
        for kind in {*self._work_s, *self._fractions}:
            fraction = self._work_s.get(kind, 0.0) / total
            known = self._fractions.get(kind, fraction)
            self._fractions[kind] = known + FRACTION_WEIGHT * (fraction - known)
        self._work_s.clear()

    def is_small(self, kind: K) -> bool:
        """Return whether a kind causes less than SMALL_ROUTE_FRACTION of the work."""
        return (
            bool(self._fractions)
            and self._fractions.get(kind, 0.0) < SMALL_ROUTE_FRACTION
        )
