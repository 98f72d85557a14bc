"""Estimate how long the backend server takes for each kind of request."""

from dataclasses import dataclass

from persimmonhall.admission.messages import RequestKind

MAX_KINDS = 64
OTHER_KIND = RequestKind("other")
GAIN = 0.2
AGE_AFTER_SERVICES = 2.0
AGE_HALF_LIFE_S = 1.0


@dataclass(slots=True)
class _Mean:
    seconds: float
    at: float

    def record(self, seconds: float, now: float) -> None:
        gain = max(GAIN, 1 - self._kept(now))
        self.seconds += gain * (seconds - self.seconds)
        self.at = now

    def aged(self, now: float) -> float:
        return self.seconds * self._kept(now)

    def _kept(self, now: float) -> float:
        overdue = now - self.at - AGE_AFTER_SERVICES * self.seconds
        return 0.5 ** (max(0.0, overdue) / AGE_HALF_LIFE_S)


class ServiceTimes:
    """Keep moving averages of service times in which the newest samples weigh most.

    An estimate without new samples decays towards zero. Otherwise one slow period
    could refuse all later requests, and no sample would show that it has ended.
    """

    def __init__(self):
        self._kinds: dict[RequestKind, _Mean] = {}
        self._all: _Mean | None = None

    def record(self, kind: RequestKind, seconds: float, now: float) -> None:
        """Record the service time of a finished request in seconds."""
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            kind = OTHER_KIND
        mean = self._kinds.get(kind)
        if mean is None:
            self._kinds[kind] = _Mean(seconds, now)
        else:
            mean.record(seconds, now)
        if self._all is None:
            self._all = _Mean(seconds, now)
        else:
            self._all.record(seconds, now)

    def record_at_least(self, kind: RequestKind, seconds: float, now: float) -> None:
        """Record the run time of a cancelled request if it exceeds the estimate."""
        if seconds > self.expected(kind, now):
            self.record(kind, seconds, now)

    def expected(self, kind: RequestKind, now: float) -> float:
        """Return the expected service time of a kind in seconds, 0 if unknown."""
        mean = self._mean_of(kind)
        return mean.aged(now) if mean is not None else 0.0

    def latest(self, kind: RequestKind) -> float:
        """Return the undecayed service time of a kind in seconds, 0 if unknown."""
        mean = self._mean_of(kind)
        return mean.seconds if mean is not None else 0.0

    def _mean_of(self, kind: RequestKind) -> _Mean | None:
        return self._kinds.get(kind) or self._kinds.get(OTHER_KIND)

    def mean(self, now: float) -> float:
        """Return the expected service time over all kinds in seconds."""
        return self._all.aged(now) if self._all is not None else 0.0

    @property
    def latest_mean(self) -> float:
        """Return the undecayed mean service time in seconds, 0 if unknown."""
        return self._all.seconds if self._all is not None else 0.0
