"""Turn how busy a gate is into a level up to which root requests are let in.

A level counts ranks of priority from the most urgent: at 2.4 all requests of
ranks 0 and 1 are let in, and two fifths of rank 2. The level of the busiest
service that a route leads to reaches the entries with every reply, so that roots
are refused there at once, before they run, in place of their calls further down.
"""

from typing import Generic, TypeVar

K = TypeVar("K")

INTERVAL_S = 0.1
# Work that arrives per place and second: above it a queue grows that only adds
# waiting, below it places stand empty between calls.
TARGET_LOAD = 0.92
# While calls wait, the load is held lower by up to this much, so that they drain.
DRAIN_LOAD = 0.15
# What is let in shows at a deep service only when the requests let in before have
# made their calls; acting again earlier would overshoot.
SETTLE_S = 0.4
MEASURE_S = 0.2
# Load that one rank brings at least: a step moves the level by the excess over it.
LOAD_A_RANK = 1.2
MOST_UP = 0.6
# A step that follows one in the same direction is so many times as long: a rank that
# brings little load gives little, and the next one is reached sooner.
LONGER = 1.4
MOST_LONGER = 3.0
# A route that brings less than this share of a gate's work counts as one rank more
# urgent there: refusing it would cost its callers much and free little.
SMALL_SHARE = 0.15
SHARE_WEIGHT = 0.1
# Of each rank at least this share is let in, so that no kind of request starves.
LEAST_SHARE = 0.15
LOWEST_LEVEL = 0.3


class LevelController:
    """Lower the level while more work arrives than fits, and raise it after."""

    def __init__(self, ranks: int):
        self._ranks = ranks
        self._level = float(ranks)
        self._work_s = 0.0
        self._measured_s = 0.0
        self._settle_s = 0.0
        self._longer = 1.0
        self._went_down = False

    @property
    def level(self) -> float:
        """Return the level, from LOWEST_LEVEL to the number of ranks."""
        return self._level

    def set_ranks(self, ranks: int) -> None:
        """Take in how many ranks the release in force has."""
        if ranks != self._ranks:
            self._level = max(LOWEST_LEVEL, self._level + ranks - self._ranks)
            self._ranks = ranks

    def arrive(self, run_s: float) -> None:
        """Take in a call that is expected to run so long."""
        self._work_s += run_s

    def step(self, queued: int, limit: int, passed_s: float) -> float:
        """Move the level by the load since the last step and return it."""
        if self._settle_s > 0:
            self._settle_s -= passed_s
            self._work_s = 0.0
            return self._level
        self._measured_s += passed_s
        if self._measured_s >= MEASURE_S:
            load = self._work_s / (max(1, limit) * self._measured_s)
            self._work_s, self._measured_s = 0.0, 0.0
            self._move(load, min(1.0, queued / max(1, limit)))
        return self._level

    def _move(self, load: float, queue_share: float) -> None:
        target = TARGET_LOAD - DRAIN_LOAD * queue_share
        change = (target - load) / LOAD_A_RANK
        is_down = change < 0
        same = is_down == self._went_down
        self._longer = min(MOST_LONGER, self._longer * LONGER) if same else 1.0
        self._went_down = is_down
        change = min(MOST_UP, change * self._longer)
        level = min(float(self._ranks), max(LOWEST_LEVEL, self._level + change))
        if level != self._level:
            self._settle_s = SETTLE_S
        self._level = level


def share_let_in(level: float, rank: int) -> float:
    """Return the share of the root requests of a rank that a level lets in."""
    return min(1.0, max(LEAST_SHARE, level - rank))


class WorkShares(Generic[K]):
    """Know which share of a gate's work each kind of call brings."""

    def __init__(self):
        self._work_s: dict[K, float] = {}
        self._shares: dict[K, float] = {}

    def arrive(self, kind: K, run_s: float) -> None:
        """Take in a call that is expected to run so long."""
        self._work_s[kind] = self._work_s.get(kind, 0.0) + run_s

    def step(self) -> None:
        """Average what came since the last step into the shares."""
        total = sum(self._work_s.values())
        if total <= 0:
            return
        for kind in {*self._work_s, *self._shares}:
            share = self._work_s.get(kind, 0.0) / total
            known = self._shares.get(kind, share)
            self._shares[kind] = known + SHARE_WEIGHT * (share - known)
        self._work_s.clear()

    def is_small(self, kind: K) -> bool:
        """Tell whether a kind brings little of the work."""
        return bool(self._shares) and self._shares.get(kind, 0.0) < SMALL_SHARE
