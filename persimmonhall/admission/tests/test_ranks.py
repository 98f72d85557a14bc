"""Check the rate limit of critical requests and the self-limit of a node."""

import pytest

from persimmonhall.admission.critical_budget import CriticalBudget, server_share
from persimmonhall.admission.self_limit import LAG_BOUND_S, SelfLimit
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
def test_critical_requests_beyond_the_share_are_demoted(name):
    per_second, offered, least = RATES[name]
    budget = CriticalBudget()
    ranks = [budget.rank(Worth.CRITICAL, per_second, n / offered) for n in range(200)]
    demoted = ranks.count(Worth.CUSTOMER)
    assert demoted + ranks.count(Worth.CRITICAL) == 200
    assert demoted == 0 if least == 0 else least - 10 <= demoted <= least + 10


def test_other_worths_are_never_demoted():
    budget = CriticalBudget()
    for worth in (Worth.CUSTOMER, Worth.STANDARD, Worth.INTERNAL):
        assert {budget.rank(worth, 0.1, 0.0) for _ in range(50)} == {worth}


def test_server_share_has_slack_and_survives_an_unknown_count():
    assert server_share(10.0, 5) == 4.0
    assert server_share(10.0, 0) == 20.0


def share_refused(limit: SelfLimit, worth: Worth) -> float:
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


@pytest.mark.parametrize("late_probes", LEVELS)
def test_lag_refuses_the_lowest_worth_first(late_probes):
    limit = SelfLimit()
    for _ in range(late_probes):
        limit.observe(LAG_BOUND_S * 2)
    shares = [share_refused(limit, worth) for worth in reversed(Worth)]
    assert shares == pytest.approx(LEVELS[late_probes], abs=0.05)


def test_self_limit_ends_with_the_lag():
    limit = SelfLimit()
    for _ in range(100):
        limit.observe(1.0)
    for _ in range(100):
        limit.observe(0.0)
    assert limit.level == 0.0
