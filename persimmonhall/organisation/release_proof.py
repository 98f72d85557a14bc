"""Decide whether a node may still serve keys of its release.

A release that withdraws a key binds a node that can't hear of it, too. The node
therefore holds proof that its release was the newest at the time at which it asked,
and serves keys only for a limited time after that.
"""

import math
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from persimmonhall.ids import LogIndex

# Of the time within which a withdrawal binds; the rest is left to clocks that differ.
PROOF_FRACTION = 0.9
# Below this fraction of the time of a proof, the proof is short.
SHORT_FRACTION = 0.35
# An older proof doesn't show that a key is unknown: it may have been added since.
MAX_FRESH_AGE_S = 2.0
MAX_CONFIRMATIONS = 16


def boot_time_s() -> float:
    """Return a time that also runs on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ProofState(Enum):
    """Define how long the proof of a node still holds."""

    HELD = "held"
    SHORT = "short"
    LOST = "lost"


class _Confirmation(NamedTuple):
    """Record that no release after an index was accepted by a time."""

    asked_at: float
    index: LogIndex


class ReleaseProof:
    """Hold the confirmations of control VMs; with `withdrawal_s` 0 none is needed."""

    def __init__(self, withdrawal_s: float, clock: Callable[[], float] = boot_time_s):
        self.set_withdrawal(withdrawal_s)
        self._clock = clock
        self._confirmations: deque[_Confirmation] = deque(maxlen=MAX_CONFIRMATIONS)
        self._latest_index = LogIndex(-1)
        self._latest_asked_at = -math.inf

    @property
    def is_needed(self) -> bool:
        """Return whether keys are served only with proof."""
        return self._valid_s > 0

    def set_withdrawal(self, withdrawal_s: float) -> None:
        """Replace the time within which a withdrawal binds."""
        self._valid_s = PROOF_FRACTION * withdrawal_s

    def confirm(self, asked_at: float, index: LogIndex) -> None:
        """Record the newest index that a control VM told, asked at a boot time."""
        self._confirmations.append(_Confirmation(asked_at, index))
        self._latest_index = LogIndex(-1)

    def remaining_s(self, index: LogIndex) -> float:
        """Return for how long a release is proved to bind; 0 if it is not."""
        if not self.is_needed:
            return math.inf
        return max(0.0, self._asked_at(index) + self._valid_s - self._clock())

    def holds(self, index: LogIndex) -> bool:
        """Return whether a release may be served."""
        return self.remaining_s(index) > 0

    def is_fresh(self, index: LogIndex) -> bool:
        """Return whether a release is proved to have been the newest just now."""
        if not self.is_needed:
            return True
        age_s = self._clock() - self._asked_at(index)
        return age_s <= min(MAX_FRESH_AGE_S, self._valid_s)

    def state(self, index: LogIndex) -> ProofState:
        """Return whether the proof of a release holds, is short or lost."""
        remaining_s = self.remaining_s(index)
        if remaining_s <= 0:
            return ProofState.LOST
        is_short = remaining_s < SHORT_FRACTION * self._valid_s
        return ProofState.SHORT if self.is_needed and is_short else ProofState.HELD

    def _asked_at(self, index: LogIndex) -> float:
        """Return the latest time at which no release after an index was accepted.

        A release that is newer than the one confirmed was accepted after the question,
        and so was every one after it.
        """
        if index != self._latest_index:
            self._latest_index = index
            self._latest_asked_at = max(
                (c.asked_at for c in self._confirmations if c.index <= index),
                default=-math.inf,
            )
        return self._latest_asked_at
