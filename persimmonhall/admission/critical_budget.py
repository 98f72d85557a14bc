"""Limit the rate of requests of a service that count as critical."""

from persimmonhall.admission.order import demote
from persimmonhall.document.schema import Worth

BURST_S = 5.0
MIN_BURST_REQUESTS = 5.0
SERVER_RATE_SLACK_FACTOR = 2.0


def critical_rate_per_server(critical_per_second: float, servers: int) -> float:
    """Return the critical requests per second that one server's gate allows."""
    return critical_per_second * SERVER_RATE_SLACK_FACTOR / max(1, servers)


class CriticalBudget:
    """Demote critical requests beyond a declared rate with a token bucket."""

    def __init__(self):
        self._tokens = MIN_BURST_REQUESTS
        self._refilled_at = float("-inf")

    def effective_worth(self, worth: Worth, rate_per_s: float, now: float) -> Worth:
        """Return the worth of a request after demotion; a rate of 0 means no limit."""
        if worth is not Worth.CRITICAL or rate_per_s <= 0:
            return worth
        burst = max(MIN_BURST_REQUESTS, rate_per_s * BURST_S)
        refilled = self._tokens + (now - self._refilled_at) * rate_per_s
        self._tokens = min(burst, refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return demote(worth)
        self._tokens -= 1
        return worth
