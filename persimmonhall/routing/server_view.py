"""Track what a router knows of one server."""

import math
from dataclasses import dataclass, field
from enum import Enum

from persimmonhall.routing.load import Load

LOAD_DECAY_S = 1.0
# A rate limit is assumed to have ended without a report for this long: a server that
# gets no calls cannot state that it has.
RATE_LIMIT_FRESH_S = 2.0
SLOWNESS_DECAY_S = 10.0
# A reported slowdown holds for the first time, then decays with the second: servers
# that are avoided send few reports, and most slowdowns are short.
SLOWDOWN_FRESH_S = 0.2
SLOWDOWN_DECAY_S = 0.5
# Slowdowns that exceed the mean of the service by less than this logarithm are mostly
# chance. What exceeds it is multiplied, so that a server at two fifths of its speed
# gets a fifth of its calls at most.
MIN_LOG_SLOWDOWN = 0.5
SLOWDOWN_EXPONENT = 4.0
RATIO_WEIGHT = 0.3
SLOW_START_WINDOW_S = 10.0
SLOW_START_MIN_WEIGHT = 0.1
LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.2
MIN_FAILING_RATE = 0.5
STALL_FACTOR = 4.0
MIN_STALL_S = 0.25
DEFAULT_STALL_S = 1.0
MIN_SLOWNESS = 0.05
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
EJECTION_JITTER_FRACTION = 0.25
EJECTION_COUNT_RESET_S = 60.0


class CallOutcome(Enum):
    """Classify how a call to a server ended."""

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    UNAVAILABLE = "turnedAway"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMED_OUT = "timedOut"
    CANCELLED = "cancelled"
    PROCESS_PAUSED = "ownStall"


class EjectReason(Enum):
    """Classify why a server temporarily gets no calls."""

    UNREACHABLE = "unreachable"
    UNAVAILABLE = "turnedAway"
    LOST = "lost"
    STALLED = "stalled"
    SLOW = "slow"
    FAILING = "failing"
    ACCUSED = "accused"

    @property
    def is_out_of_service(self) -> bool:
        """Return whether the server is known to accept no calls."""
        return self in (EjectReason.UNREACHABLE, EjectReason.UNAVAILABLE)


class Usability(Enum):
    """Classify whether a server may be chosen."""

    USABLE = "usable"
    PROBE_DUE = "probeDue"
    STALLED = "stalled"
    EJECTED = "ejected"


