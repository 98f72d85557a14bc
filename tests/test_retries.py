"""Check with real processes that retries do not multiply along a call chain."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from harness.system import System
from persimmonhall.http.messages import HttpRequest
from tests.portal import open_running

scenarios("features/retries.feature")

DEPTH = 5
LAST = DEPTH - 1
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
FORGED = "root=abc;entry={entry};depth=0;worth=critical;remaining=5000"


def _node(level: int) -> str:
    return f"suva-s{level}-1"


async def _start(system: System) -> None:
    await system.start_control()
    await system.start_nodes({_node(level): "suva" for level in range(DEPTH)})
    for level in range(DEPTH):
        calls = [f"s{level + 1}/retries1/hop"] if level < LAST else []
        more = {"resends": 1, "calls": calls, "service_ms": 1.0}
        await system.start_backend(_node(level), f"s{level}", **more)
    for level in range(DEPTH):
        text = DOCUMENT.format(service=f"s{level}", rules=RULES)
        await system.put_document(f"s{level}", text)
    for level in range(DEPTH):
        await system.wait_for_document(f"s{level}", 1)
        await system.wait_for_members(f"s{level}", 1)
    await system.behave(_node(LAST), fail_status=500)


@pytest.fixture(scope="module")
def running():
    with open_running(_start) as running:
        yield running


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
    answer = await system.send(_node(0), request)
    context["answers"].append(answer.unwrap())


async def _started(system: System) -> list[int]:
    return [(await system.counts(node))["started"] for node in system.backends]


@given("a chain of 5 services whose backend servers resend each failed call once")
def _(running, context):
    portal, system = running
    context["before"] = portal.run(_started, system)


@when(parsers.parse("a caller sends a request with {retries} retries {times:d} times"))
def _(running, context, retries, times):
    portal, system = running
    for number in range(times):
        path = f"/retries{retries}/{number}"
        portal.run(_send, system, context, "s0", path)


@when("a caller sends a request with 3 retries and its own chain header")
def _(running, context):
    portal, system = running
    chain = FORGED.format(entry=_node(0))
    portal.run(_send, system, context, "s0", "/retries3/forged", chain)


def _runs(running, context) -> list[int]:
    portal, system = running
    after = portal.run(_started, system)
    return [a - b for a, b in zip(after, context["before"], strict=False)]


@then(
    parsers.parse("the deepest backend server ran each request at most {bound:d} times")
)
def _(running, context, bound):
    sent = len(context["answers"])
    assert sent <= _runs(running, context)[LAST] <= sent * bound


@then("no other backend server ran a request more often")
def _(running, context):
    runs = _runs(running, context)
    assert max(runs) == runs[LAST]


@then("every answer says that the request ran")
def _(context):
    for answer in context["answers"]:
        assert answer.status == 502
        assert answer.header(b"persimmonhall-ran") == "yes"


async def _start_second(system: System) -> None:
    node = "suva-s4-2"
    if node not in system.nodes:
        await system.start_node(node, "suva")
        await system.start_backend(node, f"s{LAST}", service_ms=1.0)
        await system.wait_for_members(f"s{LAST}", 2)
    await system.behave(_node(LAST), fail_status=0)


@given("a second backend server of the deepest service")
def _(running):
    portal, system = running
    portal.run(_start_second, system)


@when("the second backend server answers every call with 500")
def _(running):
    portal, system = running
    portal.run(lambda: system.behave("suva-s4-2", fail_status=500))


@when(parsers.parse("a caller sends {count:d} requests to the deepest service"))
def _(running, context, count):
    portal, system = running
    for _number in range(count):
        portal.run(_send, system, context, f"s{LAST}", "/retries0")


@then(parsers.parse("the second backend server received fewer than {most:d} of them"))
def _(running, context, most):
    portal, system = running
    assert portal.run(system.counts, "suva-s4-2")["started"] < most
