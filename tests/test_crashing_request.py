"""Check with real processes that a crashing request is quarantined."""

import json
import subprocess
import sys
from dataclasses import dataclass, field

import pytest
import trio
from pytest_bdd import given, scenarios, then, when
from returns.result import Success

from harness.system import System, open_system
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from tests.portal import open_portal

scenarios("features/crashing_request.feature")

NODES = {
    "suva-cue-1": "suva",
    "suva-cue-2": "suva",
    "nadi-cue-1": "nadi",
    "nadi-cue-2": "nadi",
}
RESEND_COUNT = 20
MAX_CRASHED_SERVERS = 2
HARMLESS_REQUESTS = 12
UNRELATED_REQUESTS = 40
SERVICE_MS = 150
SLOTS = 8
CRASH_PATH = "/segments/crash"
LATE_CRASH_PATH = "/segments/crash-late"
CALLER_TIMEOUT_S = 0.06
RESEND_INTERVAL_S = 0.3
LATE_RESEND_COUNT = 7
BACKGROUND_CALLERS_PER_NODE = 3
JOINING_NODE = "labasa-cue-1"
DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/segments/*"
idempotent = true
"""


@dataclass
class CrashScenario:
    """Send crashing and other requests and record the answers."""

    system: System
    crash_answers: list[HttpAnswer] = field(default_factory=list)
    harmless_statuses: dict[str, list[int]] = field(default_factory=dict)
    unrelated_statuses: list[int] = field(default_factory=list)

    async def get(self, node: str, path: str) -> HttpAnswer:
        """Send one idempotent request."""
        request = HttpRequest("GET", path, ((b"persimmonhall-service", b"cue"),))
        match await self.system.send(node, request):
            case Success(answer):
                return answer
            case failure:
                raise AssertionError(failure)

    async def resend_harmless(self, number: int) -> None:
        """Resend one harmless request until it is served."""
        path = f"/segments/harmless-{number}"
        node = list(NODES)[number % len(NODES)]
        statuses = self.harmless_statuses[path] = []

        async def served() -> bool:
            statuses.append((await self.get(node, path)).status)
            return statuses[-1] == 200

        await self.system.wait_until(served, f"{path}: {statuses}")

    async def send_unrelated(self) -> None:
        """Send unrelated requests, each once, during the crashes."""
        for number in range(UNRELATED_REQUESTS):
            path = f"/segments/unrelated-{number}"
            answer = await self.get(list(NODES)[number % len(NODES)], path)
            self.unrelated_statuses.append(answer.status)

    async def resend_crashing(self) -> None:
        """Resend the crashing request, to the next entry node each time."""
        await self._wait_until_busy()
        for number in range(RESEND_COUNT):
            node = list(NODES)[number % len(NODES)]
            self.crash_answers.append(await self.get(node, CRASH_PATH))

    async def _wait_until_busy(self) -> None:
        async def busy() -> bool:
            counts = [await self.system.counts(node) for node in NODES]
            return all(count["running"] for count in counts)

        await self.system.wait_until(busy, "harmless requests in flight")

    async def run(self) -> None:
        """Run all callers at once."""
        async with trio.open_nursery() as nursery:
            for number in range(HARMLESS_REQUESTS):
                nursery.start_soon(self.resend_harmless, number)
            nursery.start_soon(self.send_unrelated)
            nursery.start_soon(self.resend_crashing)

    async def resend_late_crashing(self) -> None:
        """Resend the request that crashes late, and time out each time."""
        async with trio.open_nursery() as nursery:
            for node in list(NODES) * BACKGROUND_CALLERS_PER_NODE:
                nursery.start_soon(self._send_background_load, node)
            for number in range(LATE_RESEND_COUNT):
                with trio.move_on_after(CALLER_TIMEOUT_S):
                    await self.get(list(NODES)[number % len(NODES)], LATE_CRASH_PATH)
                await trio.sleep(RESEND_INTERVAL_S)
            nursery.cancel_scope.cancel()

    async def _send_background_load(self, node: str) -> None:
        while True:
            await self.get(node, "/segments/unrelated")

    async def suspect_states(self, node: str) -> dict[str, str]:
        """Return the suspect requests that a node lists, with their states."""
        request = HttpRequest("GET", "/-/quarantine", ())
        answer = await self.system.send(node, request, "local")
        rows = json.loads(answer.unwrap().body)
        return {row["request"]: row["state"] for row in rows}

    async def wait_for_quarantine(self, expected: set[str]) -> None:
        """Wait until every node has quarantined exactly these requests."""
        last = {}

        async def listed() -> bool:
            for node in self.system.nodes:
                rows = await self.suspect_states(node)
                last[node] = {r for r, state in rows.items() if state == "quarantined"}
            return all(rows == expected for rows in last.values())

        await self.system.wait_until(listed, f"lists: {last}")


async def _start(system: System) -> None:
    await system.start_control()
    await system.start_nodes(NODES)
    await system.start_backends(NODES, "cue", service_ms=SERVICE_MS, slots=SLOTS)
    await system.deploy_service("cue", DOCUMENT, len(NODES))


@pytest.fixture(scope="module")
def running_scenario():
    with open_portal(open_system) as (portal, system):
        portal.run(_start, system)
        yield portal, CrashScenario(system)


@given("a control VM, four nodes and four backend servers of cue")
def _(running_scenario):
    _, scenario = running_scenario
    assert set(NODES) <= set(scenario.system.nodes)


@when("harmless requests are in flight and a crashing request is resent 20 times")
def _(running_scenario):
    portal, scenario = running_scenario
    portal.run(scenario.run)


def _crashed_count(system: System) -> int:
    backends = system.backends.values()
    return sum(backend.process.returncode is not None for backend in backends)


@then("at most 2 backend servers crashed")
def _(running_scenario):
    _, scenario = running_scenario
    assert 1 <= _crashed_count(scenario.system) <= MAX_CRASHED_SERVERS
    assert len(scenario.crash_answers) == RESEND_COUNT


@then("every harmless request and all but at most 2 unrelated ones were served")
def _(running_scenario):
    _, scenario = running_scenario
    assert len(scenario.harmless_statuses) == HARMLESS_REQUESTS
    assert all(statuses[-1] == 200 for statuses in scenario.harmless_statuses.values())
    lost = sum(status != 200 for status in scenario.unrelated_statuses)
    assert lost <= MAX_CRASHED_SERVERS, scenario.unrelated_statuses
    assert len(scenario.unrelated_statuses) == UNRELATED_REQUESTS


@then("every node has quarantined only the crashing request")
def _(running_scenario):
    portal, scenario = running_scenario
    portal.run(scenario.wait_for_quarantine, {f"GET {CRASH_PATH}"})
    for node in NODES:
        suspected = portal.run(scenario.suspect_states, node)
        assert not suspected.keys() & {
            f"GET {path}" for path in scenario.harmless_statuses
        }


@then("the last resends were refused before they ran and told when to retry")
def _(running_scenario):
    _, scenario = running_scenario
    for answer in scenario.crash_answers[-len(NODES) :]:
        problem = json.loads(answer.body)
        assert problem["type"].endswith(":quarantined")
        assert problem["ran"] == "no"
        assert int(answer.header(b"retry-after")) > 60


@when("a node joins after the crashes")
def _(running_scenario):
    portal, scenario = running_scenario
    portal.run(scenario.system.start_node, JOINING_NODE, "labasa")
    portal.run(scenario.wait_for_quarantine, {f"GET {CRASH_PATH}"})
    portal.run(scenario.system.wait_for_document, "cue", 1)


@then("it refuses the crashing request")
def _(running_scenario):
    portal, scenario = running_scenario
    answer = portal.run(scenario.get, JOINING_NODE, CRASH_PATH)
    assert json.loads(answer.body)["type"].endswith(":quarantined")


def _run_operator(*arguments: str) -> str:
    command = [sys.executable, "-m", "persimmonhall.cli.operator", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return done.stdout


@when("an operator lists and lifts the quarantine at one node")
def _(running_scenario):
    _, scenario = running_scenario
    node = str(scenario.system.nodes[JOINING_NODE].addresses["local"])
    rows = json.loads(_run_operator("--json", "quarantine", "list", "--node", node))
    [found] = [row for row in rows if row["state"] == "quarantined"]
    assert found["request"] == f"GET {CRASH_PATH}"
    _run_operator("quarantine", "lift", found["fingerprint"], "--node", node)


@then("no node refuses the crashing request")
def _(running_scenario):
    portal, scenario = running_scenario
    portal.run(scenario.wait_for_quarantine, set())


async def _restart_crashed(system: System) -> None:
    for node, backend in list(system.backends.items()):
        if backend.process.returncode is not None:
            await system.restart_backend(node)
    await system.wait_for_members("cue", len(NODES))


@given("all backend servers run again")
def _(running_scenario):
    portal, scenario = running_scenario
    portal.run(_restart_crashed, scenario.system)


@when("a request that crashes late is resent 7 times by callers that time out")
def _(running_scenario):
    portal, scenario = running_scenario
    portal.run(scenario.resend_late_crashing)


@then("at most 2 backend servers crashed because of it")
def _(running_scenario):
    portal, scenario = running_scenario
    assert 1 <= _crashed_count(scenario.system) <= MAX_CRASHED_SERVERS
    portal.run(scenario.wait_for_quarantine, {f"GET {LATE_CRASH_PATH}"})
