"""Keep claims from waiting for a quorum that is known to be missing."""

PROBE_INTERVAL_S = 0.5


class QuorumBreaker:
    """Let one claim in each interval through while claims fail."""

    def __init__(self):
        self._failing = False
        self._next_probe = 0.0

    def allow(self, now: float) -> bool:
        """Tell whether a claim may be tried."""
        if not self._failing:
            return True
        if now < self._next_probe:
            return False
        self._next_probe = now + PROBE_INTERVAL_S
        return True

    def record(self, now: float, *, reached: bool) -> None:
        """Take in whether the quorum answered a claim."""
        self._failing = not reached
        self._next_probe = now + PROBE_INTERVAL_S
