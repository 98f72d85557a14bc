"""Define one row of the table that make micro prints."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """Hold the time of one kind of decision at one size; microseconds."""

    name: str
    size: int
    p50_us: float
    p99_us: float
