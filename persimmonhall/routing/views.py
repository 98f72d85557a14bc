"""Track what a router knows of one server."""

import math
from dataclasses import dataclass
from enum import Enum

from persimmonhall.call.messages import Load

LOAD_AGE_S = 1.0
SLOWNESS_AGE_S = 10.0
RAMP_S = 10.0
RAMP_START = 0.1
LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.2
STALL_FACTOR = 4.0
MIN_STALL_S = 0.25
UNKNOWN_STALL_S = 1.0
MIN_SLOWNESS = 0.05
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
EJECTION_JITTER = 0.25
STREAK_MEMORY_S = 60.0


class CallOutcome(Enum):
    """Classify how a call to a server ended."""

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    TURNED_AWAY = "turnedAway"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMED_OUT = "timedOut"
    CANCELLED = "cancelled"
    OWN_STALL = "ownStall"


class EjectReason(Enum):
    """Classify why a server temporarily gets no calls."""

    UNREACHABLE = "unreachable"
    TURNED_AWAY = "turnedAway"
    LOST = "lost"
    STALLED = "stalled"
    SLOW = "slow"
    FAILING = "failing"

    @property
    def is_certain(self) -> bool:
        """Return whether the server is known to accept no calls."""
        return self in (EjectReason.UNREACHABLE, EjectReason.TURNED_AWAY)


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
    others_usage: float = 0.0
    reported_at: float = -math.inf
    slowness: float = 1.0
    latency_s: float = 0.0
    sampled_at: float = -math.inf
    samples: int = 0
    failure_share: float = 0.0
    strikes: int = 0
    progress_at: float = 0.0
    reason: EjectReason | None = None
    ejected_until: float = 0.0
    ejected_at: float = -math.inf
    ejections: int = 0
    probing: bool = False

    @property
    def stall_s(self) -> float:
        """Return how many seconds without an answer count as a stall."""
        if self.samples == 0:
            return UNKNOWN_STALL_S
        return max(MIN_STALL_S, STALL_FACTOR * self.latency_s)

    def start(self, now: float) -> None:
        """Count a call that is sent to the server."""
        if self.outstanding == 0:
            self.progress_at = now
        self.outstanding += 1
        self.probing = self.reason is not None

    def end(self, now: float) -> None:
        """Count a call that ended."""
        self.outstanding = max(0, self.outstanding - 1)
        self.probing = False

    def take_load(self, load: Load, now: float) -> None:
        """Record a load report, less this node's calls, which outstanding counts."""
        self.slots = max(1, load.limit)
        others = max(0, load.in_flight + load.queued - self.outstanding)
        self.others_usage = others / self.slots
        self.reported_at = now

    def take_latency(self, latency_s: float, baseline_s: float, now: float) -> None:
        """Record a latency and its ratio to the baseline of its kind of request."""
        ratio = latency_s / baseline_s if baseline_s > 0 else 1.0
        weight = max(LATENCY_WEIGHT, 1 / (self.samples + 1))
        self.slowness += weight * (ratio - self.slowness)
        self.latency_s += weight * (latency_s - self.latency_s)
        self.sampled_at = now
        self.samples += 1

    def take_failure(self, failed: bool) -> None:
        """Record whether a call failed."""
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)

    def usage(self, neutral: float, now: float) -> float:
        """Return calls per slot: local calls now plus the decayed report of others."""
        fresh = math.exp((self.reported_at - now) / LOAD_AGE_S)
        others = neutral + fresh * (self.others_usage - neutral)
        return others + self.outstanding / self.slots

    def aged_slowness(self, now: float) -> float:
        """Return the latency ratio to the baseline, decayed towards 1 by its age."""
        fresh = math.exp((self.sampled_at - now) / SLOWNESS_AGE_S)
        return max(MIN_SLOWNESS, 1 + fresh * (self.slowness - 1))

    def cost(self, neutral: float, now: float) -> float:
        """Return the relative cost of one more call, for comparing servers only."""
        ramp = min(1.0, max(RAMP_START, (now - self.warm_since) / RAMP_S))
        usage = self.usage(neutral, now) + 1 / self.slots
        return usage * self.aged_slowness(now) / ramp

    def usability(self, now: float) -> Usability:
        """Return whether the server may be chosen now."""
        if self.reason is not None:
            due = now >= self.ejected_until and not self.probing
            return Usability.PROBE_DUE if due else Usability.EJECTED
        if self.outstanding and now - self.progress_at > self.stall_s:
            return Usability.STALLED
        return Usability.USABLE

    def eject(self, reason: EjectReason, jitter: float, now: float) -> None:
        """Eject the server, each time for longer if ejections follow each other."""
        if now - self.ejected_at > STREAK_MEMORY_S:
            self.ejections = 0
        length = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        if reason is EjectReason.TURNED_AWAY:
            length = FIRST_EJECTION_S
        else:
            self.ejections += 1
        self.reason = reason
        self.ejected_at = now
        self.ejected_until = now + length * (1 + EJECTION_JITTER * jitter)

    def restore(self, now: float) -> None:
        """End the ejection; the server's calls ramp up in slow start."""
        self.reason = None
        self.warm_since = now
        self.strikes = 0
        self.samples = 0
        self.slowness = 1.0
        self.failure_share = 0.0
