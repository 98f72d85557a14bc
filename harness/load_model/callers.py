"""Simulate callers that arrive at random and resend with or without delay."""

import itertools
import math
import random
from collections import defaultdict
from dataclasses import dataclass, field

from harness.load_model.clock import EventQueue
from harness.load_model.scenario import Kind, Scenario
from harness.load_model.servers import ModelExchange, make_message

# Callers wait at most this fraction of their remaining time, whatever the
# Retry-After of the refusal.
MAX_WAIT_FRACTION = 1 / 3
MODEL_KEY = "model-key"
IMMEDIATE_RESEND_DELAY_S = 0.01


@dataclass
class KindCounts:
    """Count the outcomes of the requests of one kind."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    latencies_s: list[float] = field(default_factory=list)

    @property
    def served_fraction(self) -> float:
        """Return the fraction of requests that were served, in time or late."""
        return (self.in_time + self.late) / max(1, self.sent)


class Callers:
    """Send the requests of all kinds to the entries of all zones."""

    def __init__(
        self,
        scenario: Scenario,
        entries_by_zone: list[list],
        events: EventQueue,
        rng: random.Random,
    ):
        self._scenario = scenario
        self._entries_by_zone = entries_by_zone
        self._events = events
        self._rng = rng
        self.counts: dict[str, KindCounts] = defaultdict(KindCounts)
        self.worth_by_second: dict[int, float] = defaultdict(float)
        self.next_item = itertools.count().__next__

    def start(self) -> None:
        """Schedule the first request of each kind that callers send."""
        for kind in self._scenario.kinds:
            if kind.per_s > 0:
                self._schedule(kind)

    def _schedule(self, kind: Kind) -> None:
        rate = kind.per_s * self._load_factor() * (1 + self._scenario.swing)
        self._events.after(
            self._rng.expovariate(rate), lambda: self._start_request(kind)
        )

    def _start_request(self, kind: Kind) -> None:
        if self._events.now < self._scenario.length_s:
            self._schedule(kind)
            zone = self._rng.randrange(len(self._entries_by_zone))
            if self._rng.random() < self._zone_probability(zone):
                _Request(self, kind, self._entries_by_zone[zone]).send(0)

    def _zone_probability(self, zone: int) -> float:
        """Return the fraction of its highest rate that a zone has now."""
        scenario = self._scenario
        if not scenario.swing:
            return 1.0
        time_s = self._events.now - zone * scenario.swing_shift_s
        phase = 2 * math.pi * time_s / scenario.swing_period_s
        return (1 + scenario.swing * math.sin(phase)) / (1 + scenario.swing)

    def _active_disturbances(self):
        now = self._events.now
        return [
            d for d in self._scenario.disturbances if d.at_s <= now < d.at_s + d.for_s
        ]

    def _load_factor(self) -> float:
        factor = 1.0
        for disturbance in self._active_disturbances():
            factor *= disturbance.burst
        return factor

    def draw_extra_resends(self) -> int:
        """Draw how many extra immediate resends a caller makes."""
        for disturbance in self._active_disturbances():
            if self._rng.random() < disturbance.eager_share:
                return disturbance.eager_times
        return 0


class _Request:
    """Track one request through its attempts."""

    def __init__(self, callers: Callers, kind: Kind, entries: list):
        self._callers = callers
        self._entries = entries
        self._kind = kind
        self._started_at = callers._events.now
        self._deadline = self._started_at + kind.deadline_ms / 1000
        self._extra_resends = callers.draw_extra_resends()
        self._resends_left = kind.retries + self._extra_resends
        self._is_finished = False
        self._item = str(callers.next_item())
        callers.counts[kind.name].sent += 1
        callers._events.call_at(self._deadline, self._time_out)
        self._exchange = None
        self._entry = None

    def send(self, number: int) -> None:
        """Send an attempt to a random entry."""
        if self._is_finished:
            return
        callers = self._callers
        if self._entry is None or not callers._scenario.has_local_entries:
            self._entry = callers._rng.choice(self._entries)
        self._exchange = ModelExchange(self._receive_outcome)
        entry, exchange = self._entry, self._exchange
        attempt = f"{self._kind.name}-{callers._rng.getrandbits(48):x}"
        one_way_s = callers._scenario.to_callers_ms / 1000
        left_ms = (self._deadline - callers._events.now) * 1000
        key = MODEL_KEY if callers._scenario.has_organisation else ""
        message = make_message(self._kind, attempt, left_ms, self._item, key)
        callers._events.after(one_way_s, lambda: entry.begin(message, exchange))

    def _receive_outcome(self, status: int, retry_after_s: float) -> None:
        one_way_s = self._callers._scenario.to_callers_ms / 1000
        self._callers._events.after(
            one_way_s, lambda: self._handle_outcome(status, retry_after_s)
        )

    def _handle_outcome(self, status: int, retry_after_s: float) -> None:
        if self._is_finished:
            return
        if status < 400:
            self._finish(served=True)
            return
        left_s = self._deadline - self._callers._events.now
        can_resend = status == 503 or self._kind.may_repeat
        if self._resends_left > 0 and can_resend and left_s > 0:
            self._resends_left -= 1
            wait_s = min(retry_after_s, left_s * MAX_WAIT_FRACTION)
            if self._extra_resends:
                wait_s = IMMEDIATE_RESEND_DELAY_S
            self._callers._events.after(wait_s, lambda: self.send(1))
        else:
            self._finish(served=False, refused=status == 503)

    def _time_out(self) -> None:
        if not self._is_finished:
            self._finish(served=False)
            self._entry.abandon(self._exchange)

    def _finish(self, *, served: bool, refused: bool = False) -> None:
        self._is_finished = True
        count = self._callers.counts[self._kind.name]
        took_s = self._callers._events.now - self._started_at
        second = int(self._started_at)
        if not served:
            count.refused += refused
            count.failed += not refused
            return
        count.latencies_s.append(took_s)
        if took_s <= self._kind.objective_ms / 1000:
            count.in_time += 1
            self._callers.worth_by_second[second] += self._kind.worth
        else:
            count.late += 1
            self._callers.worth_by_second[second] += self._kind.late_worth
