"""Check with real processes that retries do not multiply along a call chain."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from harness.system import System
from persimmonhall.http.messages import HttpRequest
from tests.portal import open_running_system

scenarios("features/retries.feature")

DEPTH = 5
LAST_LEVEL = DEPTH - 1
DOCUMENT = """\
service = "{service}"
team = "operators"
{rules}
"""
RULE = """
[[requests]]
path = "/retries{retries}*"
idempotent = true
retries = {retries}
"""
RULES = "".join(RULE.format(retries=n) for n in (0, 1, 3))
FORGED_CHAIN = "root=abc;entry={entry};depth=0;worth=critical;remaining=5000"


def _node_name(level: int) -> str:
    return f"suva-s{level}-1"


async def _start(system: System) -> None:
    await system.start_control()
    await system.start_nodes({_node_name(level): "suva" for level in range(DEPTH)})
    for level in range(DEPTH):
        calls = [f"s{level + 1}/retries1/hop"] if level < LAST_LEVEL else []
        options = {"resends": 1, "calls": calls, "service_ms": 1.0}
        await system.start_backend(_node_name(level), f"s{level}", **options)
    for level in range(DEPTH):
        text = DOCUMENT.format(service=f"s{level}", rules=RULES)
        await system.put_document(f"s{level}", text)
    for level in range(DEPTH):
        await system.wait_for_document(f"s{level}", 1)
        await system.wait_for_members(f"s{level}", 1)
    await system.set_behaviour(_node_name(LAST_LEVEL), fail_status=500)


@pytest.fixture(scope="module")
def running_system():
    with open_running_system(_start) as running_system:
        yield running_system


@pytest.fixture
def context() -> dict:
    return {"answers": []}


async def _send(
    system: System, context: dict, service: str, path: str, chain=""
) -> None:
    headers = [(b"persimmonhall-service", service.encode())]
    if chain:
        headers.append((b"persimmonhall-chain", chain.encode()))
    request = HttpRequest("GET", path, tuple(headers))
    answer = await system.send(_node_name(0), request)
    context["answers"].append(answer.unwrap())


async def _started_counts(system: System) -> list[int]:
    return [(await system.counts(node))["started"] for node in system.backends]


@given("a chain of 5 services whose backend servers resend each failed call once")
def _(running_system, context):
    portal, system = running_system
    context["before"] = portal.run(_started_counts, system)


@when(parsers.parse("a caller sends a request with {retries} retries {times:d} times"))
def _(running_system, context, retries, times):
    portal, system = running_system
    for number in range(times):
        path = f"/retries{retries}/{number}"
        portal.run(_send, system, context, "s0", path)


@when("a caller sends a request with 3 retries and its own chain header")
def _(running_system, context):
    portal, system = running_system
    chain = FORGED_CHAIN.format(entry=_node_name(0))
    portal.run(_send, system, context, "s0", "/retries3/forged", chain)


def _run_counts(running_system, context) -> list[int]:
    portal, system = running_system
    after = portal.run(_started_counts, system)
    return [a - b for a, b in zip(after, context["before"], strict=False)]


@then(
    parsers.parse("the deepest backend server ran each request at most {bound:d} times")
)
def _(running_system, context, bound):
    sent = len(context["answers"])
    assert sent <= _run_counts(running_system, context)[LAST_LEVEL] <= sent * bound


@then("no other backend server ran a request more often")
def _(running_system, context):
    runs = _run_counts(running_system, context)
    assert max(runs) == runs[LAST_LEVEL]


@then("every answer says that the request ran")
def _(context):
    for answer in context["answers"]:
        assert answer.status == 502
        assert answer.header(b"persimmonhall-ran") == "yes"


async def _start_second_backend(system: System) -> None:
    node = "suva-s4-2"
    if node not in system.nodes:
        await system.start_node(node, "suva")
        await system.start_backend(node, f"s{LAST_LEVEL}", service_ms=1.0)
        await system.wait_for_members(f"s{LAST_LEVEL}", 2)
    await system.set_behaviour(_node_name(LAST_LEVEL), fail_status=0)


@given("a second backend server of the deepest service")
def _(running_system):
    portal, system = running_system
    portal.run(_start_second_backend, system)


@when("the second backend server answers every call with 500")
def _(running_system):
    portal, system = running_system
    portal.run(lambda: system.set_behaviour("suva-s4-2", fail_status=500))


@when(parsers.parse("a caller sends {count:d} requests to the deepest service"))
def _(running_system, context, count):
    portal, system = running_system
    for _number in range(count):
        portal.run(_send, system, context, f"s{LAST_LEVEL}", "/retries0")


@then(
    parsers.parse("the second backend server received fewer than {max_calls:d} of them")
)
def _(running_system, context, max_calls):
    portal, system = running_system
    assert portal.run(system.counts, "suva-s4-2")["started"] < max_calls
