"""Tell how fast a backend server is from the run times of its own calls.

Load: 3 of 100 calls take seven times as long as usual though the server is well;
some servers take two and a half times as long for half a second, one turns slow for
long. An entry meets a server a few times a second or less, its gate sees every call.
"""

import math
from collections.abc import Iterable

# The usual time follows a lasting change of speed within this time.
USUAL_AVERAGING_S = 10.0
# Averaging time of the current speed, if calls are frequent enough.
CURRENT_AVERAGING_S = 0.1
# Weight limits of one call: a single long call must not make a server look slow.
MIN_CURRENT_WEIGHT = 0.05
MAX_CURRENT_WEIGHT = 0.3
# Without calls the server is assumed to be back at its usual speed.
FRESH_S = 0.2
CURRENT_DECAY_S = 0.3
MAX_RATIO = 8.0
MAX_LOG_RATIO = math.log(MAX_RATIO)
# Running calls count once they have taken this much longer than usual.
OVERDUE_RATIO = 1.5
# Answered calls that weigh as much as the current estimate.
ESTIMATE_CALLS = 4
MIN_RUN_S = 0.0001
MIN_USUAL_CALLS = 4


class UsualTime:
    """Average the logarithm of run times, so that a few long ones weigh little."""

    def __init__(self):
        self._log_s = 0.0
        self._samples = 0
        # The usual time, 0 if unknown.
        self.seconds = 0.0
        self._updated_at = -math.inf

    @property
    def samples(self) -> int:
        """Return the number of calls."""
        return self._samples

    def add(self, run_s: float, now: float) -> float:
        """Add a run time and return the logarithm of its ratio to the usual one."""
        log_s = math.log(max(MIN_RUN_S, run_s))
        if not self._samples:
            self._log_s = log_s
        ratio = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_s - self._log_s))
        self._samples += 1
        age_weight = 1 - math.exp((self._updated_at - now) / USUAL_AVERAGING_S)
        self._log_s += max(1 / self._samples, age_weight) * ratio
        self.seconds = math.exp(self._log_s)
        self._updated_at = now
        return ratio


class ServerSpeed:
    """Compare the current run times of a server with its usual ones."""

    def __init__(self):
        self._usual: dict[str, UsualTime] = {}
        self._log_slowdown = 0.0
        self._updated_at = -math.inf
        self._overdue_logs: tuple[float, ...] = ()

    def usual_times(self) -> dict[str, float]:
        """Return the usual run times in seconds that rest on several calls."""
        return {
            kind: usual.seconds
            for kind, usual in self._usual.items()
            if usual.samples >= MIN_USUAL_CALLS
        }

    def usual_s(self, kind: str) -> float:
        """Return the usual run time of a kind of call in seconds, 0 if unknown."""
        usual = self._usual.get(kind)
        return usual.seconds if usual is not None else 0.0

    def record(self, kind: str, run_s: float, now: float) -> None:
        """Record the run time of an answered call."""
        usual = self._usual.get(kind)
        if usual is None:
            usual = self._usual[kind] = UsualTime()
        ratio = usual.add(run_s, now)
        self._log_slowdown = self._decayed_log(now)
        age_weight = 1 - math.exp((self._updated_at - now) / CURRENT_AVERAGING_S)
        weight = min(MAX_CURRENT_WEIGHT, max(MIN_CURRENT_WEIGHT, age_weight))
        self._log_slowdown += weight * (ratio - self._log_slowdown)
        self._updated_at = now

    def set_running(self, calls: Iterable[tuple[str, float]]) -> None:
        """Set the kinds of the running calls and for how long they have run.

        A server that turns slow answers nothing for a while: calls that have run
        longer than usual show it first.
        """
        logs = []
        for kind, age_s in calls:
            usual = self._usual.get(kind)
            if usual is not None and age_s > OVERDUE_RATIO * usual.seconds:
                logs.append(min(MAX_LOG_RATIO, math.log(age_s / usual.seconds)))
        self._overdue_logs = tuple(logs)

    def slowdown(self, now: float, running: int) -> float:
        """Return by how much runs take longer than usual now; 1 is the usual time.

        `running` is the number of running calls, of which a few may be long ones.
        """
        logs = self._overdue_logs
        estimate = self._decayed_log(now)
        if logs:
            calls = max(ESTIMATE_CALLS, running - len(logs))
            estimate = (calls * estimate + sum(logs)) / (calls + len(logs))
        return math.exp(estimate)

    def _decayed_log(self, now: float) -> float:
        overdue_s = now - self._updated_at - FRESH_S
        if overdue_s <= 0.0 or not self._log_slowdown:
            return self._log_slowdown
        return self._log_slowdown * math.exp(-overdue_s / CURRENT_DECAY_S)
