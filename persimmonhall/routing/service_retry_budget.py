"""Bound the retries that all nodes together send to each service."""

from dataclasses import dataclass

from persimmonhall.ids import ServiceName

# Fraction of the configured ratio that the node of one hop uses: a retried request
# repeats its calls, so that each of up to four hops may add its own retries.
HOP_RATIO_FRACTION = 0.2
# Fraction of its part of the configured slack that one node uses: after a restart
# it starts with a full balance again.
NODE_SLACK_FRACTION = 0.5


@dataclass
class _Bucket:
    """Count the retries that may be sent to one service now."""

    balance: float


class ServiceRetryBudget:
    """Limit retries by a token bucket per service that requests fill."""

    def __init__(self, ratio: float, slack: float):
        self._ratio = ratio
        self._slack = slack
        self._buckets: dict[ServiceName, _Bucket] = {}

    def set_limits(self, ratio: float, slack: float) -> None:
        """Replace the limits, also of the buckets in use."""
        self._ratio = ratio
        self._slack = slack

    def earn(self, service: ServiceName, node_count: int) -> None:
        """Count one request for a service; node_count nodes share its slack."""
        bucket = self._bucket(service, node_count)
        max_balance = self._max_balance(node_count)
        if bucket.balance < max_balance:
            bucket.balance = min(
                max_balance, bucket.balance + self._ratio * HOP_RATIO_FRACTION
            )

    def spend(self, service: ServiceName, node_count: int) -> bool:
        """Take one retry; return False if less than one is left."""
        bucket = self._bucket(service, node_count)
        if bucket.balance < 1:
            return False
        bucket.balance -= 1
        return True

    def _bucket(self, service: ServiceName, node_count: int) -> _Bucket:
        max_balance = self._max_balance(node_count)
        bucket = self._buckets.setdefault(service, _Bucket(max_balance))
        bucket.balance = min(bucket.balance, max_balance)
        return bucket

    def _max_balance(self, node_count: int) -> float:
        return max(1.0, self._slack * NODE_SLACK_FRACTION / max(1, node_count))
