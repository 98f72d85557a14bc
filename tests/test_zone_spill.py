"""Check with real processes that an overloaded zone spills to another."""

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.system import System
from persimmonhall.http.messages import HttpRequest
from tests.builders import CUE_DOCUMENT
from tests.portal import open_running_system

scenarios("features/zone_spill.feature")

SUVA, NADI = "suva-cue-1", "nadi-cue-1"
SLOTS = 2
SERVICE_MS = 50.0


async def _start(system: System) -> None:
    await system.start_control()
    for node in (SUVA, NADI):
        await system.start_node(node, node.partition("-")[0])
        await system.start_backend(node, "cue", slots=SLOTS, service_ms=SERVICE_MS)
    await system.deploy_service(
        "cue", CUE_DOCUMENT.replace("publishing", "operators"), 2
    )


@pytest.fixture
def running_system():
    with open_running_system(_start) as running_system:
        yield running_system


@given("a server of cue with 2 slots in suva and one in nadi")
def _(running_system):
    _, system = running_system
    assert set(system.backends) == {SUVA, NADI}


async def _send(system: System, callers: int, requests: int) -> list[int]:
    statuses: list[int] = []
    request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))

    async def call() -> None:
        for _ in range(requests):
            statuses.append((await system.send(SUVA, request)).unwrap().status)

    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(call)
    return statuses


@when(
    parsers.re(
        r"(?P<callers>\d+) callers? sends? (?P<requests>\d+) requests in turn to suva"
    ),
    target_fixture="statuses",
)
def _(running_system, callers, requests):
    portal, system = running_system
    return portal.run(_send, system, int(callers), int(requests))


@then(parsers.re("all get complete answers and (?P<where>none|some) ran in nadi"))
def _(running_system, statuses, where):
    portal, system = running_system
    assert set(statuses) == {200}
    ran = portal.run(system.counts, NADI)["started"]
    assert (ran > 0) == (where == "some")
