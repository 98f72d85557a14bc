"""Remember failed calls, so that a resend of one is counted as a retry."""

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from persimmonhall.ids import ServiceName

MAX_FAILED_CALLS = 20_000


@dataclass(frozen=True)
class CallKey:
    """Identify a call and its resends by sender scope and content."""

    scope: str
    service: ServiceName
    method: str
    target: str
    content_hash: int


def make_call_key(
    scope: str, service: ServiceName, method: str, target: str, content: bytes
) -> CallKey:
    """Build the key of a call; content is the body or the idempotency key."""
    return CallKey(scope, service, method, target, xxh3_64_intdigest(content))


class FailedCalls:
    """Keep the keys of failed calls until they expire; when full, drop the oldest."""

    def __init__(self, max_calls: int = MAX_FAILED_CALLS):
        self._max_calls = max_calls
        self._expires_at: dict[CallKey, float] = {}

    def __len__(self) -> int:
        """Return the number of stored keys."""
        return len(self._expires_at)

    def record(self, key: CallKey, expires_at: float, now: float) -> None:
        """Record that a call failed."""
        self._expires_at.pop(key, None)
        self._expires_at[key] = expires_at
        self._drop_expired(now)
        if len(self._expires_at) > self._max_calls:
            del self._expires_at[next(iter(self._expires_at))]

    def contains(self, key: CallKey, now: float) -> bool:
        """Return whether a call failed before and its key has not expired."""
        return self._expires_at.get(key, now) > now

    def _drop_expired(self, now: float) -> None:
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if self._expires_at[oldest] > now:
                return
            del self._expires_at[oldest]
