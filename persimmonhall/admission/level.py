"""Turn how busy a gate is into a level up to which root requests are let in.

A level counts ranks of priority from the most urgent: at 2.4 all requests of
ranks 0 and 1 are let in, and two fifths of rank 2. The level of the busiest
service that a route leads to reaches the entries with every reply, so that roots
are refused there at once, before they run, in place of their calls further down.
"""

INTERVAL_S = 0.1
# Calls per place, queue included, that a gate is held at: below it places stand
# empty between calls, above it a queue grows that only adds waiting.
TARGET_USAGE = 0.92
# Levels a second at a usage of 1 above or below the target. Down is faster, as a
# queue of calls that run already cannot be refused without losing their roots.
GAIN_DOWN_PER_S = 3.0
GAIN_UP_PER_S = 1.0
MAX_EXCESS = 1.0
# Of each rank at least this share is let in, so that no kind of request starves.
LEAST_SHARE = 0.15
LOWEST_LEVEL = 0.3


class LevelController:
    """Lower the level while a gate has more calls than places, and raise it after."""

    def __init__(self, ranks: int):
        self._ranks = ranks
        self._level = float(ranks)
        self._usage_sum = 0.0
        self._samples = 0

    @property
    def level(self) -> float:
        """Return the level, from LOWEST_LEVEL to the number of ranks."""
        return self._level

    def set_ranks(self, ranks: int) -> None:
        """Take in how many ranks the release in force has."""
        if ranks != self._ranks:
            self._level = max(LOWEST_LEVEL, self._level + ranks - self._ranks)
            self._ranks = ranks

    def sample(self, in_flight: int, queued: int, limit: int) -> None:
        """Take in how busy the gate is at the arrival of a call."""
        self._usage_sum += (in_flight + queued) / max(1, limit)
        self._samples += 1

    def step(self, in_flight: int, queued: int, limit: int, passed_s: float) -> float:
        """Move the level by what was sampled since the last step and return it."""
        self.sample(in_flight, queued, limit)
        usage = self._usage_sum / self._samples
        self._usage_sum, self._samples = 0.0, 0
        excess = min(MAX_EXCESS, usage - TARGET_USAGE)
        gain = GAIN_DOWN_PER_S if excess > 0 else GAIN_UP_PER_S
        level = self._level - gain * excess * passed_s
        self._level = min(float(self._ranks), max(LOWEST_LEVEL, level))
        return self._level


def share_let_in(level: float, rank: int) -> float:
    """Return the share of the root requests of a rank that a level lets in."""
    return min(1.0, max(LEAST_SHARE, level - rank))
