"""Bound the retries of one node to a fraction of its calls."""

RETRY_RATIO = 0.1
FLOOR_PER_S = 2.0
MAX_BALANCE = 50.0
FIRST_BALANCE = 10.0


class RetryBudget:
    """Limit retries by a token bucket that calls and time fill."""

    def __init__(self, now: float):
        self._balance = FIRST_BALANCE
        self._updated = now

    @property
    def balance(self) -> float:
        """Return how many retries are available."""
        return self._balance

    def earn(self, now: float) -> None:
        """Count one call."""
        floor = (now - self._updated) * FLOOR_PER_S
        self._balance = min(MAX_BALANCE, self._balance + RETRY_RATIO + floor)
        self._updated = now

    def spend(self) -> bool:
        """Take one retry; return False if less than one is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def refund(self) -> None:
        """Put back a retry that was not made."""
        self._balance = min(MAX_BALANCE, self._balance + 1)
