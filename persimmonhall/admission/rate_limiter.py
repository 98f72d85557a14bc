"""Pace the calls to a server that states how many requests it accepts a second."""

import math

# Calls that were held back may follow each other for this fraction of a second's rate.
BURST_S = 0.25
# A server that accepts nothing has no answer in which to state otherwise.
MIN_RATE_PER_S = 0.2


class RateLimiter:
    """Limit calls by a token bucket that is empty when the limit begins."""

    def __init__(self):
        self._rate = math.inf
        self.is_limited = False
        self._tokens = 0.0
        self._updated_at = 0.0

    @property
    def rate(self) -> float:
        """Return the calls per second, infinity without a limit."""
        return self._rate

    def set_rate(self, rate: float | None, now: float) -> None:
        """Set the calls per second; None ends the limit."""
        if rate is None:
            self._rate, self.is_limited = math.inf, False
            return
        if self.is_limited:
            self._refill(now)
        else:
            self._tokens, self._updated_at = 0.0, now
        self.is_limited = True
        self._rate = max(MIN_RATE_PER_S, rate)

    def is_ready(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        if not self.is_limited:
            return True
        self._refill(now)
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Count a call that is sent."""
        if self.is_limited:
            self._tokens -= 1.0

    def wait_s(self, ahead: int, now: float) -> float:
        """Return in how many seconds a call behind others may be sent."""
        if not self.is_limited:
            return 0.0
        self._refill(now)
        return max(0.0, ahead + 1 - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        max_tokens = max(1.0, BURST_S * self._rate)
        earned = max(0.0, now - self._updated_at) * self._rate
        self._tokens = min(max_tokens, self._tokens + earned)
        self._updated_at = now
