"""Check with real processes that a keyed request runs at most once around faults."""

import itertools

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.outcome import outcome_of
from harness.system import System
from persimmonhall.http.messages import HttpRequest
from tests.key_trial import (
    ENTRY,
    GATE,
    GATES,
    KNOWN_OR_UNKNOWN,
    NODES,
    RESENDS,
    Trial,
)
from tests.portal import open_running

scenarios("features/at_most_once.feature")

FROZEN_S = 1.6
QUICK_MS, SLOW_MS = 20, 700
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

_numbers = itertools.count(1)


async def _set_speed(system: System, service_ms: float) -> None:
    for node in GATES:
        await system.behave(node, service_ms=service_ms)


async def _burst(trial: Trial) -> None:
    await trial.resend()


async def _lost_answers(trial: Trial) -> None:
    await _set_speed(trial.system, SLOW_MS)
    for node in NODES:
        with trio.move_on_after(SLOW_MS / 2000):
            await trial.send(node)
    await trial.resend()


async def _start_slow(trial: Trial, nursery: trio.Nursery, entry: str = ENTRY) -> str:
    await _set_speed(trial.system, SLOW_MS)
    nursery.start_soon(trial.send, entry)
    return await trial.wait_for_run()


async def _killed_gate(trial: Trial) -> None:
    async with trio.open_nursery() as nursery:
        gate = await _start_slow(trial, nursery)
        trial.system.nodes[gate].kill()
    for _ in range(RESENDS):
        for node in set(NODES) - {gate}:
            await trial.send(node)
    await trial.system.restart_node(gate)
    await trial.system.wait_for_members("cue", len(GATES))


async def _killed_entry(trial: Trial) -> None:
    async with trio.open_nursery() as nursery:
        gate = await _start_slow(trial, nursery)
        trial.system.nodes[ENTRY].kill()
    await trial.send(gate)
    await trial.system.restart_node(ENTRY)
    await trial.system.wait_for_members("cue", len(GATES))


async def _restarted_control(trial: Trial) -> None:
    await trial.send(ENTRY)
    trial.system.control["control-1"].kill()
    await trial.resend()
    await trial.system.restart_control("control-1")


async def _control_lost_during_run(trial: Trial) -> None:
    async with trio.open_nursery() as nursery:
        await _start_slow(trial, nursery)
        trial.system.control["control-1"].kill()
    await trial.resend()
    await trial.system.restart_control("control-1")


async def _frozen_control(trial: Trial) -> None:
    trial.system.control["control-1"].freeze()
    await trial.send_everywhere()
    assert "200" not in trial.answers
    assert sum(trial.runs().values()) == 0
    trial.system.control["control-1"].thaw()


async def _frozen_gate(trial: Trial) -> None:
    trial.system.nodes[GATE].freeze()
    await trial.send(ENTRY)
    trial.system.nodes[GATE].thaw()


async def _frozen_gate_during_run(trial: Trial) -> None:
    async with trio.open_nursery() as nursery:
        gate = await _start_slow(trial, nursery, ENTRY)
        trial.system.nodes[gate].freeze()
        await trio.sleep(FROZEN_S)
        trial.system.nodes[gate].thaw()


async def _killed_backend(trial: Trial) -> None:
    async with trio.open_nursery() as nursery:
        gate = await _start_slow(trial, nursery)
        trial.system.backends[gate].kill()
    await trial.resend()
    await trial.system.restart_backend(gate)
    await trial.system.wait_for_members("cue", len(GATES))


async def _refusing_backend(trial: Trial) -> None:
    for node in GATES:
        trial.system.backends[node].kill()
        await trial.system.backends[node].process.wait()
    await trial.send(ENTRY)
    await trial.send(ENTRY)
    assert sum(trial.runs().values()) == 0
    for node in GATES:
        await trial.system.restart_backend(node)
    await trial.system.wait_for_members("cue", len(GATES))


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
    await system.serve("cue", DOCUMENT, len(GATES))


@pytest.fixture(scope="module")
def running():
    with open_running(_start) as running:
        yield running


@pytest.fixture
def trial(running):
    portal, system = running
    portal.run(_set_speed, system, QUICK_MS)
    return Trial(system, f"key-{next(_numbers)}")


@given("a control VM, three nodes and two backend servers of cue")
def _(running):
    portal, system = running
    portal.run(system.wait_for_members, "cue", len(GATES))


@when(parsers.parse("a request with one idempotency key is resent around {fault}"))
def _(running, trial, fault):
    portal, _ = running
    portal.run(FAULTS[fault], trial)
    portal.run(_set_speed, trial.system, QUICK_MS)
    portal.run(trial.settle)
    portal.run(trial.resend)


@then("the backend servers ran the request at most once")
def _(trial):
    assert sum(trial.runs().values()) <= 1, trial.answers


@then(parsers.parse("the last answers are {outcome}"))
def _(trial, outcome):
    last = set(trial.answers[-RESENDS * len(NODES) :])
    wanted = KNOWN_OR_UNKNOWN if outcome == "a known or unknown outcome" else {outcome}
    assert last <= wanted and len(last) == 1, trial.answers
    if last == {"200"}:
        assert sum(trial.runs().values()) == 1


@when("the control VM is frozen")
def _(running):
    _, system = running
    system.control["control-1"].freeze()


@then(
    parsers.parse("a request with an idempotency key is refused as {kind} and not run")
)
def _(running, trial, kind):
    portal, _ = running
    assert portal.run(trial.send, ENTRY) == kind
    assert sum(trial.runs().values()) == 0


@then("an idempotent request is served")
def _(running):
    portal, system = running
    request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))
    assert portal.run(system.send, ENTRY, request).unwrap().status == 200


@then("after the control VM resumes the same request runs once")
def _(running, trial):
    portal, system = running
    system.control["control-1"].thaw()
    portal.run(trial.settle)
    portal.run(trial.resend)
    assert trial.answers[-1] == "200"
    assert sum(trial.runs().values()) == 1


@when("an idempotency key is used for another body")
def _(running, trial):
    portal, _ = running
    portal.run(trial.send, ENTRY)
    portal.run(trial.send, ENTRY, b"another")


@when("an idempotency key is given with a bad character")
def _(running, trial):
    portal, _ = running
    trial.key = "bad,key"
    portal.run(trial.send, ENTRY)


@when("an idempotency key is longer than allowed")
def _(running, trial):
    portal, _ = running
    trial.key = "k" * 129
    portal.run(trial.send, ENTRY)


@then(parsers.parse("the request is refused as {kind} and not run"))
def _(trial, kind):
    assert trial.answers[-1] == kind
    assert sum(trial.runs().values()) == len(trial.answers) - 1


NESTED_TARGET = "/publish/nested"
CHAIN = b"root=parent-1;entry=suva-cue-1;depth=1;worth=critical;remaining=1000"


@when("the same call is made again for the same root request")
def _(running, trial):
    portal, system = running
    headers = ((b"host", b"cue"), (b"persimmonhall-chain", CHAIN))
    request = HttpRequest("POST", NESTED_TARGET, headers, b"segment")
    for node in NODES:
        answer = portal.run(system.send, node, request, "local").unwrap()
        trial.answers.append(outcome_of(answer))


@then("it ran once and every attempt got its answer")
def _(trial):
    assert trial.answers == ["200"] * len(NODES)
    logs = [trial.system.folder / f"{node}.runs" for node in GATES]
    text = "".join(log.read_text() for log in logs)
    assert text.count(NESTED_TARGET) == 1
