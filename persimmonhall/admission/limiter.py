"""Find how many requests the backend server can process concurrently."""

from dataclasses import dataclass
from enum import Enum

from persimmonhall.admission.messages import Outcome, RequestKind

COLD_SHARE = 0.1
WINDOW_S = 0.1
FEWEST_SAMPLES = 4
MOST_SAMPLES = 32
FEWEST_AFTER_CUT = 2
CALM_SLOWDOWN = 1.25
TOLERATED_SLOWDOWN = 2.5
MAX_SLOWDOWN = 20.0
LATENCY_SLACK_S = 0.005
SHARPEST_CUT = 0.5
MILDEST_CUT = 0.8
SHED_CUT = 0.8
FAILED_CUT = 0.8
FAILED_SHARE = 0.2
GROWTH_SHARE = 0.25
LEAST_HELP = 0.5
LEAST_REMOVED = 0.1
ACCEPTED_HALF_LIFE_S = 10.0
PROOF_S = 10.0
FEWEST_PROVING = 2
RECENT_GAIN = 0.05
BASELINE_GAIN_DOWN = 0.1
BASELINE_RISE_S = 60.0
MAX_KINDS = 64


@dataclass(frozen=True, slots=True)
class Sample:
    """Describe one finished request: times in seconds, slots in use at its start."""

    kind: RequestKind
    outcome: Outcome
    started: float
    seconds: float
    in_flight: int


@dataclass(slots=True)
class _Baseline:
    """Track the lowest recent average, so that one fast response counts little."""

    seconds: float
    recent: float
    at: float

    def record(self, seconds: float, now: float, *, may_rise: bool) -> None:
        self.recent += RECENT_GAIN * (seconds - self.recent)
        if self.recent < self.seconds:
            gain = BASELINE_GAIN_DOWN
        else:
            gain = min(1.0, (now - self.at) / BASELINE_RISE_S) if may_rise else 0.0
        self.seconds += gain * (self.recent - self.seconds)
        self.at = now


@dataclass(slots=True)
class _Window:
    opened: float
    samples: int = 0
    failed: int = 0
    slowdown: float = 0.0
    in_flight: int = 0
    used: bool = False
    top: int = 0
    at_top: int = 0
    top_slowdown: float = 0.0

    def add(self, sample: Sample, slowdown: float, limit: int) -> None:
        """Add one sample."""
        self.samples += 1
        self.slowdown += slowdown
        self.in_flight += sample.in_flight
        self.failed += sample.outcome is Outcome.FAILED
        self.used |= sample.in_flight >= limit
        if sample.in_flight > self.top:
            self.top, self.at_top, self.top_slowdown = sample.in_flight, 0, 0.0
        if sample.in_flight == self.top:
            self.at_top += 1
            self.top_slowdown += slowdown

    @property
    def calm_level(self) -> int:
        """Return the highest in-flight count that caused no slowdown, or 0."""
        if self.at_top < FEWEST_PROVING or self.failed:
            return 0
        return self.top if self.top_slowdown <= CALM_SLOWDOWN * self.at_top else 0


@dataclass(frozen=True, slots=True)
class _Proof:
    """Record the highest in-flight count known to cause no slowdown, and when."""

    level: int = 0
    at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _Cut:
    limit_before: float
    slowdown_before: float
    in_flight_before: float


class Phase(Enum):
    """Describe how the limit adapts."""

    COLD = "cold"
    STEADY = "steady"


