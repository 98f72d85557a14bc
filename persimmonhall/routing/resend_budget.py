"""Bound the resends of a node to its share of what a service may get in all."""

from dataclasses import dataclass

from persimmonhall.ids import ServiceName

# Of the ratio that the service bears: a resend makes its calls again, so that each
# of up to four hops may add its own share.
RATIO_SHARE = 0.2
# Of the slack, shared by all nodes, that one node uses: a restart begins anew.
SLACK_SHARE = 0.5


@dataclass
class _Bucket:
    """Hold the resends that may be sent to one service now."""

    balance: float


class ResendBudget:
    """Earn a fraction of a resend with each request and spend whole ones."""

    def __init__(self, ratio: float, slack: float):
        self._ratio = ratio
        self._slack = slack
        self._buckets: dict[ServiceName, _Bucket] = {}

    def earn(self, service: ServiceName, members: int) -> None:
        """Count one request for a service, with the number of nodes that share."""
        bucket = self._bucket(service, members)
        most = self._most(members)
        if bucket.balance < most:
            bucket.balance = min(most, bucket.balance + self._ratio * RATIO_SHARE)

    def spend(self, service: ServiceName, members: int) -> bool:
        """Take one resend, if there is one."""
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
