"""Decide which requests one gate starts, queues or refuses."""

import heapq
from dataclasses import dataclass

from persimmonhall.admission.limiter import ConcurrencyLimiter, Sample
from persimmonhall.admission.messages import (
    Outcome,
    Refuse,
    RequestKind,
    Start,
    Ticket,
    Verdict,
)
from persimmonhall.admission.order import order_of
from persimmonhall.admission.service_times import ServiceTimes
from persimmonhall.admission.waiting import Waiting, WaitingLine
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import TicketId

DEFAULT_SLOTS = 16
MAX_QUEUED = 2000
BURST_WAIT_SHARE = {
    Worth.CRITICAL: 0.8,
    Worth.CUSTOMER: 0.8,
    Worth.STANDARD: 0.5,
    Worth.INTERNAL: 0.4,
}
OVERLOAD_WAIT_SHARE = {
    Worth.CRITICAL: 0.8,
    Worth.CUSTOMER: 0.8,
    Worth.STANDARD: 0.15,
    Worth.INTERNAL: 0.05,
}
STANDING_QUEUE_S = 0.5
STANDING_QUEUE_SERVICES = 4
MAX_LINGER_S = 1.0
MAX_OVERDUE_LINGER_S = 0.25
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class _Run:
    kind: RequestKind
    started: float
    in_flight: int


@dataclass(slots=True)
class _Shortage:
    """Record the first and the last refusal in an ongoing shortage for a worth."""

    since: float
    last: float


