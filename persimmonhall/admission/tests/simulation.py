"""Run an admission core against a simulated backend server and check it."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.messages import Decision, Outcome, Refuse, Start, Ticket
from persimmonhall.admission.order import order_key
from persimmonhall.document.schema import Worth
from persimmonhall.ids import RootId, TicketId

WORTH_WEIGHTS = {
    Worth.CRITICAL: 0.1,
    Worth.CUSTOMER: 0.2,
    Worth.STANDARD: 0.3,
    Worth.INTERNAL: 0.4,
}

ServiceTime = Callable[[float, int], float]


@dataclass
class Simulation:
    """Simulate arrivals, completions and wakeups in time order; check each decision."""

    core: AdmissionCore
    service_time: ServiceTime
    rng: random.Random
    deadline_s: float = 2.0
    now: float = 0.0
    sent: Counter = field(default_factory=Counter)
    done: Counter = field(default_factory=Counter)
    arrived_at: list[float] = field(default_factory=list)
    completed_at: list[float] = field(default_factory=list)
    refusals: list[Refuse] = field(default_factory=list)
    refused_late: int = 0

    def __post_init__(self):
        self._ids = itertools.count(1)
        self._queued: dict[TicketId, Ticket] = {}
        self._running: dict[TicketId, Ticket] = {}
        self._completions: list[tuple[float, TicketId, Outcome]] = []
        self._decided: set[TicketId] = set()

    def run(self, until: float, per_second: float, *, cancel_fraction: float = 0.0):
        """Offer load at a rate until a time in seconds."""
        arrival = self.now + self.rng.expovariate(per_second)
        while (at := self._next_time(arrival)) <= until:
            self.now = at
            if at == arrival:
                self._arrive(cancel_fraction)
                arrival = at + self.rng.expovariate(per_second)
            elif self._completions and at == self._completions[0][0]:
                self._finish_next()
            else:
                self._apply_decisions(self.core.tick(at))
        self.now = until

    def _next_time(self, arrival: float) -> float:
        wakeup = self.core.next_wakeup
        times = [arrival, *(end[0] for end in self._completions[:1])]
        return min(times if wakeup is None else [*times, max(self.now, wakeup)])

    def _arrive(self, cancel_fraction: float) -> None:
        [worth] = self.rng.choices(tuple(WORTH_WEIGHTS), tuple(WORTH_WEIGHTS.values()))
        ticket = Ticket(
            TicketId(next(self._ids)),
            RootId(f"{self.rng.getrandbits(96):024x}"),
            worth,
            self.now + self.deadline_s,
            self.rng.randrange(3),
        )
        self.sent[worth] += 1
        self.arrived_at.append(self.now)
        self._queued[ticket.id] = ticket
        self._apply_decisions(self.core.add_request(ticket, self.now))
        if ticket.id in self._queued and self.rng.random() < cancel_fraction:
            del self._queued[ticket.id]
            self._apply_decisions(self.core.abandon(ticket.id, self.now))

    def _finish_next(self) -> None:
        _, number, outcome = heapq.heappop(self._completions)
        ticket = self._running.pop(number)
        if outcome is Outcome.DONE and self.now <= ticket.deadline:
            self.done[ticket.worth] += 1
            self.completed_at.append(self.now)
        self._apply_decisions(self.core.finish(number, outcome, self.now))

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            assert decision.ticket_id not in self._decided
            self._decided.add(decision.ticket_id)
            ticket = self._queued.pop(decision.ticket_id)
            match decision:
                case Start():
                    self._start(ticket)
                case Refuse():
                    self.refusals.append(decision)
                    self.refused_late += self.now > ticket.deadline
        assert len(self._queued) == self.core.queued
        assert len(self._running) <= self.core.in_flight

    def _start(self, ticket: Ticket) -> None:
        assert all(order_key(ticket) < order_key(t) for t in self._queued.values())
        assert self.now < ticket.deadline
        self._running[ticket.id] = ticket
        # The limit may fall below the number of running requests; then none starts.
        assert len(self._running) <= self.core.limit
        seconds = self.service_time(self.now, len(self._running))
        end, outcome = self.now + seconds, Outcome.DONE
        if end > ticket.deadline:
            end, outcome = ticket.deadline, Outcome.CANCELLED
        heapq.heappush(self._completions, (end, ticket.id, outcome))

    def goodput(self, begin: float, end: float) -> float:
        """Return the completed requests per second of an interval."""
        return _count_within(self.completed_at, begin, end) / (end - begin)

    def success_fraction(self, begin: float, end: float) -> float:
        """Return the completed fraction of the requests offered in an interval."""
        offered = _count_within(self.arrived_at, begin, end)
        return _count_within(self.completed_at, begin, end) / offered


def _count_within(times: list[float], begin: float, end: float) -> int:
    return sum(begin <= t < end for t in times)
