"""Find how many requests the backend server can process concurrently."""

from dataclasses import dataclass
from enum import Enum

from persimmonhall.admission.messages import Outcome, RequestKind

COLD_START_FRACTION = 0.1
MIN_WINDOW_S = 0.1
MIN_REQUIRED_SAMPLES = 4
MAX_REQUIRED_SAMPLES = 32
MIN_REQUIRED_SAMPLES_AFTER_CUT = 2
MAX_UNLOADED_SLOWDOWN = 1.25
MAX_TOLERATED_SLOWDOWN = 2.5
MAX_SAMPLE_SLOWDOWN = 20.0
LATENCY_SLACK_S = 0.005
MIN_CUT_FACTOR = 0.5
MAX_CUT_FACTOR = 0.8
SHED_CUT_FACTOR = 0.8
FAILED_CUT_FACTOR = 0.8
MAX_FAILED_FRACTION = 0.2
GROWTH_FRACTION = 0.25
MIN_CUT_BENEFIT_FRACTION = 0.5
MIN_REMOVED_FRACTION = 0.1
ACCEPTED_SLOWDOWN_HALF_LIFE_S = 10.0
PROVEN_LIMIT_VALIDITY_S = 10.0
MIN_PROVING_SAMPLES = 2
RECENT_LATENCY_WEIGHT = 0.05
BASELINE_FALL_WEIGHT = 0.1
BASELINE_RISE_S = 60.0
MAX_BASELINES = 64


@dataclass(frozen=True, slots=True)
class Sample:
    """Describe one finished request: times in seconds, slots in use at its start."""

    kind: RequestKind
    outcome: Outcome
    started_at: float
    seconds: float
    in_flight: int


@dataclass(slots=True)
class _Baseline:
    """Track the lowest recent average, so that one fast response counts little."""

    seconds: float
    recent_s: float
    updated_at: float

    def record(self, seconds: float, now: float, *, can_rise: bool) -> None:
        self.recent_s += RECENT_LATENCY_WEIGHT * (seconds - self.recent_s)
        if self.recent_s < self.seconds:
            weight = BASELINE_FALL_WEIGHT
        else:
            weight = (
                min(1.0, (now - self.updated_at) / BASELINE_RISE_S) if can_rise else 0.0
            )
        self.seconds += weight * (self.recent_s - self.seconds)
        self.updated_at = now


@dataclass(slots=True)
class _Window:
    opened_at: float
    sample_count: int = 0
    failed_count: int = 0
    slowdown_sum: float = 0.0
    in_flight_sum: int = 0
    has_reached_limit: bool = False
    peak_in_flight: int = 0
    peak_samples: int = 0
    peak_slowdown_sum: float = 0.0

    def add(self, sample: Sample, slowdown: float, limit: int) -> None:
        """Add one sample."""
        self.sample_count += 1
        self.slowdown_sum += slowdown
        self.in_flight_sum += sample.in_flight
        self.failed_count += sample.outcome is Outcome.FAILED
        self.has_reached_limit |= sample.in_flight >= limit
        if sample.in_flight > self.peak_in_flight:
            self.peak_in_flight, self.peak_samples, self.peak_slowdown_sum = (
                sample.in_flight,
                0,
                0.0,
            )
        if sample.in_flight == self.peak_in_flight:
            self.peak_samples += 1
            self.peak_slowdown_sum += slowdown

    @property
    def unloaded_in_flight(self) -> int:
        """Return the highest in-flight count that caused no slowdown, or 0."""
        if self.peak_samples < MIN_PROVING_SAMPLES or self.failed_count:
            return 0
        return (
            self.peak_in_flight
            if self.peak_slowdown_sum <= MAX_UNLOADED_SLOWDOWN * self.peak_samples
            else 0
        )


