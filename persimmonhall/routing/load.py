"""Define the load that a gate reports with each reply."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Load:
    """Report the load of a gate."""

    in_flight: int
    queued: int
    limit: int
    latency_us: int