@dataclass
class ServerView:
    """Track one server as a router sees it; times are monotonic seconds."""

    slots: int
    warm_since: float
    outstanding: int = 0
    usage_by_others: float = 0.0
    reported_at: float = -math.inf
    slowness: float = 1.0
    latency_s: float = 0.0
    sampled_at: float = -math.inf
    samples: int = 0
    failure_rate: float = 0.0
    consecutive_unanswered: int = 0
    last_progress_at: float = 0.0
    eject_reason: EjectReason | None = None
    ejected_until: float = 0.0
    ejected_at: float = -math.inf
    ejection_count: int = 0
    is_probing: bool = False
    is_rate_limited: bool = False
    # Logarithms: usual run time over that of the service for each kind of call, and
    # current over usual run time.
    log_ratios: dict[str, float] = field(default_factory=dict)
    log_slowdown: float = 0.0
    slowdown_at: float = -math.inf

    def __post_init__(self):
        self._unlimited_slots = self.slots

    @property
    def stall_s(self) -> float:
        """Return how many seconds without an answer count as a stall."""
        if self.samples == 0:
            return DEFAULT_STALL_S
        return max(MIN_STALL_S, STALL_FACTOR * self.latency_s)

    @property
    def is_failing(self) -> bool:
        """Return whether most of the recent calls failed."""
        return self.failure_rate >= MIN_FAILING_RATE

    def is_limited_at(self, now: float) -> bool:
        """Return whether the server recently reported a limit of its rate."""
        return self.is_rate_limited and now - self.reported_at <= RATE_LIMIT_FRESH_S

    def start_call(self, now: float) -> None:
        """Count a call that is sent to the server."""
        if self.outstanding == 0:
            self.last_progress_at = now
        self.outstanding += 1
        self.is_probing = self.eject_reason is not None

    def end_call(self, now: float) -> None:
        """Count a call that ended."""
        self.outstanding = max(0, self.outstanding - 1)
        self.is_probing = False

    def record_load(self, load: Load, now: float) -> None:
        """Record a load report, less this node's calls, which outstanding counts."""
        self.slots = max(1, load.limit)
        self.is_rate_limited = load.is_rate_limited
        if not load.is_rate_limited:
            self._unlimited_slots = self.slots
        others = max(0, load.in_flight + load.queued - self.outstanding)
        self.usage_by_others = others / self.slots
        self.reported_at = now

    def record_usual_time(self, path: str, log_ratio: float) -> None:
        """Record the usual run time that the gate reports of a kind of call."""
        known = self.log_ratios.get(path, log_ratio)
        self.log_ratios[path] = known + RATIO_WEIGHT * (log_ratio - known)

    def record_slowdown(self, log_slowdown: float, now: float) -> None:
        """Record by how much the runs of the server take longer than usual."""
        self.log_slowdown = log_slowdown
        self.slowdown_at = now

    def current_log_slowdown(self, now: float) -> float:
        """Return the reported slowdown, decayed towards none by its age."""
        overdue_s = max(0.0, now - self.slowdown_at - SLOWDOWN_FRESH_S)
        if not self.log_slowdown or overdue_s == math.inf:
            return 0.0
        return self.log_slowdown * math.exp(-overdue_s / SLOWDOWN_DECAY_S)

    def slowdown_penalty(self, mean_log_slowdown: float, now: float) -> float:
        """Return the logarithm of the factor by which the server is avoided."""
        usual = mean_log_slowdown + MIN_LOG_SLOWDOWN
        if usual >= 0 and self.log_slowdown <= usual:
            # Its decay can't bring it above.
            return 0.0
        excess = self.current_log_slowdown(now) - usual
        return SLOWDOWN_EXPONENT * max(0.0, excess)

    def record_latency(self, latency_s: float, baseline_s: float, now: float) -> None:
        """Record a latency and its ratio to the baseline of its kind of request."""
        ratio = latency_s / baseline_s if baseline_s > 0 else 1.0
        weight = max(LATENCY_WEIGHT, 1 / (self.samples + 1))
        self.slowness += weight * (ratio - self.slowness)
        self.latency_s += weight * (latency_s - self.latency_s)
        self.sampled_at = now
        self.samples += 1

    def record_failure(self, is_failure: bool) -> None:
        """Record whether a call failed."""
        self.failure_rate += FAILURE_WEIGHT * (is_failure - self.failure_rate)

    def usage(self, default_usage: float, now: float) -> float:
        """Return calls per slot: local calls now plus the decayed report of others."""
        decay = math.exp((self.reported_at - now) / LOAD_DECAY_S)
        others = default_usage + decay * (self.usage_by_others - default_usage)
        return others + self.outstanding / self.slots

    def is_slower_than(self, log_factor: float, path: str, now: float) -> bool:
        """Return whether the slowness of a kind of request exceeds e**log_factor."""
        if self.log_ratios:
            log_ratio = self.log_ratios.get(path, 0.0)
            if log_ratio + max(0.0, self.log_slowdown) < log_factor:
                return False
            return log_ratio + self.current_log_slowdown(now) >= log_factor
        return self.decayed_slowness(path, now) >= math.exp(log_factor)

    def decayed_slowness(self, path: str, now: float) -> float:
        """Return the ratio to the usual time of the service, decayed by its age."""
        if self.log_ratios:
            log_ratio = self.log_ratios.get(path, 0.0)
            return math.exp(log_ratio + self.current_log_slowdown(now))
        decay = math.exp((self.sampled_at - now) / SLOWNESS_DECAY_S)
        return max(MIN_SLOWNESS, 1 + decay * (self.slowness - 1))

    def cost(self, default_usage: float, path: str, now: float) -> float:
        """Return the relative cost of one more call, for comparing servers only.

        Calls per slot are proportional to the run time already: where the gate reports
        the speed, servers of equal cost have shares in proportion to it.
        """
        if self.is_rate_limited and not self.is_limited_at(now):
            self.is_rate_limited = False
            self.slots = self._unlimited_slots
        weight = min(
            1.0,
            max(SLOW_START_MIN_WEIGHT, (now - self.warm_since) / SLOW_START_WINDOW_S),
        )
        usage = self.usage(default_usage, now) + 1 / self.slots
        if self.log_ratios:
            return usage / weight
        return usage * self.decayed_slowness(path, now) / weight

    def usability(self, now: float) -> Usability:
        """Return whether the server may be chosen now."""
        if self.eject_reason is not None:
            is_due = now >= self.ejected_until and not self.is_probing
            return Usability.PROBE_DUE if is_due else Usability.EJECTED
        if self.outstanding and now - self.last_progress_at > self.stall_s:
            return Usability.STALLED
        return Usability.USABLE

    def eject(self, reason: EjectReason, jitter: float, now: float) -> None:
        """Eject the server, each time for longer if ejections follow each other."""
        if now - self.ejected_at > EJECTION_COUNT_RESET_S:
            self.ejection_count = 0
        length_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejection_count)
        if reason is EjectReason.UNAVAILABLE:
            length_s = FIRST_EJECTION_S
        else:
            self.ejection_count += 1
        self.eject_reason = reason
        self.ejected_at = now
        self.ejected_until = now + length_s * (1 + EJECTION_JITTER_FRACTION * jitter)

    def restore(self, now: float) -> None:
        """End the ejection; the server's calls ramp up in slow start."""
        self.eject_reason = None
        self.warm_since = now
        self.consecutive_unanswered = 0
        self.samples = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
