"""Count the admission decisions of a gate and record request durations."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind
from persimmonhall.histogram import new_histogram


@dataclass(frozen=True)
class RefusalKey:
    """Key the refusal counts by error kind and worth."""

    kind: ErrorKind
    worth: Worth


@dataclass
class GateCounters:
    """Count decisions since the process started; histograms in microseconds."""

    admitted: Counter[Worth] = field(default_factory=Counter)
    refused: Counter[RefusalKey] = field(default_factory=Counter)
    cancelled: Counter[Worth] = field(default_factory=Counter)
    demoted: int = 0
    queue_wait_us: HdrHistogram = field(default_factory=new_histogram)
    service_us: HdrHistogram = field(default_factory=new_histogram)
