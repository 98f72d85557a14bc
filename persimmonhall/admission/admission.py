"""Run the admission core on the event loop; requests wait for its decisions."""

import itertools
import math
from dataclasses import dataclass

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.counters import GateCounters, Refused
from persimmonhall.admission.messages import (
    Outcome,
    Refuse,
    RequestKind,
    Start,
    Ticket,
    Verdict,
)
from persimmonhall.document.schema import Worth
from persimmonhall.errors import Refusal
from persimmonhall.histogram import record_seconds
from persimmonhall.ids import RootId, TicketId
from persimmonhall.stalls import Stalls

REFUSAL_LOG_INTERVAL_S = 1.0


@dataclass(frozen=True)
class Asked:
    """Describe a request for admission; deadline in monotonic seconds."""

    root: RootId
    worth: Worth
    depth: int
    kind: RequestKind
    deadline: float


@dataclass(frozen=True)
class Admitted:
    """Describe an admitted request; start time in monotonic seconds."""

    ticket: Ticket
    started: float


class _Waiter:
    """Hold the decision on one request and the event that signals it."""

    def __init__(self):
        self.decided = trio.Event()
        self.started = False
        self.refusal: Refusal | None = None


class Admission:
    """Run the admission core on the event loop."""

    def __init__(self, stalls: Stalls | None = None):
        self._core = AdmissionCore()
        self._stalls = stalls or Stalls()
        self._counters = GateCounters()
        self._ids = itertools.count(1)
        self._waiters: dict[TicketId, _Waiter] = {}
        self._timer = trio.CancelScope()
        self._logged_limit = self._core.limit

    @property
    def core(self) -> AdmissionCore:
        """Return the admission core, which reports the current load."""
        return self._core

    @property
    def counters(self) -> GateCounters:
        """Return the counts since the process started."""
        return self._counters

    async def keep_time(self) -> None:
        """Call the core's tick whenever it is due, until cancelled."""
        while True:
            with trio.CancelScope(deadline=self._wakeup()) as self._timer:
                await trio.sleep_forever()
            self._deliver(self._core.tick(trio.current_time()))

    def announce(self, slots: int, *, cold: bool) -> None:
        """Set the number of slots that the backend server announced."""
        self._deliver(self._core.announce(slots, trio.current_time(), cold=cold))
        self._log_limit()

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuse all queued requests."""
        self._deliver(self._core.refuse_all(refusal))

    async def admit(self, asked: Asked) -> Result[Admitted, Refusal]:
        """Wait until a request is admitted or refused."""
        ticket = Ticket(
            TicketId(next(self._ids)),
            asked.root,
            asked.worth,
            asked.deadline,
            asked.depth,
            asked.kind,
        )
        arrived = trio.current_time()
        waiter = self._waiters[ticket.id] = _Waiter()
        try:
            self._deliver(self._core.arrive(ticket, arrived))
            if not waiter.decided.is_set():
                await waiter.decided.wait()
        except trio.Cancelled:
            self._withdraw(ticket, waiter)
            raise
        finally:
            del self._waiters[ticket.id]
        if waiter.refusal is not None:
            self.count_refusal(waiter.refusal, asked.worth)
            return Failure(waiter.refusal)
        started = trio.current_time()
        self._counters.admitted[asked.worth] += 1
        record_seconds(self._counters.queue_wait_us, started - arrived)
        return Success(Admitted(ticket, started))

    def finish(
        self, admitted: Admitted, outcome: Outcome, sent: float | None = None
    ) -> None:
        """Record the outcome of a request; `sent_at` defaults to its start."""
        now = trio.current_time()
        if self._stalls.has_hit(admitted.started, now):
            self._core.resume(now)
        begun = admitted.started if sent is None else sent
        if outcome is Outcome.CANCELLED:
            self._counters.cancelled[admitted.ticket.worth] += 1
        elif outcome is not Outcome.NOT_RUN:
            record_seconds(self._counters.service_us, now - begun)
        self._deliver(self._core.finish(admitted.ticket.id, outcome, now, begun))
        self._log_limit()

    def count_refusal(self, refusal: Refusal, worth: Worth) -> None:
        """Count and log a refusal, including one made before queueing."""
        refused = Refused(refusal.kind, worth)
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
            self._core.service_s * 1000,
        )
        self._logged_limit = limit

    def _withdraw(self, ticket: Ticket, waiter: _Waiter) -> None:
        now = trio.current_time()
        if waiter.started:
            self._deliver(self._core.finish(ticket.id, Outcome.NOT_RUN, now))
        else:
            self._deliver(self._core.abandon(ticket.id, now))
        self._counters.cancelled[ticket.worth] += 1

    def _deliver(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            waiter = self._waiters.get(verdict.ticket)
            if waiter is None:
                continue
            match verdict:
                case Start():
                    waiter.started = True
                case Refuse(_, refusal):
                    waiter.refusal = refusal
            waiter.decided.set()
        self._timer.deadline = min(self._timer.deadline, self._wakeup())

    def _wakeup(self) -> float:
        wakeup = self._core.next_wakeup
        return math.inf if wakeup is None else wakeup
