"""Time routing and retry decisions at several sizes."""

import random
import statistics
from time import perf_counter_ns

from harness.micro_row import Row
from persimmonhall.ids import NodeName, RootId, ServiceName, ZoneName
from persimmonhall.membership.messages import Member, MemberState
from persimmonhall.membership.table import MemberTable
from persimmonhall.routing.failed_calls import FailedCalls, make_call_key
from persimmonhall.routing.load import Load
from persimmonhall.routing.node_retry_budget import NodeRetryBudget
from persimmonhall.routing.retry_ledger import RetryLedger
from persimmonhall.routing.router import Observation, Router
from persimmonhall.routing.server_view import CallOutcome

SIZES = (5, 50, 1000)
TARGET_NODES = 1000
TARGET_SERVICES = 190
ZONES = ("suva", "nadi", "lautoka", "labasa")
ROUNDS = 20_000
WARM_UP = 2000
IN_FLIGHT = 8
CALL_INTERVAL_S = 1 / 120
LATENCY_S = 0.02
LATENCY_SPREAD_S = 0.01
SEED = 1
PATH = "/segments/*"
BODY = b"x" * 200


def _make_member(number: int, services: int) -> Member:
    return Member(
        node=NodeName(f"node-{number}"),
        zone=ZoneName(ZONES[number // services % len(ZONES)]),
        region="viti",
        frames="127.0.0.1:7000",
        incarnation=1,
        version=1,
        service=ServiceName(f"service-{number % services}"),
        slots=16,
        state=MemberState.READY,
    )


def _make_table(nodes: int, services: int) -> MemberTable:
    members = [_make_member(number, services) for number in range(nodes)]
    table = MemberTable(members[0])
    for member in members[1:]:
        table.put(member)
    return table


def _make_row(name: str, size: int, nanoseconds: list[int]) -> Row:
    cuts = statistics.quantiles(nanoseconds[WARM_UP:], n=100)
    return Row(name, size, cuts[49] / 1000, cuts[98] / 1000)


def _measure_choice(
    name: str, nodes: int, services: int, lost_fraction: float = 0.0
) -> Row:
    rng = random.Random(SEED)
    router = Router(_make_table(nodes, services), ZoneName(ZONES[0]), rng)
    open_calls: list[tuple[ServiceName, NodeName]] = []
    times: list[int] = []
    now = 0.0
    for number in range(ROUNDS + WARM_UP):
        now += CALL_INTERVAL_S
        service = ServiceName(f"service-{number % services}")
        outcome = CallOutcome.LOST if rng.random() < lost_fraction else CallOutcome.DONE
        latency_s = LATENCY_S + LATENCY_SPREAD_S * rng.random()
        observation = Observation(outcome, PATH, latency_s, Load(4, 0, 16, 0))
        ended = open_calls.pop(0) if len(open_calls) == IN_FLIGHT else None
        begin = perf_counter_ns()
        choice = router.choose(service, (), now)
        if ended is not None:
            router.observe(*ended, observation, now)
        times.append(perf_counter_ns() - begin)
        open_calls.append((service, choice.member.node))
    return _make_row(name, nodes, times)


def _measure_retry(roots: int) -> Row:
    """Time the retry steps of a failed root: ledger, budget, token, failed call."""
    ledger = RetryLedger()
    budget = NodeRetryBudget(0.0)
    failed = FailedCalls()
    for number in range(roots):
        ledger.open(RootId(f"open-{number}"), 1, 1e9)
    times: list[int] = []
    now = 0.0
    for number in range(ROUNDS + WARM_UP):
        now += CALL_INTERVAL_S
        root = RootId(f"root-{number}")
        begin = perf_counter_ns()
        key = make_call_key("callers", ServiceName("cue"), "GET", f"/{number}", BODY)
        if not failed.contains(key, now):
            ledger.open(root, 1, now + 2)
        budget.earn(now)
        if budget.spend() and not ledger.spend(root, now):
            budget.refund()
        ledger.close(root)
        failed.record(key, now + 10, now)
        times.append(perf_counter_ns() - begin)
    return _make_row("retry", roots, times)


def measure_routing() -> list[Row]:
    """Time choosing a server with recording its outcome, and deciding on a retry."""
    rows = [_measure_choice("routing, one service", size, 1) for size in SIZES]
    rows += [
        _measure_choice("routing, 5% lost", size, 1, lost_fraction=0.05)
        for size in SIZES
    ]
    rows.append(_measure_choice("routing, 190 services", TARGET_NODES, TARGET_SERVICES))
    return rows + [_measure_retry(size) for size in SIZES]
