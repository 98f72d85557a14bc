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
    await system.deploy_service("cue", DOCUMENT, len(SERVERS))


@pytest.fixture
def running_system():
    with open_portal(open_system) as (portal, system):
        yield portal, system


@given("an entry node and two servers of cue that take 400 ms")
def _(running_system):
    portal, system = running_system
    portal.run(_start, system)


def _count_runs(system: System, node: str) -> int:
    return len((system.folder / f"{node}.runs").read_text().splitlines())


async def _send(system: System, context: dict, method: str) -> None:
    request = HttpRequest(method, "/segments", ((b"host", b"cue"),))
    start = trio.current_time()
    context["answer"] = (await system.send(ENTRY, request)).unwrap()
    context["took_ms"] = (trio.current_time() - start) * 1000


async def _interrupt_run(
    system: System, context: dict, method: str, process: str, fate: str
) -> None:
    async def has_started() -> bool:
        return any(_count_runs(system, node) for node in SERVERS)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, system, context, method)
        await system.wait_until(has_started, "the request runs")
        [node] = [node for node in SERVERS if _count_runs(system, node)]
        processes = system.nodes if process == "node" else system.backends
        if fate == "killed":
            processes[node].kill()
        else:
            processes[node].suspend()


@when(parsers.parse("a caller sends {method} and the {process} that runs it is {fate}"))
def _(running_system, context, method, process, fate):
    portal, system = running_system
    portal.run(_interrupt_run, system, context, method, process, fate)


@then(
    parsers.parse(
        "the answer has status {status:d}, ran {ran} and took at most {max_ms:d} ms"
    )
)
def _(context, status, ran, max_ms):
    answer = context["answer"]
    assert (answer.status, answer.header(b"persimmonhall-ran")) == (status, ran)
    assert context["took_ms"] <= max_ms


@then(parsers.parse("the backend servers ran it {count:d} times"))
def _(running_system, count):
    _, system = running_system
    assert sum(_count_runs(system, node) for node in SERVERS) == count
