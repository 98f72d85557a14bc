"""Check the reported state of a request whose process is killed or hangs."""

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.system import System, open_system
from persimmonhall.http.messages import HttpRequest
from tests.portal import open_portal

scenarios("features/ran.feature")

ENTRY = "suva-entry"
SERVERS = ("suva-cue-1", "suva-cue-2")
SERVICE_MS = 400.0
DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/segments"
method = "GET"
idempotent = true
deadline_ms = 1200

[[requests]]
path = "/segments"
method = "POST"
deadline_ms = 1200
"""


async def _start(system: System) -> None:
    await system.start_control()
    await system.start_nodes(dict.fromkeys((ENTRY, *SERVERS), "suva"))
    for node in SERVERS:
        log = str(system.folder / f"{node}.runs")
        await system.start_backend(node, "cue", service_ms=SERVICE_MS, run_log=log)
    await system.serve("cue", DOCUMENT, len(SERVERS))


@pytest.fixture
def running():
    with open_portal(open_system) as (portal, system):
        yield portal, system


@given("an entry node and two servers of cue that take 400 ms")
def _(running):
    portal, system = running
    portal.run(_start, system)


def _runs(system: System, node: str) -> int:
    return len((system.folder / f"{node}.runs").read_text().splitlines())


async def _send(system: System, context: dict, method: str) -> None:
    request = HttpRequest(method, "/segments", ((b"host", b"cue"),))
    start = trio.current_time()
    context["answer"] = (await system.send(ENTRY, request)).unwrap()
    context["took_ms"] = (trio.current_time() - start) * 1000


async def _end_under(
    system: System, context: dict, method: str, process: str, fate: str
) -> None:
    async def begun() -> bool:
        return any(_runs(system, node) for node in SERVERS)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, system, context, method)
        await system.wait_until(begun, "the request runs")
        [node] = [node for node in SERVERS if _runs(system, node)]
        ended = system.nodes if process == "node" else system.backends
        if fate == "killed":
            ended[node].kill()
        else:
            ended[node].freeze()


@when(parsers.parse("a caller sends {method} and the {process} that runs it is {fate}"))
def _(running, context, method, process, fate):
    portal, system = running
    portal.run(_end_under, system, context, method, process, fate)


@then(
    parsers.parse(
        "the answer has status {status:d}, ran {ran} and took at most {most:d} ms"
    )
)
def _(context, status, ran, most):
    answer = context["answer"]
    assert (answer.status, answer.header(b"persimmonhall-ran")) == (status, ran)
    assert context["took_ms"] <= most


@then(parsers.parse("the backend servers ran it {count:d} times"))
def _(running, count):
    _, system = running
    assert sum(_runs(system, node) for node in SERVERS) == count
