"""Count what a gate decided and how long requests took."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind

LOWEST_US = 1
HIGHEST_US = 3600 * 1_000_000
DIGITS = 2


@dataclass(frozen=True)
class Refused:
    """Name one cell of the count of refusals."""

    kind: ErrorKind
    worth: Worth


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class GateCounters:
    """Hold the counts since the start; histograms in microseconds."""

    admitted: Counter[Worth] = field(default_factory=Counter)
    refused: Counter[Refused] = field(default_factory=Counter)
    cancelled: Counter[Worth] = field(default_factory=Counter)
    demoted: int = 0
    queue_wait_us: HdrHistogram = field(default_factory=_new_histogram)
    service_us: HdrHistogram = field(default_factory=_new_histogram)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration, kept within the range of the histogram."""
    micros = int(seconds * 1_000_000)
    histogram.record_value(min(HIGHEST_US, max(LOWEST_US, micros)))
