"""Estimate how long the backend server takes for each kind of request."""

from dataclasses import dataclass

from persimmonhall.admission.messages import RequestKind

MAX_ESTIMATED_KINDS = 64
OTHER_KIND = RequestKind("other")
MIN_SAMPLE_WEIGHT = 0.2
DECAY_DELAY_SERVICE_TIMES = 2.0
DECAY_HALF_LIFE_S = 1.0


@dataclass(slots=True)
class _DecayingMean:
    seconds: float
    updated_at: float

    def record(self, seconds: float, now: float) -> None:
        weight = max(MIN_SAMPLE_WEIGHT, 1 - self._decay_factor(now))
        self.seconds += weight * (seconds - self.seconds)
        self.updated_at = now

    def decayed_s(self, now: float) -> float:
        return self.seconds * self._decay_factor(now)

    def _decay_factor(self, now: float) -> float:
        overdue = now - self.updated_at - DECAY_DELAY_SERVICE_TIMES * self.seconds
        return 0.5 ** (max(0.0, overdue) / DECAY_HALF_LIFE_S)


class ServiceTimes:
    """Keep moving averages of service times in which the newest samples weigh most.

    An estimate without new samples decays towards zero. Otherwise one slow period
    could refuse all later requests, and no sample would show that it has ended.
    """

    def __init__(self):
        self._kinds: dict[RequestKind, _DecayingMean] = {}
        self._overall: _DecayingMean | None = None

    def record(self, kind: RequestKind, seconds: float, now: float) -> None:
        """Record the service time of a finished request in seconds."""
        if kind not in self._kinds and len(self._kinds) >= MAX_ESTIMATED_KINDS:
            kind = OTHER_KIND
        mean = self._kinds.get(kind)
        if mean is None:
            self._kinds[kind] = _DecayingMean(seconds, now)
        else:
            mean.record(seconds, now)
        if self._overall is None:
            self._overall = _DecayingMean(seconds, now)
        else:
            self._overall.record(seconds, now)

    def record_at_least(self, kind: RequestKind, seconds: float, now: float) -> None:
        """Record the run time of a cancelled request if it exceeds the estimate."""
        if seconds > self.expected_s(kind, now):
            self.record(kind, seconds, now)

    def expected_s(self, kind: RequestKind, now: float) -> float:
        """Return the expected service time of a kind in seconds, 0 if unknown."""
        mean = self._mean_of(kind)
        return mean.decayed_s(now) if mean is not None else 0.0

    def latest_s(self, kind: RequestKind) -> float:
        """Return the undecayed service time of a kind in seconds, 0 if unknown."""
        mean = self._mean_of(kind)
        return mean.seconds if mean is not None else 0.0

    def _mean_of(self, kind: RequestKind) -> _DecayingMean | None:
        return self._kinds.get(kind) or self._kinds.get(OTHER_KIND)

    def mean_s(self, now: float) -> float:
        """Return the expected service time over all kinds in seconds."""
        return self._overall.decayed_s(now) if self._overall is not None else 0.0

    @property
    def latest_mean_s(self) -> float:
        """Return the undecayed mean service time in seconds, 0 if unknown."""
        return self._overall.seconds if self._overall is not None else 0.0