class AdmissionCore:
    """Track running and queued requests; callers pass the current time in seconds."""

    def __init__(self, slots: int = DEFAULT_SLOTS, max_queued: int = MAX_QUEUED):
        self._limiter = ConcurrencyLimiter(slots)
        self._times = ServiceTimes()
        self._max_queued = max_queued
        self._running: dict[TicketId, _Run] = {}
        self._lingering: list[float] = []
        self._line = WaitingLine()
        self._queued_since = 0.0
        self._resumed = float("-inf")
        self._shortages: dict[Worth, _Shortage] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of slots in use, including those held after a cancel."""
        return len(self._running) + len(self._lingering)

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._line)

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self._limiter.limit

    @property
    def service_s(self) -> float:
        """Return the mean service time in seconds."""
        return self._times.latest_mean

    def run_s(self, kind: RequestKind) -> float:
        """Return the service time of a kind in seconds, 0 if unknown."""
        return self._times.latest(kind)

    def announce(self, slots: int, now: float, *, cold: bool) -> list[Verdict]:
        """Set the number of announced slots and start the queued requests that fit."""
        if cold:
            self._limiter.start_cold(slots, now)
        else:
            self._limiter.set_slots(slots)
        return self._start_waiting(now)

    def arrive(self, ticket: Ticket, now: float) -> list[Verdict]:
        """Start, queue or refuse an arriving request."""
        expected = self._times.expected(ticket.kind, now)
        if ticket.deadline - now < expected or ticket.deadline <= now:
            return [self._refuse_late(ticket, now)]
        waiting = Waiting(
            order_of(ticket),
            ticket,
            now,
            self._latest_start(ticket, expected, now),
        )
        if not len(self._line):
            self._queued_since = now
        before = self._line.add(waiting)
        verdicts = self._start_waiting(now)
        if ticket.id in self._line and self._is_hopeless(waiting, before, now):
            self._line.remove(ticket.id)
            return [*verdicts, self._refuse_busy(ticket, now)]
        return verdicts + self._shed_worst(now)

    def finish(
        self,
        ticket: TicketId,
        outcome: Outcome,
        now: float,
        sent: float | None = None,
    ) -> list[Verdict]:
        """Record the outcome of a running request; `sent_at` defaults to its start."""
        run = self._running.get(ticket)
        if run is None:
            return []
        self._observe(run, outcome, now, run.started if sent is None else sent)
        del self._running[ticket]
        return self._start_waiting(now)

    def resume(self, now: float) -> None:
        """Ignore the latencies of running requests, as they include a process pause."""
        self._resumed = now

    def abandon(self, ticket: TicketId, now: float) -> list[Verdict]:
        """Remove a queued request that its caller abandoned."""
        self._line.remove(ticket)
        return self._start_waiting(now)

    def refuse_all(self, refusal: Refusal) -> list[Verdict]:
        """Refuse all queued requests, as none will start any more."""
        verdicts: list[Verdict] = []
        while len(self._line):
            verdicts.append(Refuse(self._line.pop_best().ticket.id, refusal))
        return verdicts

    def tick(self, now: float) -> list[Verdict]:
        """Refuse requests queued for too long and free slots held after a cancel."""
        verdicts = self._start_waiting(now)
        while (waiting := self._line.pop_overdue(now)) is not None:
            verdicts.append(self._refuse_busy(waiting.ticket, now))
        return verdicts

    @property
    def next_wakeup(self) -> float | None:
        """Return when tick is next due, in monotonic seconds, or None."""
        times = (self._line.next_due, *self._lingering[:1])
        return min((t for t in times if t is not None), default=None)

    def _observe(self, run: _Run, outcome: Outcome, now: float, sent: float) -> None:
        """Record the server's time for the limit and the slot's for wait estimates."""
        served = now - sent
        if run.started < self._resumed:
            if outcome is Outcome.CANCELLED:
                self._linger(run, served, now)
            return
        sample = Sample(run.kind, outcome, run.started, served, run.in_flight)
        self._limiter.observe(sample, now)
        if outcome is Outcome.DONE:
            self._times.record(run.kind, now - run.started, now)
        elif outcome is Outcome.CANCELLED:
            self._times.record_at_least(run.kind, now - run.started, now)
            self._linger(run, served, now)

    def _linger(self, run: _Run, seconds: float, now: float) -> None:
        """Hold the slot as long as a server that ignores the cancel would use it."""
        expected = self._times.expected(run.kind, now)
        if seconds < expected:
            left = min(expected - seconds, MAX_LINGER_S)
        else:
            left = min(expected, MAX_OVERDUE_LINGER_S)
        if left > 0:
            heapq.heappush(self._lingering, now + left)

    def _start_waiting(self, now: float) -> list[Verdict]:
        while self._lingering and self._lingering[0] <= now:
            heapq.heappop(self._lingering)
        verdicts: list[Verdict] = []
        while len(self._line) and self.in_flight < self.limit:
            ticket = self._line.pop_best().ticket
            left = ticket.deadline - now
            if left <= 0 or left < self._times.expected(ticket.kind, now):
                verdicts.append(self._refuse_late(ticket, now))
                continue
            self._running[ticket.id] = _Run(ticket.kind, now, self.in_flight + 1)
            self._shortages.pop(ticket.worth, None)
            verdicts.append(Start(ticket.id))
        return verdicts

    def _latest_start(self, ticket: Ticket, expected: float, now: float) -> float:
        shares = OVERLOAD_WAIT_SHARE if self._is_standing(now) else BURST_WAIT_SHARE
        wait = shares[ticket.worth] * (ticket.deadline - now)
        return min(ticket.deadline - expected, now + max(wait, expected))

    def _is_standing(self, now: float) -> bool:
        """Return whether the queue has lasted longer than a short burst explains."""
        bound = max(STANDING_QUEUE_S, STANDING_QUEUE_SERVICES * self._times.mean(now))
        return len(self._line) > 0 and now - self._queued_since > bound

    def _is_hopeless(self, waiting: Waiting, before: int, now: float) -> bool:
        return now + self._wait_s(before, now) > waiting.latest_start

    def _wait_s(self, before: int, now: float) -> float:
        """Estimate the wait in seconds behind a number of queued requests."""
        return (before + 0.5) * self._times.mean(now) / self.limit

    def _shed_worst(self, now: float) -> list[Verdict]:
        verdicts: list[Verdict] = []
        while len(self._line):
            worst = self._line.worst
            hopeless = self._is_hopeless(worst, len(self._line) - 1, now)
            if len(self._line) <= self._max_queued and not hopeless:
                break
            self._line.remove(worst.ticket.id)
            verdicts.append(self._refuse_busy(worst.ticket, now))
        return verdicts

    def _refuse_busy(self, ticket: Ticket, now: float) -> Refuse:
        detail = f"no slot is free in time for a request of worth {ticket.worth.value}"
        return self._refuse(ErrorKind.OVERLOADED, detail, ticket, now)

    def _refuse_late(self, ticket: Ticket, now: float) -> Refuse:
        detail = "too little time is left to finish before the deadline"
        return self._refuse(ErrorKind.DEADLINE_EXCEEDED, detail, ticket, now)

    def _refuse(
        self, kind: ErrorKind, detail: str, ticket: Ticket, now: float
    ) -> Refuse:
        shortage = self._shortages.get(ticket.worth)
        if shortage is None or now - shortage.last > MAX_RETRY_AFTER_S:
            shortage = self._shortages[ticket.worth] = _Shortage(now, now)
        shortage.last = now
        wait = max(self._wait_s(len(self._line), now), now - shortage.since)
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
        refusal = refuse(kind, detail, ran=Ran.NO, retry_after_s=bounded)
        return Refuse(ticket.id, refusal)
