"""Define the load that a gate reports with each reply."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class Load:
    """Report the load of a gate."""

    in_flight: int
    queued: int
    limit: int
    latency_us: int
    # Backend servers of documents state no rate limit.
    is_rate_limited: ClassVar[bool] = False
    # Their entries tell the speed of a server from the latencies of their own calls.
    slowdown: ClassVar[float] = 1.0
    usual_run_s: ClassVar[float] = 0.0
