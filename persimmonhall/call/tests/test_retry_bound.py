"""Check the executions of call trees against the exact retry bound."""

import random

import pytest

from persimmonhall.call.retries import RetryLimiter
from persimmonhall.call.tests.call_tree import CallTreeModel, Fault

CALL_TREE_SHAPES = [
    # depth, fan-out, retries of the root, resends of each backend server
    (16, 1, 1, 0),
    (16, 1, 1, 1),
    (16, 1, 3, 2),
    (16, 1, 0, 3),
    (4, 3, 1, 1),
    (5, 3, 2, 2),
]


@pytest.mark.parametrize(("depth", "fan_out", "retries", "resends"), CALL_TREE_SHAPES)
async def test_failures_at_every_hop_stay_within_the_bound(
    depth, fan_out, retries, resends, autojump_clock
):
    model = CallTreeModel(
        depth, fan_out=fan_out, retries=retries, resends=resends, servers=retries + 1
    )
    answer = await model.send()
    assert answer.status >= 500
    assert model.max_runs_per_call() == 1 + retries
    assert (
        model.fault_free_runs
        <= model.runs.total()
        <= (1 + retries) * model.fault_free_runs
    )


async def test_failures_answered_with_a_client_error_stay_within_the_bound(
    autojump_clock,
):
    last = "/r" + "/0" * 15
    model = CallTreeModel(
        16,
        retries=1,
        resends=1,
        failed_call_status=424,
        select_fault=lambda path, node: (
            Fault.STATUS_500 if path == last else Fault.NONE
        ),
    )
    await model.send()
    assert model.max_runs_per_call() == 2


class _UnlimitedRetries(RetryLimiter):
    """Allow every resend of a backend server."""

    async def try_start(self, plan) -> bool:
        return True


class _UnlimitedResendModel(CallTreeModel):
    def _make_retry_limiter(self, tokens):
        return _UnlimitedRetries(tokens)


async def test_unlimited_resends_multiply_runs(autojump_clock):
    model = _UnlimitedResendModel(8, retries=0, resends=1)
    await model.send()
    assert model.max_runs_per_call() == 2**7


@pytest.mark.parametrize("seed", range(5))
async def test_random_faults_stay_within_the_bound(seed, autojump_clock):
    rng = random.Random(seed)
    faults = list(Fault)
    model = CallTreeModel(
        5, fan_out=2, retries=2, resends=2, select_fault=lambda p, n: rng.choice(faults)
    )
    for number in range(20):
        await model.send(f"/r{number}")
    assert 1 < model.max_runs_per_call() <= 3
    assert max(model.runs_by_root().values()) <= 3 * model.fault_free_runs


async def test_unreachable_ledger_grants_no_retry(autojump_clock):
    model = CallTreeModel(16, retries=3, resends=1, servers=4)
    model.are_links_cut = True
    await model.send()
    assert model.max_runs_per_call() == 4
    assert model.runs.total() == 4 * 16


async def test_resends_of_callers_share_the_first_grant(autojump_clock):
    model = CallTreeModel(16, retries=1, resends=1)
    for _ in range(6):
        await model.send()
    roots = model.runs_by_root()
    assert len(roots) == 6
    assert sorted(roots.values())[:5] == [16] * 5
    assert model.runs.total() <= (6 + 1) * 16


async def test_callers_resending_to_all_entries_cost_one_grant_each(autojump_clock):
    model = CallTreeModel(4, retries=1, resends=1)
    for node in model.entries:
        for _ in range(3):
            await model.send(node=node)
    sends = 3 * len(model.entries)
    assert model.runs.total() <= (sends + len(model.entries)) * 4


async def test_budget_bounds_retries_of_many_roots(autojump_clock):
    model = CallTreeModel(1, retries=5)
    for number in range(500):
        await model.send(f"/r{number}")
    retries = model.runs.total() - 500
    assert 0 < retries <= 10 + 0.1 * 500


@pytest.mark.parametrize(
    "fault", [Fault.OVERLOADED, Fault.STATUS_503, Fault.STATUS_500]
)
async def test_refusals_and_answers_are_not_retried(fault, autojump_clock):
    model = CallTreeModel(1, retries=5, select_fault=lambda path, node: fault)
    await model.send()
    assert len(model.calls) == 1


@pytest.mark.parametrize("fault", [Fault.LEAVING, Fault.CONNECT_FAILED])
async def test_other_server_answers_when_one_did_not_run_it(fault, autojump_clock):
    bad = "suva-cue-1"
    model = CallTreeModel(
        1, select_fault=lambda path, node: fault if node == bad else Fault.NONE
    )
    statuses = [(await model.send()).status for _ in range(20)]
    assert statuses == [200] * 20


async def test_leaving_servers_cost_no_token(autojump_clock):
    model = CallTreeModel(
        1,
        retries=0,
        select_fault=lambda p, n: Fault.LEAVING if n == "suva-cue-1" else Fault.NONE,
    )
    assert [(await model.send()).status for _ in range(20)] == [200] * 20


FORGED_CHAINS = {
    "unknown root": b"root=abc;entry=suva-cue-0;depth=0;worth=internal;remaining=9",
    "unknown entry": b"root=abc;entry=nobody;depth=0;worth=internal;remaining=9",
    "other entry": b"root=abc;entry=suva-cue-1;depth=0;worth=critical;remaining=9",
    "long life": b"root=a;entry=x;depth=0;worth=critical;remaining=86400000",
}


@pytest.mark.parametrize("name", FORGED_CHAINS)
async def test_forged_chain_gains_no_retry_worth_or_time(name, autojump_clock):
    model = CallTreeModel(1, retries=5)
    await model.send(chain=FORGED_CHAINS[name])
    [call] = model.calls
    assert call.worth.value in ("standard", "internal")
    assert call.remaining_ms <= 60_000


INVALID_CHAINS = {
    "depth": b"root=a;entry=x;depth=9999;worth=critical;remaining=1",
    "remaining": b"root=a;entry=x;depth=1;worth=critical;remaining=" + b"9" * 30,
    "negative": b"root=a;entry=x;depth=1;worth=critical;remaining=-1",
    "root": b"root=" + b"a" * 600 + b";entry=x;depth=1;worth=critical;remaining=1",
    "line": b"root=a b\tc;entry=x;depth=1;worth=critical;remaining=1",
}


@pytest.mark.parametrize("name", INVALID_CHAINS)
async def test_invalid_chain_is_refused(name, autojump_clock):
    model = CallTreeModel(1)
    answer = await model.send(chain=INVALID_CHAINS[name])
    assert answer.status == 400
    assert answer.header(b"persimmonhall-ran") == "no"
    assert model.calls == []