class ConcurrencyLimiter:
    """Adapt a limit between 1 and the announced slots.

    The limit decreases when requests exceed the unloaded latency of their kind,
    are shed or fail. A decrease that doesn't shorten them is reverted: then the
    cause is not the concurrency, and a lower limit would only cost goodput.
    """

    def __init__(self, slots: int):
        self._slots = slots
        self._limit = float(slots)
        self._phase = Phase.STEADY
        self._baselines: dict[RequestKind, _Baseline] = {}
        self._accepted_slowdown = 1.0
        self._proof = _Proof()
        self._cut: _Cut | None = None
        self._cut_at = float("-inf")
        self._window = _Window(float("-inf"))

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return max(1, int(self._limit))

    @property
    def phase(self) -> Phase:
        """Return how the limit adapts."""
        return self._phase

    def set_slots(self, slots: int) -> None:
        """Set the number of announced slots, which caps the limit."""
        if self._limit >= self._slots:
            self._limit = float(slots)
        self._slots = slots
        self._limit = max(1.0, min(self._limit, slots))

    def start_cold(self, slots: int, now: float) -> None:
        """Start with a low limit for a newly announced backend server."""
        self._slots = slots
        self._limit = max(1.0, slots * COLD_SHARE)
        self._phase = Phase.COLD
        self._baselines.clear()
        self._accepted_slowdown = 1.0
        self._proof = _Proof()
        self._cut = None
        self._window = _Window(now)

    def observe(self, sample: Sample, now: float) -> None:
        """Record one finished request."""
        if sample.started < self._cut_at or sample.outcome is Outcome.NOT_RUN:
            return
        if sample.outcome is Outcome.SHED:
            self._reduce(min(self._limit, sample.in_flight) * SHED_CUT, now)
            return
        slowdown = self._slowdown(sample, now)
        if slowdown is None:
            return
        window = self._window
        window.add(sample, slowdown, self.limit)
        if self._phase is Phase.COLD:
            self._grow_cold(sample, slowdown)
        if self._is_full(window, now):
            self._window = _Window(now)
            self._prove(window, now)
            self._judge(window, now)

    def _slowdown(self, sample: Sample, now: float) -> float | None:
        baseline = self._baselines.get(sample.kind)
        if sample.outcome is Outcome.FAILED:
            return 1.0
        if sample.outcome is Outcome.CANCELLED:
            # A cancelled request shows a slowdown only if it already ran for too long.
            known = baseline.seconds if baseline is not None else sample.seconds
            slowdown = _ratio(sample.seconds, known)
            return slowdown if slowdown > TOLERATED_SLOWDOWN else None
        if baseline is None:
            if len(self._baselines) < MAX_KINDS:
                first = _Baseline(sample.seconds, sample.seconds, now)
                self._baselines[sample.kind] = first
            return 1.0
        slowdown = _ratio(sample.seconds, baseline.seconds)
        # Latency under load must not raise the unloaded baseline.
        is_calm = sample.in_flight <= max(1, self.limit // 2)
        baseline.record(sample.seconds, now, may_rise=is_calm)
        return slowdown

    def _grow_cold(self, sample: Sample, slowdown: float) -> None:
        if sample.outcome is not Outcome.DONE or slowdown > TOLERATED_SLOWDOWN:
            return
        self._limit = min(self._limit + 1, self._slots)
        if self._limit >= self._slots:
            self._phase = Phase.STEADY

    def _is_full(self, window: _Window, now: float) -> bool:
        needed = min(MOST_SAMPLES, max(FEWEST_SAMPLES, 2 * self.limit))
        if self._cut is not None:
            # Check the effect of a cut soon, as a needless one costs goodput.
            needed = max(FEWEST_AFTER_CUT, self.limit)
        return window.samples >= needed and now - window.opened >= WINDOW_S

    def _judge(self, window: _Window, now: float) -> None:
        slowdown = window.slowdown / window.samples
        in_flight = window.in_flight / window.samples
        relative = slowdown / self._age_accepted(now - window.opened)
        if window.failed > window.samples * FAILED_SHARE:
            self._reduce(self._limit * FAILED_CUT, now)
        elif relative <= TOLERATED_SLOWDOWN:
            self._accepted_slowdown = max(1.0, min(self._accepted_slowdown, slowdown))
            self._cut = None
            self._grow(window, relative)
        elif self._cut is not None and not _has_helped(self._cut, slowdown, in_flight):
            self._accept(slowdown, self._cut.limit_before)
        elif self.limit == 1:
            # A request that runs alone isn't slowed down by concurrent ones.
            self._accept(slowdown, self._limit)
        else:
            self._cut_to_proven(window, relative, now)

    def _cut_to_proven(self, window: _Window, relative: float, now: float) -> None:
        """Cut the limit, but not below the recently proven limit."""
        slowdown = window.slowdown / window.samples
        in_flight = window.in_flight / window.samples
        share = max(SHARPEST_CUT, TOLERATED_SLOWDOWN / relative)
        base = min(self._limit, in_flight)
        target = max(base * min(MILDEST_CUT, share), self._proven_level(now))
        if target >= base:
            self._cut = None
            return
        cut = _Cut(self._limit, slowdown, in_flight)
        self._reduce(target, now)
        self._cut = cut

    def _proven_level(self, now: float) -> int:
        return self._proof.level if now - self._proof.at <= PROOF_S else 0

    def _prove(self, window: _Window, now: float) -> None:
        level = window.calm_level
        if level and level >= self._proven_level(now):
            self._proof = _Proof(level, now)

    def _accept(self, slowdown: float, limit: float) -> None:
        """Accept a slowdown as normal, as a lower limit doesn't reduce it."""
        self._limit = min(limit, self._slots)
        self._accepted_slowdown = slowdown
        self._cut = None

    def _age_accepted(self, seconds: float) -> float:
        """Decay the accepted slowdown, so that a cut is tried again later."""
        kept = 0.5 ** (seconds / ACCEPTED_HALF_LIFE_S)
        self._accepted_slowdown = max(1.0, self._accepted_slowdown * kept)
        return self._accepted_slowdown

    def _grow(self, window: _Window, slowdown: float) -> None:
        """Double the limit at unloaded latency, else raise it by GROWTH_FRACTION."""
        if not window.used or self._phase is Phase.COLD:
            return
        share = 1.0 if slowdown <= CALM_SLOWDOWN else GROWTH_SHARE
        self._limit = min(self._limit + max(1.0, self._limit * share), self._slots)

    def _reduce(self, limit: float, now: float) -> None:
        self._limit = max(1.0, limit)
        self._phase = Phase.STEADY
        self._cut = None
        self._cut_at = now
        self._window = _Window(now)


def _has_helped(cut: _Cut, slowdown: float, in_flight: float) -> bool:
    """Return whether latency fell by at least half of the cut in concurrency."""
    removed = 1 - in_flight / cut.in_flight_before
    if removed < LEAST_REMOVED:
        return True
    return slowdown <= cut.slowdown_before * (1 - LEAST_HELP * removed)


def _ratio(seconds: float, baseline: float) -> float:
    return min(MAX_SLOWDOWN, seconds / (baseline + LATENCY_SLACK_S))
