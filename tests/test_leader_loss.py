"""Check keyed requests with real processes while the leader is killed or paused."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.keyed_request import FINAL_OUTCOMES, GATES, NODES
from tests.leader_loss_scenario import (
    KEY_COUNT,
    LeaderLossScenario,
    start_leader_loss_system,
)
from tests.portal import open_running_system

scenarios("features/leader_loss.feature")


@pytest.fixture(scope="module")
def running_system():
    with open_running_system(start_leader_loss_system) as running_system:
        yield running_system


@pytest.fixture
def scenario(running_system):
    _, system = running_system
    return LeaderLossScenario(system)


@given("three control VMs, three nodes and two backend servers of cue")
def _(running_system):
    portal, system = running_system
    portal.run(system.wait_for_members, "cue", len(GATES))


@when(
    parsers.parse(
        "keyed requests are sent to all nodes and resent while the leader is {fault}"
    )
)
def _(running_system, scenario, fault):
    portal, _ = running_system
    portal.run(scenario.lose_leader, fault)


@then("no keyed request ran twice and each has a final outcome")
def _(scenario):
    assert len(scenario.keyed_requests) == KEY_COUNT
    for keyed_request in scenario.keyed_requests:
        assert set(keyed_request.answers[-len(NODES) :]) <= FINAL_OUTCOMES, (
            keyed_request.answers
        )
        assert sum(keyed_request.count_runs().values()) <= 1, keyed_request.answers


@then("no request that had 1 s to wait for the next leader was refused")
def _(scenario):
    assert scenario.needless_refusals == []
