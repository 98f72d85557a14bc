"""Record durations in HDR histograms, in microseconds."""

from hdrh.histogram import HdrHistogram

MIN_DURATION_US = 1
MAX_DURATION_US = 3600 * 1_000_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return an empty histogram for durations."""
    return HdrHistogram(MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration, clamped to the range of the histogram."""
    micros = int(seconds * 1_000_000)
    histogram.record_value(min(MAX_DURATION_US, max(MIN_DURATION_US, micros)))
