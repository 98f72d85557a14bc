"""Bound the retries that all nodes together send to each service."""

from dataclasses import dataclass

from persimmonhall.ids import ServiceName

# Fraction of the configured ratio that the node of one hop uses: a retried request
# repeats its calls, so that each of up to four hops may add its own retries.
RATIO_SHARE = 0.2
# Fraction of its part of the configured slack that one node uses: after a restart
# it starts with a full balance again.
SLACK_SHARE = 0.5


@dataclass
class _Bucket:
    """Count the retries that may be sent to one service now."""

    balance: float


class ResendBudget:
    """Limit retries by a token bucket per service that requests fill."""

    def __init__(self, ratio: float, slack: float):
        self._ratio = ratio
        self._slack = slack
        self._buckets: dict[ServiceName, _Bucket] = {}

    def earn(self, service: ServiceName, members: int) -> None:
        """Count one request for a service; node_count nodes share its slack."""
        bucket = self._bucket(service, members)
        most = self._most(members)
        if bucket.balance < most:
            bucket.balance = min(most, bucket.balance + self._ratio * RATIO_SHARE)

    def spend(self, service: ServiceName, members: int) -> bool:
        """Take one retry; return False if less than one is left."""
        bucket = self._bucket(service, members)
        if bucket.balance < 1:
            return False
        bucket.balance -= 1
        return True

    def _bucket(self, service: ServiceName, members: int) -> _Bucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _Bucket(self._most(members))
        return bucket

    def _most(self, members: int) -> float:
        return max(1.0, self._slack * SLACK_SHARE / max(1, members))
