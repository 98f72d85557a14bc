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
RESENDS = 20
MOST_DEATHS = 2
INNOCENTS = 12
BYSTANDERS = 40
SERVICE_MS = 150
SLOTS = 8
CRASH = "/segments/crash"
LATE_CRASH = "/segments/crash-late"
PATIENCE_S = 0.06
PAUSE_S = 0.3
LATE_RESENDS = 7
BUSY_CALLERS = 3
LATER = "labasa-cue-1"
DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/segments/*"
idempotent = true
"""


@dataclass
class Story:
    """Send crashing and other requests and record the answers."""

    system: System
    crashes: list[HttpAnswer] = field(default_factory=list)
    innocents: dict[str, list[int]] = field(default_factory=dict)
    bystanders: list[int] = field(default_factory=list)

    async def get(self, node: str, path: str) -> HttpAnswer:
        """Send one idempotent request."""
        request = HttpRequest("GET", path, ((b"persimmonhall-service", b"cue"),))
        match await self.system.send(node, request):
            case Success(answer):
                return answer
            case failure:
                raise AssertionError(failure)

    async def be_innocent(self, number: int) -> None:
        """Resend one harmless request until it is served."""
        path = f"/segments/harmless-{number}"
        node = list(NODES)[number % len(NODES)]
        statuses = self.innocents[path] = []

        async def served() -> bool:
            statuses.append((await self.get(node, path)).status)
            return statuses[-1] == 200

        await self.system.wait_until(served, f"{path}: {statuses}")

    async def stand_by(self) -> None:
        """Send unrelated requests, each once, during the crashes."""
        for number in range(BYSTANDERS):
            path = f"/segments/unrelated-{number}"
            answer = await self.get(list(NODES)[number % len(NODES)], path)
            self.bystanders.append(answer.status)

    async def crash(self) -> None:
        """Resend the crashing request, to the next entry node each time."""
        await self._wait_until_busy()
        for number in range(RESENDS):
            node = list(NODES)[number % len(NODES)]
            self.crashes.append(await self.get(node, CRASH))

    async def _wait_until_busy(self) -> None:
        async def busy() -> bool:
            counts = [await self.system.counts(node) for node in NODES]
            return all(count["running"] for count in counts)

        await self.system.wait_until(busy, "harmless requests in flight")

    async def run(self) -> None:
        """Run all callers at once."""
        async with trio.open_nursery() as nursery:
            for number in range(INNOCENTS):
                nursery.start_soon(self.be_innocent, number)
            nursery.start_soon(self.stand_by)
            nursery.start_soon(self.crash)

    async def crash_late(self) -> None:
        """Resend the request that crashes late, and time out each time."""
        async with trio.open_nursery() as nursery:
            for node in list(NODES) * BUSY_CALLERS:
                nursery.start_soon(self._keep_busy, node)
            for number in range(LATE_RESENDS):
                with trio.move_on_after(PATIENCE_S):
                    await self.get(list(NODES)[number % len(NODES)], LATE_CRASH)
                await trio.sleep(PAUSE_S)
            nursery.cancel_scope.cancel()

    async def _keep_busy(self, node: str) -> None:
        while True:
            await self.get(node, "/segments/unrelated")

    async def suspected(self, node: str) -> dict[str, str]:
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
                rows = await self.suspected(node)
                last[node] = {r for r, state in rows.items() if state == "quarantined"}
            return all(rows == expected for rows in last.values())

        await self.system.wait_until(listed, f"lists: {last}")


async def _start(system: System) -> None:
    await system.start_control()
    await system.start_nodes(NODES)
    await system.start_backends(NODES, "cue", service_ms=SERVICE_MS, slots=SLOTS)
    await system.serve("cue", DOCUMENT, len(NODES))


@pytest.fixture(scope="module")
def running():
    with open_portal(open_system) as (portal, system):
        portal.run(_start, system)
        yield portal, Story(system)


@given("a control VM, four nodes and four backend servers of cue")
def _(running):
    _, story = running
    assert set(NODES) <= set(story.system.nodes)


@when("harmless requests are in flight and a crashing request is resent 20 times")
def _(running):
    portal, story = running
    portal.run(story.run)


def _deaths(system: System) -> int:
    backends = system.backends.values()
    return sum(backend.process.returncode is not None for backend in backends)


@then("at most 2 backend servers crashed")
def _(running):
    _, story = running
    assert 1 <= _deaths(story.system) <= MOST_DEATHS
    assert len(story.crashes) == RESENDS


@then("every harmless request and all but at most 2 unrelated ones were served")
def _(running):
    _, story = running
    assert len(story.innocents) == INNOCENTS
    assert all(statuses[-1] == 200 for statuses in story.innocents.values())
    lost = sum(status != 200 for status in story.bystanders)
    assert lost <= MOST_DEATHS, story.bystanders
    assert len(story.bystanders) == BYSTANDERS


@then("every node has quarantined only the crashing request")
def _(running):
    portal, story = running
    portal.run(story.wait_for_quarantine, {f"GET {CRASH}"})
    for node in NODES:
        suspected = portal.run(story.suspected, node)
        assert not suspected.keys() & {f"GET {path}" for path in story.innocents}


@then("the last resends were refused before they ran and told when to retry")
def _(running):
    _, story = running
    for answer in story.crashes[-len(NODES) :]:
        problem = json.loads(answer.body)
        assert problem["type"].endswith(":quarantined")
        assert problem["ran"] == "no"
        assert int(answer.header(b"retry-after")) > 60


@when("a node joins after the crashes")
def _(running):
    portal, story = running
    portal.run(story.system.start_node, LATER, "labasa")
    portal.run(story.wait_for_quarantine, {f"GET {CRASH}"})
    portal.run(story.system.wait_for_document, "cue", 1)


@then("it refuses the crashing request")
def _(running):
    portal, story = running
    answer = portal.run(story.get, LATER, CRASH)
    assert json.loads(answer.body)["type"].endswith(":quarantined")


def _operator(*arguments: str) -> str:
    command = [sys.executable, "-m", "persimmonhall.cli.operator", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return done.stdout


@when("an operator lists and lifts the quarantine at one node")
def _(running):
    _, story = running
    node = str(story.system.nodes[LATER].addresses["local"])
    rows = json.loads(_operator("--json", "quarantine", "list", "--node", node))
    [found] = [row for row in rows if row["state"] == "quarantined"]
    assert found["request"] == f"GET {CRASH}"
    _operator("quarantine", "lift", found["fingerprint"], "--node", node)


@then("no node refuses the crashing request")
def _(running):
    portal, story = running
    portal.run(story.wait_for_quarantine, set())


async def _restart_dead(system: System) -> None:
    for node, backend in list(system.backends.items()):
        if backend.process.returncode is not None:
            await system.restart_backend(node)
    await system.wait_for_members("cue", len(NODES))


@given("all backend servers run again")
def _(running):
    portal, story = running
    portal.run(_restart_dead, story.system)


@when("a request that crashes late is resent 7 times by callers that time out")
def _(running):
    portal, story = running
    portal.run(story.crash_late)


@then("at most 2 backend servers crashed because of it")
def _(running):
    portal, story = running
    assert 1 <= _deaths(story.system) <= MOST_DEATHS
    portal.run(story.wait_for_quarantine, {f"GET {LATE_CRASH}"})
