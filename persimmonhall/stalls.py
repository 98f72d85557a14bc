"""Know when this process stood still, so that nobody else is blamed for it."""

import math

STALL_S = 1.0


class Stalls:
    """Remember when the latest stall of the event loop ended.

    Without beats nothing counts as a stall.
    """

    def __init__(self):
        self._seen = math.inf
        self._ended = -math.inf

    def beat(self, now: float) -> None:
        """Note that the loop runs; call far more often than a stall lasts."""
        self._note(now)
        self._seen = now

    def has_hit(self, start: float, now: float) -> bool:
        """Tell whether a stall ended after the start."""
        self._note(now)
        return start < self._ended

    def _note(self, now: float) -> None:
        if now - self._seen >= STALL_S:
            self._ended = self._seen = now
