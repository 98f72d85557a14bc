"""Check membership and active documents while real processes fail."""

import json

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.system import System
from persimmonhall.cli.node_client import document_status
from persimmonhall.http.messages import HttpRequest
from tests.builders import CUE_DOCUMENT
from tests.portal import open_running_system

scenarios("features/membership.feature")

FAILING_NODE = "suva-cue-2"
NODES = ("suva-cue-1", FAILING_NODE, "nadi-cue-1")
OTHER_NODES = ("suva-cue-1", "nadi-cue-1")
DOCUMENT = CUE_DOCUMENT.replace("publishing", "operators")
CALLS_PER_NODE = 10
ANNOUNCEMENT = {
    "service": "cue",
    "address": "127.0.0.1:9",
    "slots": 4,
    "connections": 4,
    "state": "ready",
}


async def _start(system: System) -> None:
    await system.start_control()
    await system.start_nodes({node: node.partition("-")[0] for node in NODES})
    await system.start_backends(NODES, "cue")
    await system.deploy_service("cue", DOCUMENT, 3)


@pytest.fixture
def running_system():
    with open_running_system(_start) as running_system:
        yield running_system


@given("three nodes in two zones, each with a server of cue")
def _(running_system):
    _, system = running_system
    assert tuple(system.nodes) == NODES


async def _act_on_process(system: System, kind: str, action: str) -> None:
    processes = system.nodes if kind == "node" else system.backends
    match action:
        case "killed":
            processes[FAILING_NODE].kill()
            await processes[FAILING_NODE].process.wait()
        case "frozen":
            processes[FAILING_NODE].suspend()
        case "thawed":
            processes[FAILING_NODE].resume()
        case "restarted" if kind == "node":
            await system.restart_node(FAILING_NODE)
        case "restarted":
            await system.restart_backend(FAILING_NODE)


@when(parsers.parse("the {kind:w} of suva-cue-2 is {what:w}"))
def _(running_system, kind, what):
    portal, system = running_system
    portal.run(_act_on_process, system, kind, what)


async def _count_servers(system: System, node: str) -> int:
    members = (await system.status(node))["members"]
    return sum((m["service"], m["state"]) == ("cue", "ready") for m in members)


@then(
    parsers.parse("within {seconds:d} s the other nodes know {count:d} servers of cue")
)
def _(running_system, seconds, count):
    portal, system = running_system

    async def wait() -> None:
        with trio.fail_after(seconds):
            for node in OTHER_NODES:
                while await _count_servers(system, node) != count:
                    await trio.sleep(0.1)

    portal.run(wait)


async def _call(system: System, node: str) -> None:
    request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))
    answer = (await system.send(node, request)).unwrap()
    assert (answer.status, len(answer.body)) == (200, 200), answer.body


@then("callers of the other nodes get complete answers")
def _(running_system):
    portal, system = running_system
    for node in OTHER_NODES:
        for _ in range(CALLS_PER_NODE):
            portal.run(_call, system, node)


@when("a node of reels starts at its address")
def _(running_system):
    portal, system = running_system
    old = system.nodes.pop(FAILING_NODE)
    system.backends.pop(FAILING_NODE).kill()

    async def start() -> None:
        frames = str(old.addresses["frames"])
        await system.start_node("suva-reels-1", "suva", frames=frames)
        await system.start_backend("suva-reels-1", "reels")

    portal.run(start)
    portal.run(system.wait_for_members, "reels", 1)


@then("the server of reels ran no request of cue")
def _(running_system):
    portal, system = running_system
    assert portal.run(system.counts, "suva-reels-1")["started"] == 0


@when("the control VM is stopped")
def _(running_system):
    portal, system = running_system
    assert portal.run(system.control["control-1"].terminate) == 0


@then("within 12 s suva-cue-2 has the documents of its peers")
def _(running_system):
    portal, system = running_system
    portal.run(system.wait_for_document, "cue", 1)


@then("a caller of suva-cue-2 gets a complete answer")
def _(running_system):
    portal, system = running_system
    portal.run(_call, system, FAILING_NODE)


@when("the document of cue changes")
def _(running_system):
    portal, system = running_system
    portal.run(system.put_document, "cue", DOCUMENT + "# changed\n", 1)


@then("within 5 s document status counts the change on 3 of 3 nodes")
def _(running_system):
    portal, system = running_system
    wanted = [{"service": "cue", "revision": 2, "nodes": 3}]

    async def wait() -> None:
        address = system.nodes[FAILING_NODE].addresses["local"]
        with trio.fail_after(5.0):
            while True:
                status = (await document_status(address)).unwrap()
                if status["documents"] == wanted and status["answered"] == 3:
                    return
                await trio.sleep(0.05)

    portal.run(wait)


@when(parsers.parse("the server of suva-cue-2 announces {key} as {value}"))
def _(running_system, context, key, value):
    portal, system = running_system
    body = json.dumps({**ANNOUNCEMENT, key: json.loads(value)}).encode()
    request = HttpRequest("POST", "/-/announce", (), body)
    context["answer"] = portal.run(system.send, FAILING_NODE, request, "local").unwrap()


@then(parsers.parse("the announcement is refused with an error that names {key}"))
def _(context, key):
    problem = json.loads(context["answer"].body)
    assert (context["answer"].status, key in problem["detail"]) == (400, True), problem
