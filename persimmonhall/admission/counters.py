"""Count what a gate decided and how long requests took."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind
from persimmonhall.histogram import new_histogram


@dataclass(frozen=True)
class Refused:
    """Name one cell of the count of refusals."""

    kind: ErrorKind
    worth: Worth


@dataclass
class GateCounters:
    """Hold the counts since the start; histograms in microseconds."""

    admitted: Counter[Worth] = field(default_factory=Counter)
    refused: Counter[Refused] = field(default_factory=Counter)
    cancelled: Counter[Worth] = field(default_factory=Counter)
    demoted: int = 0
    queue_wait_us: HdrHistogram = field(default_factory=new_histogram)
    service_us: HdrHistogram = field(default_factory=new_histogram)
