"""Check graceful shutdown with real processes under load."""

import json
from functools import partial

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.processes import RunningProcess
from harness.system import System
from persimmonhall.http.messages import HttpRequest
from tests.builders import CUE_DOCUMENT
from tests.load_sender import LoadSender
from tests.portal import open_running_system

scenarios("features/graceful_shutdown.feature")

NODES = {
    "suva-cue-1": "cue",
    "nadi-cue-1": "cue",
    "suva-reels-1": "reels",
    "nadi-reels-1": "reels",
}
CALLED_PATHS = {"cue": [], "reels": ["cue/segments/7"]}
LOAD_BEFORE_S = 0.5
SERVICE_MS = 60.0
SLOTS = 40


async def _start(system: System) -> None:
    await system.start_control()
    zones = {node: node.partition("-")[0] for node in NODES}
    await system.start_nodes(zones, drain_seconds=8.0)
    for service, calls in CALLED_PATHS.items():
        nodes = [node for node in NODES if NODES[node] == service]
        options = {"service_ms": SERVICE_MS, "slots": SLOTS, "calls": calls}
        await system.start_backends(nodes, service, **options)
        text = CUE_DOCUMENT.replace("publishing", "operators")
        await system.put_document(service, text.replace('"cue"', f'"{service}"'))
        await system.wait_for_document(service, 1)
        await system.wait_for_members(service, 2)


@pytest.fixture
def running_system():
    with open_running_system(_start) as running_system:
        yield running_system


@given("four nodes in two zones with servers of cue and of reels, which calls cue")
def _(running_system):
    _, system = running_system
    assert set(system.nodes) == set(NODES)


@given("callers that send requests continuously")
def _(running_system, context):
    portal, system = running_system
    sender = context["sender"] = LoadSender(system.nodes)
    portal.run(system.start_task, sender.run)
    portal.run(trio.sleep, LOAD_BEFORE_S)


async def _drain(system: System, node: str) -> int:
    running = system.nodes[node]
    running.is_stopping = True
    await system.send(node, HttpRequest("POST", "/-/drain", ()), "local")
    return await running.process.wait()


async def _stop_all(system: System, names: list[str], means: str) -> list[int]:
    statuses: list[int] = []

    async def stop(running: RunningProcess) -> None:
        if means == "drain":
            statuses.append(await _drain(system, running.name))
        else:
            statuses.append(await running.terminate())

    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            for name in names:
                running = system.nodes.get(name) or system.control["control-1"]
                nursery.start_soon(stop, running)
    return statuses


@when(parsers.parse("{stopped} is stopped by {means}"))
def _(running_system, context, stopped, means):
    portal, system = running_system
    names = stopped.split(" & ")
    context["statuses"] = portal.run(_stop_all, system, names, means)


@then("it ends with status 0 within 10 s")
def _(context):
    assert set(context["statuses"]) == {0}


@when("nodes restart 20 times in a row, two at once")
def _(running_system):
    portal, system = running_system
    pairs = (["suva-cue-1", "nadi-reels-1"], ["nadi-cue-1", "suva-reels-1"])
    for number in range(10):
        pair = pairs[number % 2]
        assert portal.run(_stop_all, system, pair, "SIGTERM") == [0, 0]
        for node in pair:
            portal.run(system.restart_node, node)
        for service in ("cue", "reels"):
            portal.run(system.wait_for_members, service, 2)


@then("no request was interrupted")
def _(running_system, context):
    portal, _ = running_system
    sender = context["sender"]
    portal.run(sender.stop)
    assert sender.interrupted == {}, sender.outcomes
    assert sender.outcomes["complete"] > 100


@given("suva-cue-1 is the only server of cue")
def _(running_system):
    portal, system = running_system
    portal.run(_stop_all, system, ["nadi-cue-1"], "SIGTERM")
    del system.nodes["nadi-cue-1"]
    portal.run(system.wait_for_members, "cue", 1)
    portal.run(partial(system.set_behaviour, service_ms=1500.0), "suva-cue-1")


@when("suva-cue-1 drains while a request runs there")
def _(running_system, context):
    portal, system = running_system
    request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))

    async def send_first() -> None:
        context["first"] = await system.send("nadi-reels-1", request)

    async def runs() -> bool:
        return (await system.counts("suva-cue-1"))["running"] > 0

    portal.run(system.start_task, send_first)
    portal.run(system.wait_until, runs, "a request runs")
    system.nodes["suva-cue-1"].is_stopping = True
    drain = HttpRequest("POST", "/-/drain", ())
    portal.run(system.send, "suva-cue-1", drain, "local")
    answer = portal.run(system.send, "nadi-reels-1", request).unwrap()
    context["second"] = json.loads(answer.body)


@then("a new request is refused as leaving or noServer and not run")
def _(context):
    problem = context["second"]
    assert problem["type"].rpartition(":")[2] in ("leaving", "noServer")
    assert problem["ran"] == "no"


@then("the request that was already running gets its complete answer")
def _(running_system, context):
    portal, system = running_system

    async def answered() -> bool:
        return "first" in context

    portal.run(system.wait_until, answered, "the first answer")
    answer = context["first"].unwrap()
    assert (answer.status, len(answer.body)) == (200, 200)
