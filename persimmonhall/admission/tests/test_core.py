"""Check which requests a gate starts, queues or refuses."""

import pytest

from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.messages import Outcome, Refuse, Start
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, Ran
from tests.builders import make_ticket


def busy_core(service_s: float = 1.0, slots: int = 1) -> AdmissionCore:
    """Build a core with a known service time and all slots in use."""
    core = AdmissionCore(slots=slots)
    assert core.add_request(make_ticket(1, deadline=1e6), -service_s) == [Start(1)]
    core.finish(1, Outcome.DONE, 0.0)
    for number in range(slots):
        core.add_request(make_ticket(100 + number, deadline=1e6), 0.0)
    return core


def test_highest_worth_starts_first_and_lowest_is_refused():
    core = AdmissionCore(slots=1, max_queued=1)
    assert core.add_request(make_ticket(1), 0.0) == [Start(1)]
    assert core.add_request(make_ticket(2, worth=Worth.INTERNAL), 0.0) == []
    [decision] = core.add_request(make_ticket(3, worth=Worth.CRITICAL), 0.0)
    assert isinstance(decision, Refuse)
    assert decision.ticket_id == 2
    assert core.finish(1, Outcome.DONE, 1.0) == [Start(3)]


FIRST_OF_TWO = {
    "higher worth": ({"worth": Worth.CUSTOMER}, {"worth": Worth.STANDARD}),
    "nested call": ({"depth": 3}, {"depth": 0}),
    "worth before nested call": ({"worth": Worth.CUSTOMER}, {"depth": 3}),
    "order of roots, second one deeper": (
        {"root": "b", "depth": 1},
        {"root": "a", "depth": 2},
    ),
    "order of roots, first one deeper": (
        {"root": "b", "depth": 2},
        {"root": "a", "depth": 1},
    ),
}


@pytest.mark.parametrize("name", FIRST_OF_TWO)
@pytest.mark.parametrize("late_first", [False, True])
def test_order_of_two_queued_requests(name, late_first):
    first, second = FIRST_OF_TWO[name]
    tickets = [make_ticket(2, **first), make_ticket(3, **second)]
    core = AdmissionCore(slots=1)
    core.add_request(make_ticket(1), 0.0)
    for ticket in reversed(tickets) if late_first else tickets:
        assert core.add_request(ticket, 0.0) == []
    assert core.finish(1, Outcome.DONE, 0.01) == [Start(2)]
    assert core.finish(2, Outcome.DONE, 0.02) == [Start(3)]


ARRIVALS = {
    "no time left": (0.0, ErrorKind.DEADLINE_EXCEEDED),
    "less than the service time left": (0.9, ErrorKind.DEADLINE_EXCEEDED),
    "no time to wait for a slot": (1.2, ErrorKind.OVERLOADED),
    "time to wait": (4.0, None),
}


@pytest.mark.parametrize("name", ARRIVALS)
def test_request_that_cannot_finish_in_time_is_refused_on_arrival(name):
    deadline, kind = ARRIVALS[name]
    core = busy_core(service_s=1.0)
    decisions = core.add_request(make_ticket(2, deadline=deadline), 0.0)
    if kind is None:
        assert decisions == []
        return
    [decision] = decisions
    assert decision.refusal.kind is kind
    assert decision.refusal.ran is Ran.NO
    assert core.queued == 0


def test_queued_request_is_refused_once_it_cannot_start_in_time():
    core = busy_core(service_s=1.0)
    ticket = make_ticket(2, worth=Worth.CRITICAL, deadline=2.0)
    assert core.add_request(ticket, 0.0) == []
    assert core.next_wakeup == pytest.approx(1.0)
    assert core.tick(0.9) == []
    [decision] = core.tick(1.0)
    assert decision.ticket_id == 2
    assert core.next_wakeup is None


def test_higher_worth_displaces_request_that_can_no_longer_start_in_time():
    core = busy_core(service_s=1.0)
    assert core.add_request(make_ticket(2, deadline=2.8), 0.0) == []
    critical = make_ticket(3, worth=Worth.CRITICAL, deadline=10.0)
    [decision] = core.add_request(critical, 0.0)
    assert (decision.ticket_id, decision.refusal.kind) == (2, ErrorKind.OVERLOADED)


OUTCOMES = {
    "cancelled before its expected end": (Outcome.CANCELLED, 0.25, 1.0),
    "cancelled after its expected end": (Outcome.CANCELLED, 5.0, 5.25),
    "never sent": (Outcome.NOT_RUN, 0.25, None),
    "completed": (Outcome.DONE, 0.25, None),
}


@pytest.mark.parametrize("name", OUTCOMES)
def test_slot_of_a_cancelled_request_stays_in_use_for_a_bounded_time(name):
    outcome, ended, free = OUTCOMES[name]
    core = busy_core(service_s=1.0)
    assert core.finish(100, outcome, ended) == []
    assert core.next_wakeup == (None if free is None else pytest.approx(free))
    assert core.in_flight == (0 if free is None else 1)
    if free is not None:
        core.add_request(make_ticket(2, deadline=100.0), ended)
        assert core.tick(free) == [Start(2)]


def test_retry_after_grows_with_the_shortage_and_stays_bounded():
    core = AdmissionCore(slots=1, max_queued=0)
    core.add_request(make_ticket(1), 0.0)
    waits = []
    for number in range(20):
        [decision] = core.add_request(make_ticket(2 + number, deadline=1e6), number)
        waits.append(decision.refusal.retry_after_s)
    assert waits == sorted(waits)
    assert (waits[0], waits[-1]) == (0.5, 5.0)


def test_an_abandoned_request_never_starts():
    core = busy_core()
    core.add_request(make_ticket(2, deadline=100.0), 0.0)
    assert core.abandon(2, 0.1) == []
    assert core.finish(100, Outcome.DONE, 1.0) == []
    assert core.next_wakeup is None
