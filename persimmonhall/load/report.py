"""Count what came back, by kind of request and phase."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120 * 1000 * 1000
DIGITS = 3
BUCKET_S = 0.2
RECOVERED_SHARE = 0.95
RECOVERED_BUCKETS = 5
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}


@dataclass(frozen=True)
class Sample:
    """Tell how one request of a caller ended; times in seconds from the start."""

    name: str
    phase: str
    begin: float
    end: float
    good: bool
    reason: str


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class Tally:
    """Sum up the samples of one kind of request in one phase."""

    sent: int = 0
    good: int = 0
    reasons: Counter = field(default_factory=Counter)
    histogram: HdrHistogram = field(default_factory=_new_histogram)

    def add(self, sample: Sample) -> None:
        """Count one sample."""
        self.sent += 1
        if sample.good:
            self.good += 1
            micros = int((sample.end - sample.begin) * 1e6)
            self.histogram.record_value(max(LOWEST_US, min(micros, HIGHEST_US)))
        else:
            self.reasons[sample.reason] += 1

    def as_dict(self) -> dict:
        """Return the figures; latencies in milliseconds."""
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
    """Collect samples and work out goodput, latency and recovery time."""

    def __init__(self):
        self._tallies: dict[tuple[str, str], Tally] = {}
        self._good_at: Counter = Counter()

    def add(self, sample: Sample) -> None:
        """Count one sample."""
        key = (sample.phase, sample.name)
        self._tallies.setdefault(key, Tally()).add(sample)
        if sample.good:
            self._good_at[int(sample.end / BUCKET_S)] += 1

    def as_dict(self) -> dict:
        """Return all figures by phase and kind of request."""
        phases: dict[str, dict] = {}
        for (phase, name), tally in self._tallies.items():
            phases.setdefault(phase, {})[name] = tally.as_dict()
        return {"phases": phases}

    def table(self) -> str:
        """Return the figures as text."""
        lines = [
            f"{'phase':<10} {'request':<14} {'sent':>7} {'whole':>7} {'share':>6} "
            f"{'p50 ms':>8} {'p99 ms':>8}  refusals"
        ]
        for (phase, name), tally in self._tallies.items():
            figures = tally.as_dict()
            latency = figures["latency_ms"]
            share = tally.good / max(1, tally.sent)
            reasons = " ".join(f"{k}={v}" for k, v in sorted(tally.reasons.items()))
            lines.append(
                f"{phase:<10} {name:<14} {tally.sent:>7} {tally.good:>7} {share:>6.1%} "
                f"{latency['p50']:>8.1f} {latency['p99']:>8.1f}  {reasons}"
            )
        return "\n".join(lines)

    def recovery_s(self, before: tuple[float, float], trigger_end: float) -> float:
        """Return how long goodput took to come back; infinity if it did not."""
        first, last = (int(t / BUCKET_S) for t in before)
        span = [self._good_at[n] for n in range(first, last)]
        target = RECOVERED_SHARE * sum(span) / max(1, len(span))
        start = int(trigger_end / BUCKET_S)
        end = max(self._good_at, default=start)
        for bucket in range(start, end - RECOVERED_BUCKETS + 1):
            window = range(bucket, bucket + RECOVERED_BUCKETS)
            if sum(self._good_at[n] for n in window) >= target * RECOVERED_BUCKETS:
                return max(0.0, bucket * BUCKET_S - trigger_end)
        return float("inf")
