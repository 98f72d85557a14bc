"""Track the success rate of the runs of each kind of request.

A run fails when a call that it needs fails. While a service deep in the call graph
rejects most of its calls, a tree of ten calls rarely succeeds although no service
lacks capacity: running more root requests would waste work.
"""

from typing import Generic, TypeVar

K = TypeVar("K")

# Weight of one run in the moving average: a change shows after about twelve runs.
SUCCESS_RATE_WEIGHT = 0.15
# Below this success rate, root requests are refused before they run. A request that
# succeeds once in six attempts is worth more to its caller than a refusal.
MIN_SUCCESS_RATE = 0.15
# Fraction of the root requests of such a route that is still admitted to detect its
# recovery soon: a node with few callers detects it by these requests alone.
PROBE_FRACTION = 0.2


class SuccessRates(Generic[K]):
    """Keep a moving average of the success rate of each kind."""

    def __init__(self):
        self._rates: dict[K, float] = {}

    def record(self, kind: K, is_success: bool) -> None:
        """Record whether one run succeeded."""
        known = self._rates.get(kind, 1.0)
        self._rates[kind] = known + SUCCESS_RATE_WEIGHT * (is_success - known)

    def rate(self, kind: K) -> float:
        """Return the success rate of a kind, 1 if unknown."""
        return self._rates.get(kind, 1.0)


def is_unlikely_to_succeed(success_rate: float) -> bool:
    """Return whether a success rate is too low to run root requests."""
    return success_rate < MIN_SUCCESS_RATE
