"""Check the rate limit of critical requests and the self-limit of a node."""

import pytest

from persimmonhall.admission.critical_budget import (
    CriticalBudget,
    critical_rate_per_server,
)
from persimmonhall.admission.self_limit import MAX_EVENT_LOOP_DELAY_S, SelfLimit
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.ids import RootId

ROOTS = [RootId(f"root-{number}") for number in range(1000)]

RATES = {
    "within the rate": (2.0, 2.0, 0),
    "twice the rate": (2.0, 4.0, 90),
    "no rate declared": (0.0, 100.0, 0),
}


@pytest.mark.parametrize("name", RATES)
def test_critical_requests_beyond_the_declared_rate_are_demoted(name):
    per_second, offered, expected = RATES[name]
    budget = CriticalBudget()
    ranks = [
        budget.effective_worth(Worth.CRITICAL, per_second, n / offered)
        for n in range(200)
    ]
    demoted = ranks.count(Worth.CUSTOMER)
    assert demoted + ranks.count(Worth.CRITICAL) == 200
    assert demoted == 0 if expected == 0 else expected - 10 <= demoted <= expected + 10


def test_other_worths_are_never_demoted():
    budget = CriticalBudget()
    for worth in (Worth.CUSTOMER, Worth.STANDARD, Worth.INTERNAL):
        assert {budget.effective_worth(worth, 0.1, 0.0) for _ in range(50)} == {worth}


def test_rate_per_server_has_slack_and_allows_an_unknown_server_count():
    assert critical_rate_per_server(10.0, 5) == 4.0
    assert critical_rate_per_server(10.0, 0) == 20.0


def refused_fraction(limit: SelfLimit, worth: Worth) -> float:
    refusals = [limit.refusal(worth, root) for root in ROOTS]
    kinds = {(r.kind, r.ran) for r in refusals if r is not None}
    assert kinds <= {(ErrorKind.NODE_OVERLOADED, Ran.NO)}
    return sum(r is not None for r in refusals) / len(refusals)


LEVELS = {
    0: (0.0, 0.0, 0.0, 0.0),
    2: (0.4, 0.0, 0.0, 0.0),
    5: (1.0, 0.0, 0.0, 0.0),
    8: (1.0, 0.6, 0.0, 0.0),
    100: (1.0, 1.0, 1.0, 0.5),
}


@pytest.mark.parametrize("delayed_measurements", LEVELS)
def test_event_loop_delay_refuses_the_lowest_worth_first(delayed_measurements):
    limit = SelfLimit()
    for _ in range(delayed_measurements):
        limit.record_delay(MAX_EVENT_LOOP_DELAY_S * 2)
    fractions = [refused_fraction(limit, worth) for worth in reversed(Worth)]
    assert fractions == pytest.approx(LEVELS[delayed_measurements], abs=0.05)


def test_self_limit_ends_with_the_delay():
    limit = SelfLimit()
    for _ in range(100):
        limit.record_delay(1.0)
    for _ in range(100):
        limit.record_delay(0.0)
    assert limit.overload_level == 0.0
