"""Bound the retries of one node to a fraction of its calls."""

RETRIES_PER_CALL = 0.1
MIN_RETRIES_PER_S = 2.0
MAX_BALANCE = 50.0
INITIAL_BALANCE = 10.0


class NodeRetryBudget:
    """Limit retries by a token bucket that calls and time fill."""

    def __init__(self, now: float):
        self._balance = INITIAL_BALANCE
        self._updated_at = now

    @property
    def balance(self) -> float:
        """Return how many retries are available."""
        return self._balance

    def earn(self, now: float) -> None:
        """Count one call."""
        earned_by_time = (now - self._updated_at) * MIN_RETRIES_PER_S
        self._balance = min(
            MAX_BALANCE, self._balance + RETRIES_PER_CALL + earned_by_time
        )
        self._updated_at = now

    def spend(self) -> bool:
        """Take one retry; return False if less than one is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def refund(self) -> None:
        """Put back a retry that was not made."""
        self._balance = min(MAX_BALANCE, self._balance + 1)
