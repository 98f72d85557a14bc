"""Run the admission core on the event loop; requests wait for its decisions."""

import itertools
import math
from dataclasses import dataclass

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.counters import GateCounters, RefusalKey
from persimmonhall.admission.messages import (
    Decision,
    Outcome,
    Refuse,
    RequestKind,
    Start,
    Ticket,
)
from persimmonhall.document.schema import Worth
from persimmonhall.errors import Refusal
from persimmonhall.histogram import record_seconds
from persimmonhall.ids import RootId, TicketId
from persimmonhall.process_pauses import ProcessPauses

REFUSAL_LOG_INTERVAL_S = 1.0


@dataclass(frozen=True)
class AdmissionRequest:
    """Describe a request for admission; deadline in monotonic seconds."""

    root: RootId
    worth: Worth
    depth: int
    kind: RequestKind
    deadline: float


@dataclass(frozen=True)
class AdmittedRequest:
    """Describe an admitted request; start time in monotonic seconds."""

    ticket: Ticket
    started_at: float


class _Waiter:
    """Hold the decision on one request and the event that signals it."""

    def __init__(self):
        self.decided = trio.Event()
        self.is_started = False
        self.refusal: Refusal | None = None


class Admission:
    """Run the admission core on the event loop."""

    def __init__(self, process_pauses: ProcessPauses | None = None):
        self._core = AdmissionCore()
        self._process_pauses = process_pauses or ProcessPauses()
        self._counters = GateCounters()
        self._ids = itertools.count(1)
        self._waiters: dict[TicketId, _Waiter] = {}
        self._timer_scope = trio.CancelScope()
        self._logged_limit = self._core.limit

    @property
    def core(self) -> AdmissionCore:
        """Return the admission core, which reports the current load."""
        return self._core

    @property
    def counters(self) -> GateCounters:
        """Return the counts since the process started."""
        return self._counters

    async def run_timer(self) -> None:
        """Call the core's tick whenever it is due, until cancelled."""
        while True:
            with trio.CancelScope(deadline=self._next_wakeup()) as self._timer_scope:
                await trio.sleep_forever()
            self._apply_decisions(self._core.tick(trio.current_time()))

    def set_slots(self, slots: int, *, is_cold: bool) -> None:
        """Set the number of slots that the backend server announced."""
        self._apply_decisions(
            self._core.set_slots(slots, trio.current_time(), is_cold=is_cold)
        )
        self._log_limit()

    def refuse_queued(self, refusal: Refusal) -> None:
        """Refuse all queued requests."""
        self._apply_decisions(self._core.refuse_queued(refusal))

    async def admit(
        self, request: AdmissionRequest
    ) -> Result[AdmittedRequest, Refusal]:
        """Wait until a request is admitted or refused."""
        ticket = Ticket(
            TicketId(next(self._ids)),
            request.root,
            request.worth,
            request.deadline,
            request.depth,
            request.kind,
        )
        arrived_at = trio.current_time()
        waiter = self._waiters[ticket.id] = _Waiter()
        try:
            self._apply_decisions(self._core.add_request(ticket, arrived_at))
            if not waiter.decided.is_set():
                await waiter.decided.wait()
        except trio.Cancelled:
            self._abandon(ticket, waiter)
            raise
        finally:
            del self._waiters[ticket.id]
        if waiter.refusal is not None:
            self.count_refusal(waiter.refusal, request.worth)
            return Failure(waiter.refusal)
        started_at = trio.current_time()
        self._counters.admitted[request.worth] += 1
        record_seconds(self._counters.queue_wait_us, started_at - arrived_at)
        return Success(AdmittedRequest(ticket, started_at))

    def finish(
        self, admitted: AdmittedRequest, outcome: Outcome, sent_at: float | None = None
    ) -> None:
        """Record the outcome of a request; `sent_at` defaults to its start."""
        now = trio.current_time()
        if self._process_pauses.has_paused_since(admitted.started_at, now):
            self._core.discard_running_samples(now)
        service_started_at = admitted.started_at if sent_at is None else sent_at
        if outcome is Outcome.CANCELLED:
            self._counters.cancelled[admitted.ticket.worth] += 1
        elif outcome is not Outcome.NOT_RUN:
            record_seconds(self._counters.service_us, now - service_started_at)
        self._apply_decisions(
            self._core.finish(admitted.ticket.id, outcome, now, service_started_at)
        )
        self._log_limit()

    def count_refusal(self, refusal: Refusal, worth: Worth) -> None:
        """Count and log a refusal, including one made before queueing."""
        refused = RefusalKey(refusal.kind, worth)
        self._counters.refused[refused] += 1
        logging.log_every_n_seconds(
            logging.INFO,
            "admission refused error=%s worth=%s refused=%d queued=%d limit=%d",
            REFUSAL_LOG_INTERVAL_S,
            refusal.kind.value,
            worth.value,
            self._counters.refused[refused],
            self._core.queued,
            self._core.limit,
        )

    def _log_limit(self) -> None:
        limit = self._core.limit
        if limit == self._logged_limit:
            return
        logging.info(
            "limit before=%d now=%d in_flight=%d queued=%d service_ms=%.1f",
            self._logged_limit,
            limit,
            self._core.in_flight,
            self._core.queued,
            self._core.mean_service_time_s * 1000,
        )
        self._logged_limit = limit

    def _abandon(self, ticket: Ticket, waiter: _Waiter) -> None:
        now = trio.current_time()
        if waiter.is_started:
            self._apply_decisions(self._core.finish(ticket.id, Outcome.NOT_RUN, now))
        else:
            self._apply_decisions(self._core.abandon(ticket.id, now))
        self._counters.cancelled[ticket.worth] += 1

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            waiter = self._waiters.get(decision.ticket_id)
            if waiter is None:
                continue
            match decision:
                case Start():
                    waiter.is_started = True
                case Refuse(_, refusal):
                    waiter.refusal = refusal
            waiter.decided.set()
        self._timer_scope.deadline = min(
            self._timer_scope.deadline, self._next_wakeup()
        )

    def _next_wakeup(self) -> float:
        wakeup = self._core.next_wakeup
        return math.inf if wakeup is None else wakeup
