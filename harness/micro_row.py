"""Define a row of the table of decision times."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """Store the time of one kind of decision at one size, in microseconds."""

    name: str
    size: int
    p50_us: float
    p99_us: float
