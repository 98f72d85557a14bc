"""Decide which requests one gate starts, queues or refuses."""

import heapq
from dataclasses import dataclass

from persimmonhall.admission.limiter import ConcurrencyLimiter, Sample
from persimmonhall.admission.messages import (
    Decision,
    Outcome,
    Refuse,
    RequestKind,
    Start,
    Ticket,
)
from persimmonhall.admission.order import order_key
from persimmonhall.admission.request_queue import QueuedRequest, RequestQueue
from persimmonhall.admission.service_times import ServiceTimes
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import TicketId

DEFAULT_SLOTS = 16
MAX_QUEUED = 2000
BURST_WAIT_FRACTIONS = {
    Worth.CRITICAL: 0.8,
    Worth.CUSTOMER: 0.8,
    Worth.STANDARD: 0.5,
    Worth.INTERNAL: 0.4,
}
OVERLOAD_WAIT_FRACTIONS = {
    Worth.CRITICAL: 0.8,
    Worth.CUSTOMER: 0.8,
    Worth.STANDARD: 0.15,
    Worth.INTERNAL: 0.05,
}
MIN_STANDING_QUEUE_S = 0.5
MIN_STANDING_QUEUE_SERVICE_TIMES = 4
MAX_CANCELLED_HOLD_S = 1.0
MAX_OVERDUE_CANCELLED_HOLD_S = 0.25
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class _RunningRequest:
    kind: RequestKind
    started_at: float
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
        self._service_times = ServiceTimes()
        self._max_queued = max_queued
        self._running: dict[TicketId, _RunningRequest] = {}
        self._cancelled_slot_ends: list[float] = []
        self._queue = RequestQueue()
        self._queued_since = 0.0
        self._process_resumed_at = float("-inf")
        self._shortages: dict[Worth, _Shortage] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of slots in use, including those held after a cancel."""
        return len(self._running) + len(self._cancelled_slot_ends)

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self._limiter.limit

    @property
    def mean_service_time_s(self) -> float:
        """Return the mean service time in seconds."""
        return self._service_times.latest_mean_s

    def service_time_s(self, kind: RequestKind) -> float:
        """Return the service time of a kind in seconds, 0 if unknown."""
        return self._service_times.latest_s(kind)

    def set_slots(self, slots: int, now: float, *, is_cold: bool) -> list[Decision]:
        """Set the number of announced slots and start the queued requests that fit."""
        if is_cold:
            self._limiter.start_cold(slots, now)
        else:
            self._limiter.set_slots(slots)
        return self._start_queued(now)

    def add_request(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start, queue or refuse an arriving request."""
        expected = self._service_times.expected_s(ticket.kind, now)
        if ticket.deadline - now < expected or ticket.deadline <= now:
            return [self._refuse_deadline_exceeded(ticket, now)]
        request = QueuedRequest(
            order_key(ticket),
            ticket,
            now,
            self._latest_start(ticket, expected, now),
        )
        if not len(self._queue):
            self._queued_since = now
        queued_ahead = self._queue.add(request)
        decisions = self._start_queued(now)
        if ticket.id in self._queue and self._cannot_start_in_time(
            request, queued_ahead, now
        ):
            self._queue.remove(ticket.id)
            return [*decisions, self._refuse_overloaded(ticket, now)]
        return decisions + self._shed_excess(now)

    def finish(
        self,
        ticket_id: TicketId,
        outcome: Outcome,
        now: float,
        sent_at: float | None = None,
    ) -> list[Decision]:
        """Record the outcome of a running request; `sent_at` defaults to its start."""
        run = self._running.get(ticket_id)
        if run is None:
            return []
        self._record_outcome(
            run, outcome, now, run.started_at if sent_at is None else sent_at
        )
        del self._running[ticket_id]
        return self._start_queued(now)

    def discard_running_samples(self, now: float) -> None:
        """Ignore the latencies of running requests, as they include a process pause."""
        self._process_resumed_at = now

    def abandon(self, ticket_id: TicketId, now: float) -> list[Decision]:
        """Remove a queued request that its caller abandoned."""
        self._queue.remove(ticket_id)
        return self._start_queued(now)

    def refuse_queued(self, refusal: Refusal) -> list[Decision]:
        """Refuse all queued requests, as none will start any more."""
        decisions: list[Decision] = []
        while len(self._queue):
            decisions.append(Refuse(self._queue.pop_first().ticket.id, refusal))
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Refuse requests queued for too long and free slots held after a cancel."""
        decisions = self._start_queued(now)
        while (request := self._queue.pop_overdue(now)) is not None:
            decisions.append(self._refuse_overloaded(request.ticket, now))
        return decisions

    @property
    def next_wakeup(self) -> float | None:
        """Return when tick is next due, in monotonic seconds, or None."""
        times = (self._queue.next_latest_start, *self._cancelled_slot_ends[:1])
        return min((t for t in times if t is not None), default=None)

    def _record_outcome(
        self, run: _RunningRequest, outcome: Outcome, now: float, sent_at: float
    ) -> None:
        """Record the server's time for the limit and the slot's for wait estimates."""
        served = now - sent_at
        if run.started_at < self._process_resumed_at:
            if outcome is Outcome.CANCELLED:
                self._hold_cancelled_slot(run, served, now)
            return
        sample = Sample(run.kind, outcome, run.started_at, served, run.in_flight)
        self._limiter.record(sample, now)
        if outcome is Outcome.DONE:
            self._service_times.record(run.kind, now - run.started_at, now)
        elif outcome is Outcome.CANCELLED:
            self._service_times.record_at_least(run.kind, now - run.started_at, now)
            self._hold_cancelled_slot(run, served, now)

    def _hold_cancelled_slot(
        self, run: _RunningRequest, seconds: float, now: float
    ) -> None:
        """Hold the slot as long as a server that ignores the cancel would use it."""
        expected = self._service_times.expected_s(run.kind, now)
        if seconds < expected:
            left = min(expected - seconds, MAX_CANCELLED_HOLD_S)
        else:
            left = min(expected, MAX_OVERDUE_CANCELLED_HOLD_S)
        if left > 0:
            heapq.heappush(self._cancelled_slot_ends, now + left)

    def _start_queued(self, now: float) -> list[Decision]:
        while self._cancelled_slot_ends and self._cancelled_slot_ends[0] <= now:
            heapq.heappop(self._cancelled_slot_ends)
        decisions: list[Decision] = []
        while len(self._queue) and self.in_flight < self.limit:
            ticket = self._queue.pop_first().ticket
            left = ticket.deadline - now
            if left <= 0 or left < self._service_times.expected_s(ticket.kind, now):
                decisions.append(self._refuse_deadline_exceeded(ticket, now))
                continue
            self._running[ticket.id] = _RunningRequest(
                ticket.kind, now, self.in_flight + 1
            )
            self._shortages.pop(ticket.worth, None)
            decisions.append(Start(ticket.id))
        return decisions

    def _latest_start(self, ticket: Ticket, expected: float, now: float) -> float:
        fractions = (
            OVERLOAD_WAIT_FRACTIONS
            if self._has_standing_queue(now)
            else BURST_WAIT_FRACTIONS
        )
        wait = fractions[ticket.worth] * (ticket.deadline - now)
        return min(ticket.deadline - expected, now + max(wait, expected))

    def _has_standing_queue(self, now: float) -> bool:
        """Return whether the queue has lasted longer than a short burst explains."""
        min_age_s = max(
            MIN_STANDING_QUEUE_S,
            MIN_STANDING_QUEUE_SERVICE_TIMES * self._service_times.mean_s(now),
        )
        return len(self._queue) > 0 and now - self._queued_since > min_age_s

    def _cannot_start_in_time(
        self, request: QueuedRequest, queued_ahead: int, now: float
    ) -> bool:
        return now + self._expected_wait_s(queued_ahead, now) > request.latest_start

    def _expected_wait_s(self, queued_ahead: int, now: float) -> float:
        """Estimate the wait in seconds behind a number of queued requests."""
        return (queued_ahead + 0.5) * self._service_times.mean_s(now) / self.limit

    def _shed_excess(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while len(self._queue):
            last = self._queue.last
            is_too_late = self._cannot_start_in_time(last, len(self._queue) - 1, now)
            if len(self._queue) <= self._max_queued and not is_too_late:
                break
            self._queue.remove(last.ticket.id)
            decisions.append(self._refuse_overloaded(last.ticket, now))
        return decisions

    def _refuse_overloaded(self, ticket: Ticket, now: float) -> Refuse:
        detail = f"no slot is free in time for a request of worth {ticket.worth.value}"
        return self._refuse(ErrorKind.OVERLOADED, detail, ticket, now)

    def _refuse_deadline_exceeded(self, ticket: Ticket, now: float) -> Refuse:
        detail = "too little time is left to finish before the deadline"
        return self._refuse(ErrorKind.DEADLINE_EXCEEDED, detail, ticket, now)

    def _refuse(
        self, kind: ErrorKind, detail: str, ticket: Ticket, now: float
    ) -> Refuse:
        shortage = self._shortages.get(ticket.worth)
        if shortage is None or now - shortage.last > MAX_RETRY_AFTER_S:
            shortage = self._shortages[ticket.worth] = _Shortage(now, now)
        shortage.last = now
        wait = max(self._expected_wait_s(len(self._queue), now), now - shortage.since)
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
        refusal = refuse(kind, detail, ran=Ran.NO, retry_after_s=bounded)
        return Refuse(ticket.id, refusal)