@dataclass(frozen=True, slots=True)
class _ProvenLimit:
    """Record the highest in-flight count known to cause no slowdown, and when."""

    limit: int = 0
    proven_at: float = float("-inf")


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
        self._proven_limit = _ProvenLimit()
        self._pending_cut: _Cut | None = None
        self._last_cut_at = float("-inf")
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
        self._limit = max(1.0, slots * COLD_START_FRACTION)
        self._phase = Phase.COLD
        self._baselines.clear()
        self._accepted_slowdown = 1.0
        self._proven_limit = _ProvenLimit()
        self._pending_cut = None
        self._window = _Window(now)

    def record(self, sample: Sample, now: float) -> None:
        """Record one finished request."""
        if sample.started_at < self._last_cut_at or sample.outcome is Outcome.NOT_RUN:
            return
        if sample.outcome is Outcome.SHED:
            self._cut_limit(min(self._limit, sample.in_flight) * SHED_CUT_FACTOR, now)
            return
        slowdown = self._sample_slowdown(sample, now)
        if slowdown is None:
            return
        window = self._window
        window.add(sample, slowdown, self.limit)
        if self._phase is Phase.COLD:
            self._grow_during_cold_start(sample, slowdown)
        if self._is_window_full(window, now):
            self._window = _Window(now)
            self._update_proven_limit(window, now)
            self._adjust_limit(window, now)

    def _sample_slowdown(self, sample: Sample, now: float) -> float | None:
        baseline = self._baselines.get(sample.kind)
        if sample.outcome is Outcome.FAILED:
            return 1.0
        if sample.outcome is Outcome.CANCELLED:
            # A cancelled request shows a slowdown only if it already ran for too long.
            known = baseline.seconds if baseline is not None else sample.seconds
            slowdown = _slowdown_ratio(sample.seconds, known)
            return slowdown if slowdown > MAX_TOLERATED_SLOWDOWN else None
        if baseline is None:
            if len(self._baselines) < MAX_BASELINES:
                first = _Baseline(sample.seconds, sample.seconds, now)
                self._baselines[sample.kind] = first
            return 1.0
        slowdown = _slowdown_ratio(sample.seconds, baseline.seconds)
        # Latency under load must not raise the unloaded baseline.
        is_unloaded = sample.in_flight <= max(1, self.limit // 2)
        baseline.record(sample.seconds, now, can_rise=is_unloaded)
        return slowdown

    def _grow_during_cold_start(self, sample: Sample, slowdown: float) -> None:
        if sample.outcome is not Outcome.DONE or slowdown > MAX_TOLERATED_SLOWDOWN:
            return
        self._limit = min(self._limit + 1, self._slots)
        if self._limit >= self._slots:
            self._phase = Phase.STEADY

    def _is_window_full(self, window: _Window, now: float) -> bool:
        needed = min(MAX_REQUIRED_SAMPLES, max(MIN_REQUIRED_SAMPLES, 2 * self.limit))
        if self._pending_cut is not None:
            # Check the effect of a cut soon, as a needless one costs goodput.
            needed = max(MIN_REQUIRED_SAMPLES_AFTER_CUT, self.limit)
        return window.sample_count >= needed and now - window.opened_at >= MIN_WINDOW_S

    def _adjust_limit(self, window: _Window, now: float) -> None:
        slowdown = window.slowdown_sum / window.sample_count
        in_flight = window.in_flight_sum / window.sample_count
        relative = slowdown / self._decay_accepted_slowdown(now - window.opened_at)
        if window.failed_count > window.sample_count * MAX_FAILED_FRACTION:
            self._cut_limit(self._limit * FAILED_CUT_FACTOR, now)
        elif relative <= MAX_TOLERATED_SLOWDOWN:
            self._accepted_slowdown = max(1.0, min(self._accepted_slowdown, slowdown))
            self._pending_cut = None
            self._grow_limit(window, relative)
        elif self._pending_cut is not None and not _is_cut_effective(
            self._pending_cut, slowdown, in_flight
        ):
            self._accept_slowdown(slowdown, self._pending_cut.limit_before)
        elif self.limit == 1:
            # A request that runs alone isn't slowed down by concurrent ones.
            self._accept_slowdown(slowdown, self._limit)
        else:
            self._cut_limit_for_latency(window, relative, now)

    def _cut_limit_for_latency(
        self, window: _Window, relative: float, now: float
    ) -> None:
        """Cut the limit, but not below the recently proven limit."""
        slowdown = window.slowdown_sum / window.sample_count
        in_flight = window.in_flight_sum / window.sample_count
        factor = max(MIN_CUT_FACTOR, MAX_TOLERATED_SLOWDOWN / relative)
        base = min(self._limit, in_flight)
        target = max(base * min(MAX_CUT_FACTOR, factor), self._valid_proven_limit(now))
        if target >= base:
            self._pending_cut = None
            return
        cut = _Cut(self._limit, slowdown, in_flight)
        self._cut_limit(target, now)
        self._pending_cut = cut

    def _valid_proven_limit(self, now: float) -> int:
        return (
            self._proven_limit.limit
            if now - self._proven_limit.proven_at <= PROVEN_LIMIT_VALIDITY_S
            else 0
        )

    def _update_proven_limit(self, window: _Window, now: float) -> None:
        in_flight = window.unloaded_in_flight
        if in_flight and in_flight >= self._valid_proven_limit(now):
            self._proven_limit = _ProvenLimit(in_flight, now)

    def _accept_slowdown(self, slowdown: float, limit: float) -> None:
        """Accept a slowdown as normal, as a lower limit doesn't reduce it."""
        self._limit = min(limit, self._slots)
        self._accepted_slowdown = slowdown
        self._pending_cut = None

    def _decay_accepted_slowdown(self, seconds: float) -> float:
        """Decay the accepted slowdown, so that a cut is tried again later."""
        decay_factor = 0.5 ** (seconds / ACCEPTED_SLOWDOWN_HALF_LIFE_S)
        self._accepted_slowdown = max(1.0, self._accepted_slowdown * decay_factor)
        return self._accepted_slowdown

    def _grow_limit(self, window: _Window, slowdown: float) -> None:
        """Double the limit at unloaded latency, else raise it by GROWTH_FRACTION."""
        if not window.has_reached_limit or self._phase is Phase.COLD:
            return
        fraction = 1.0 if slowdown <= MAX_UNLOADED_SLOWDOWN else GROWTH_FRACTION
        self._limit = min(self._limit + max(1.0, self._limit * fraction), self._slots)

    def _cut_limit(self, limit: float, now: float) -> None:
        self._limit = max(1.0, limit)
        self._phase = Phase.STEADY
        self._pending_cut = None
        self._last_cut_at = now
        self._window = _Window(now)


def _is_cut_effective(cut: _Cut, slowdown: float, in_flight: float) -> bool:
    """Return whether latency fell by at least half of the cut in concurrency."""
    removed = 1 - in_flight / cut.in_flight_before
    if removed < MIN_REMOVED_FRACTION:
        return True
    return slowdown <= cut.slowdown_before * (1 - MIN_CUT_BENEFIT_FRACTION * removed)


def _slowdown_ratio(seconds: float, baseline: float) -> float:
    return min(MAX_SAMPLE_SLOWDOWN, seconds / (baseline + LATENCY_SLACK_S))
