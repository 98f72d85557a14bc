"""Check with real processes that a keyed request runs at most once around faults."""

import itertools

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.outcome import answer_outcome
from harness.system import System
from persimmonhall.http.messages import HttpRequest
from tests.keyed_request import (
    ENTRY,
    FINAL_OUTCOMES,
    GATE,
    GATES,
    NODES,
    RESEND_COUNT,
    KeyedRequest,
)
from tests.portal import open_running_system

scenarios("features/at_most_once.feature")

GATE_PAUSE_S = 1.6
FAST_SERVICE_MS, SLOW_SERVICE_MS = 20, 700
DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/publish/*"
method = "POST"
worth = "critical"
deadline_ms = 1500

[[requests]]
path = "/segments/*"
idempotent = true
"""

_key_numbers = itertools.count(1)


async def _set_service_time(system: System, service_ms: float) -> None:
    for node in GATES:
        await system.set_behaviour(node, service_ms=service_ms)


async def _burst(keyed_request: KeyedRequest) -> None:
    await keyed_request.resend_to_all_nodes()


async def _lost_answers(keyed_request: KeyedRequest) -> None:
    await _set_service_time(keyed_request.system, SLOW_SERVICE_MS)
    for node in NODES:
        with trio.move_on_after(SLOW_SERVICE_MS / 2000):
            await keyed_request.send(node)
    await keyed_request.resend_to_all_nodes()


async def _start_slow_run(
    keyed_request: KeyedRequest, nursery: trio.Nursery, entry: str = ENTRY
) -> str:
    await _set_service_time(keyed_request.system, SLOW_SERVICE_MS)
    nursery.start_soon(keyed_request.send, entry)
    return await keyed_request.wait_for_run()


async def _killed_gate(keyed_request: KeyedRequest) -> None:
    async with trio.open_nursery() as nursery:
        gate = await _start_slow_run(keyed_request, nursery)
        keyed_request.system.nodes[gate].kill()
    for _ in range(RESEND_COUNT):
        for node in set(NODES) - {gate}:
            await keyed_request.send(node)
    await keyed_request.system.restart_node(gate)
    await keyed_request.system.wait_for_members("cue", len(GATES))


async def _killed_entry(keyed_request: KeyedRequest) -> None:
    async with trio.open_nursery() as nursery:
        gate = await _start_slow_run(keyed_request, nursery)
        keyed_request.system.nodes[ENTRY].kill()
    await keyed_request.send(gate)
    await keyed_request.system.restart_node(ENTRY)
    await keyed_request.system.wait_for_members("cue", len(GATES))


async def _restarted_control(keyed_request: KeyedRequest) -> None:
    await keyed_request.send(ENTRY)
    keyed_request.system.control["control-1"].kill()
    await keyed_request.resend_to_all_nodes()
    await keyed_request.system.restart_control("control-1")


async def _control_lost_during_run(keyed_request: KeyedRequest) -> None:
    async with trio.open_nursery() as nursery:
        await _start_slow_run(keyed_request, nursery)
        keyed_request.system.control["control-1"].kill()
    await keyed_request.resend_to_all_nodes()
    await keyed_request.system.restart_control("control-1")


async def _frozen_control(keyed_request: KeyedRequest) -> None:
    keyed_request.system.control["control-1"].suspend()
    await keyed_request.send_to_all_nodes()
    assert "200" not in keyed_request.answers
    assert sum(keyed_request.count_runs().values()) == 0
    keyed_request.system.control["control-1"].resume()


async def _frozen_gate(keyed_request: KeyedRequest) -> None:
    keyed_request.system.nodes[GATE].suspend()
    await keyed_request.send(ENTRY)
    keyed_request.system.nodes[GATE].resume()


async def _frozen_gate_during_run(keyed_request: KeyedRequest) -> None:
    async with trio.open_nursery() as nursery:
        gate = await _start_slow_run(keyed_request, nursery, ENTRY)
        keyed_request.system.nodes[gate].suspend()
        await trio.sleep(GATE_PAUSE_S)
        keyed_request.system.nodes[gate].resume()


async def _killed_backend(keyed_request: KeyedRequest) -> None:
    async with trio.open_nursery() as nursery:
        gate = await _start_slow_run(keyed_request, nursery)
        keyed_request.system.backends[gate].kill()
    await keyed_request.resend_to_all_nodes()
    await keyed_request.system.restart_backend(gate)
    await keyed_request.system.wait_for_members("cue", len(GATES))


async def _refusing_backend(keyed_request: KeyedRequest) -> None:
    for node in GATES:
        keyed_request.system.backends[node].kill()
        await keyed_request.system.backends[node].process.wait()
    await keyed_request.send(ENTRY)
    await keyed_request.send(ENTRY)
    assert sum(keyed_request.count_runs().values()) == 0
    for node in GATES:
        await keyed_request.system.restart_backend(node)
    await keyed_request.system.wait_for_members("cue", len(GATES))


FAULTS = {
    "a burst at every node": _burst,
    "lost answers": _lost_answers,
    "a killed gate": _killed_gate,
    "a killed gate that came back": _killed_gate,
    "a killed entry": _killed_entry,
    "a restart of control": _restarted_control,
    "control lost during the run": _control_lost_during_run,
    "control frozen past the deadline": _frozen_control,
    "a gate frozen before the call": _frozen_gate,
    "a gate frozen during the run": _frozen_gate_during_run,
    "a killed backend server": _killed_backend,
    "a backend server that refuses": _refusing_backend,
}


async def _start(system: System) -> None:
    await system.start_control()
    await system.start_nodes(NODES)
    for node in GATES:
        run_log = str(system.folder / f"{node}.runs")
        await system.start_backend(node, "cue", run_log=run_log)
    await system.deploy_service("cue", DOCUMENT, len(GATES))


@pytest.fixture(scope="module")
def running_system():
    with open_running_system(_start) as running_system:
        yield running_system


@pytest.fixture
def keyed_request(running_system):
    portal, system = running_system
    portal.run(_set_service_time, system, FAST_SERVICE_MS)
    return KeyedRequest(system, f"key-{next(_key_numbers)}")


@given("a control VM, three nodes and two backend servers of cue")
def _(running_system):
    portal, system = running_system
    portal.run(system.wait_for_members, "cue", len(GATES))


@when(parsers.parse("a request with one idempotency key is resent around {fault}"))
def _(running_system, keyed_request, fault):
    portal, _ = running_system
    portal.run(FAULTS[fault], keyed_request)
    portal.run(_set_service_time, keyed_request.system, FAST_SERVICE_MS)
    portal.run(keyed_request.wait_for_final_outcome)
    portal.run(keyed_request.resend_to_all_nodes)


@then("the backend servers ran the request at most once")
def _(keyed_request):
    assert sum(keyed_request.count_runs().values()) <= 1, keyed_request.answers


@then(parsers.parse("the last answers are {outcome}"))
def _(keyed_request, outcome):
    last = set(keyed_request.answers[-RESEND_COUNT * len(NODES) :])
    wanted = FINAL_OUTCOMES if outcome == "a known or unknown outcome" else {outcome}
    assert last <= wanted and len(last) == 1, keyed_request.answers
    if last == {"200"}:
        assert sum(keyed_request.count_runs().values()) == 1


@when("the control VM is frozen")
def _(running_system):
    _, system = running_system
    system.control["control-1"].suspend()


@then(
    parsers.parse("a request with an idempotency key is refused as {kind} and not run")
)
def _(running_system, keyed_request, kind):
    portal, _ = running_system
    assert portal.run(keyed_request.send, ENTRY) == kind
    assert sum(keyed_request.count_runs().values()) == 0


@then("an idempotent request is served")
def _(running_system):
    portal, system = running_system
    request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))
    assert portal.run(system.send, ENTRY, request).unwrap().status == 200


@then("after the control VM resumes the same request runs once")
def _(running_system, keyed_request):
    portal, system = running_system
    system.control["control-1"].resume()
    portal.run(keyed_request.wait_for_final_outcome)
    portal.run(keyed_request.resend_to_all_nodes)
    assert keyed_request.answers[-1] == "200"
    assert sum(keyed_request.count_runs().values()) == 1


@when("an idempotency key is used for another body")
def _(running_system, keyed_request):
    portal, _ = running_system
    portal.run(keyed_request.send, ENTRY)
    portal.run(keyed_request.send, ENTRY, b"another")


@when("an idempotency key is given with a bad character")
def _(running_system, keyed_request):
    portal, _ = running_system
    keyed_request.key = "bad,key"
    portal.run(keyed_request.send, ENTRY)


@when("an idempotency key is longer than allowed")
def _(running_system, keyed_request):
    portal, _ = running_system
    keyed_request.key = "k" * 129
    portal.run(keyed_request.send, ENTRY)


@then(parsers.parse("the request is refused as {kind} and not run"))
def _(keyed_request, kind):
    assert keyed_request.answers[-1] == kind
    assert sum(keyed_request.count_runs().values()) == len(keyed_request.answers) - 1


NESTED_TARGET = "/publish/nested"
CHAIN_HEADER = b"root=parent-1;entry=suva-cue-1;depth=1;worth=critical;remaining=1000"


@when("the same call is made again for the same root request")
def _(running_system, keyed_request):
    portal, system = running_system
    headers = ((b"host", b"cue"), (b"persimmonhall-chain", CHAIN_HEADER))
    request = HttpRequest("POST", NESTED_TARGET, headers, b"segment")
    for node in NODES:
        answer = portal.run(system.send, node, request, "local").unwrap()
        keyed_request.answers.append(answer_outcome(answer))


@then("it ran once and every attempt got its answer")
def _(keyed_request):
    assert keyed_request.answers == ["200"] * len(NODES)
    logs = [keyed_request.system.folder / f"{node}.runs" for node in GATES]
    text = "".join(log.read_text() for log in logs)
    assert text.count(NESTED_TARGET) == 1
