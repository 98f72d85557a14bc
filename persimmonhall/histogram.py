"""Record durations in HDR histograms, in microseconds."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3600 * 1_000_000
DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return an empty histogram for durations."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration, clamped to the range of the histogram."""
    micros = int(seconds * 1_000_000)
    histogram.record_value(min(HIGHEST_US, max(LOWEST_US, micros)))
