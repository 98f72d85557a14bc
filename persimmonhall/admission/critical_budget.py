"""Limit the rate of requests of a service that count as critical."""

from persimmonhall.admission.order import demote
from persimmonhall.document.schema import Worth

BURST_S = 5.0
MIN_BURST = 5.0
SHARE_SLACK = 2.0


def server_share(critical_per_second: float, servers: int) -> float:
    """Return the critical requests per second that one server's gate allows."""
    return critical_per_second * SHARE_SLACK / max(1, servers)


class CriticalBudget:
    """Demote critical requests beyond a declared rate with a token bucket."""

    def __init__(self):
        self._tokens = MIN_BURST
        self._at = float("-inf")

    def rank(self, worth: Worth, per_second: float, now: float) -> Worth:
        """Return the worth of a request after demotion; a rate of 0 means no limit."""
        if worth is not Worth.CRITICAL or per_second <= 0:
            return worth
        burst = max(MIN_BURST, per_second * BURST_S)
        refilled = self._tokens + (now - self._at) * per_second
        self._tokens = min(burst, refilled)
        self._at = now
        if self._tokens < 1:
            return demote(worth)
        self._tokens -= 1
        return worth
