"""Detect pauses of this process, so that they are not counted against peers."""

import math

STALL_S = 1.0


class Stalls:
    """Record when the latest process pause ended.

    A pause is a gap between heartbeats; before the first one no pause is detected.
    """

    def __init__(self):
        self._seen = math.inf
        self._ended = -math.inf

    def beat(self, now: float) -> None:
        """Record that the loop runs; call far more often than MIN_PROCESS_PAUSE_S."""
        self._note(now)
        self._seen = now

    def has_hit(self, start: float, now: float) -> bool:
        """Return whether a process pause ended after the start."""
        self._note(now)
        return start < self._ended

    def _note(self, now: float) -> None:
        if now - self._seen >= STALL_S:
            self._ended = self._seen = now
