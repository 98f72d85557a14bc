"""Decide which requests start, wait or are refused at one gate."""

from dataclasses import dataclass, field

from persimmonhall.admission.messages import Outcome, Refuse, Start, Ticket, Verdict
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.ids import TicketId

DEFAULT_SLOTS = 16
QUEUE_PER_SLOT = 1


@dataclass
class AdmissionCore:
    """Hold what runs and what waits; take the time as an argument."""

    slots: int = DEFAULT_SLOTS
    _running: dict[TicketId, float] = field(default_factory=dict)
    _waiting: list[Ticket] = field(default_factory=list)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that run."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self.slots

    def arrive(self, ticket: Ticket, now: float) -> list[Verdict]:
        """Take in a request."""
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda t: (t.worth.rank, t.root))
        verdicts = self._start_waiting(now)
        if len(self._waiting) > self.slots * QUEUE_PER_SLOT:
            dropped = self._waiting.pop()
            refusal = refuse(ErrorKind.OVERLOADED, "the queue is full")
            verdicts.append(Refuse(dropped.id, refusal))
        return verdicts

    def finish(self, ticket: TicketId, outcome: Outcome, now: float) -> list[Verdict]:
        """Record that a started request ended."""
        self._running.pop(ticket, None)
        return self._start_waiting(now)

    def abandon(self, ticket: TicketId, now: float) -> list[Verdict]:
        """Forget a request whose caller went away while it waited."""
        self._waiting = [t for t in self._waiting if t.id != ticket]
        return self._start_waiting(now)

    def _start_waiting(self, now: float) -> list[Verdict]:
        verdicts: list[Verdict] = []
        while self._waiting and len(self._running) < self.slots:
            ticket = self._waiting.pop(0)
            self._running[ticket.id] = now
            verdicts.append(Start(ticket.id))
        return verdicts
