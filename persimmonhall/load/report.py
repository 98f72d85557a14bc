"""Collect results by kind of request and phase."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_DURATION_US = 1
MAX_DURATION_US = 120 * 1000 * 1000
SIGNIFICANT_DIGITS = 3
BUCKET_S = 0.2
RECOVERED_FRACTION = 0.95
RECOVERED_BUCKETS = 5
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}


@dataclass(frozen=True)
class Sample:
    """Represent the result of one request; times in seconds from the start."""

    name: str
    phase: str
    sent_at: float
    ended_at: float
    is_good: bool
    reason: str


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS)


@dataclass
class Tally:
    """Aggregate the samples of one kind of request in one phase."""

    sent: int = 0
    good: int = 0
    reasons: Counter = field(default_factory=Counter)
    histogram: HdrHistogram = field(default_factory=_new_histogram)

    def add(self, sample: Sample) -> None:
        """Count one sample."""
        self.sent += 1
        if sample.is_good:
            self.good += 1
            micros = int((sample.ended_at - sample.sent_at) * 1e6)
            self.histogram.record_value(
                max(MIN_DURATION_US, min(micros, MAX_DURATION_US))
            )
        else:
            self.reasons[sample.reason] += 1

    def as_dict(self) -> dict:
        """Return the results as a dict; latencies in milliseconds."""
        latency = {
            name: self.histogram.get_value_at_percentile(percentile) / 1000
            for name, percentile in PERCENTILES.items()
        }
        return {
            "sent": self.sent,
            "good": self.good,
            "reasons": dict(self.reasons),
            "latency_ms": latency,
        }


class Report:
    """Collect samples and compute goodput, latency and recovery time."""

    def __init__(self):
        self._tallies: dict[tuple[str, str], Tally] = {}
        self._sent_by_bucket: Counter = Counter()
        self._good_by_bucket: Counter = Counter()

    def add(self, sample: Sample) -> None:
        """Count one sample."""
        key = (sample.phase, sample.name)
        self._tallies.setdefault(key, Tally()).add(sample)
        bucket = int(sample.sent_at / BUCKET_S)
        self._sent_by_bucket[bucket] += 1
        self._good_by_bucket[bucket] += sample.is_good

    def tally(self, phase: str, name: str) -> Tally:
        """Return the tally of one kind of request in one phase."""
        return self._tallies.get((phase, name), Tally())

    def total(self, phase: str) -> Tally:
        """Return the sum over all kinds of request in one phase."""
        total = Tally()
        for (name, _), tally in self._tallies.items():
            if name == phase:
                total.sent += tally.sent
                total.good += tally.good
                total.histogram.add(tally.histogram)
        return total

    def good_fractions(self, phase: str) -> dict[str, float]:
        """Return the fraction of successful requests by kind in one phase."""
        return {
            name: tally.good / max(1, tally.sent)
            for (phase_name, name), tally in self._tallies.items()
            if phase_name == phase
        }

    def as_dict(self) -> dict:
        """Return all results by phase and kind of request."""
        phases: dict[str, dict] = {}
        for (phase, name), tally in self._tallies.items():
            phases.setdefault(phase, {})[name] = tally.as_dict()
        return {"phases": phases}

    def format_table(self) -> str:
        """Format the results as a table."""
        lines = [
            f"{'phase':<10} {'request':<14} {'sent':>7} {'whole':>7} {'share':>6} "
            f"{'p50 ms':>8} {'p99 ms':>8}  refusals"
        ]
        for (phase, name), tally in self._tallies.items():
            figures = tally.as_dict()
            latency = figures["latency_ms"]
            ratio = tally.good / max(1, tally.sent)
            reasons = " ".join(f"{k}={v}" for k, v in sorted(tally.reasons.items()))
            lines.append(
                f"{phase:<10} {name:<14} {tally.sent:>7} {tally.good:>7} {ratio:>6.1%} "
                f"{latency['p50']:>8.1f} {latency['p99']:>8.1f}  {reasons}"
            )
        return "\n".join(lines)

    def recovery_s(
        self, baseline_span: tuple[float, float], trigger_ended_at: float
    ) -> float:
        """Return the seconds from the trigger's end until goodput recovered.

        Infinity means that it did not recover while load was sent.
        """
        target = RECOVERED_FRACTION * self._good_fraction(*map(_bucket, baseline_span))
        end = max(self._sent_by_bucket, default=0) + 1
        for bucket in range(_bucket(trigger_ended_at), end - RECOVERED_BUCKETS + 1):
            if self._good_fraction(bucket, bucket + RECOVERED_BUCKETS) >= target:
                return max(0.0, bucket * BUCKET_S - trigger_ended_at)
        return float("inf")

    def _good_fraction(self, first: int, last: int) -> float:
        sent = sum(self._sent_by_bucket[n] for n in range(first, last))
        good = sum(self._good_by_bucket[n] for n in range(first, last))
        return good / max(1, sent)


def _bucket(seconds: float) -> int:
    return int(seconds / BUCKET_S)
