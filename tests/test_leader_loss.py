"""Check keyed requests with real processes while the leader is killed or paused."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.key_trial import GATES, KNOWN_OR_UNKNOWN, NODES
from tests.leader_scene import KEYS, Loss, start
from tests.portal import open_running

scenarios("features/leader_loss.feature")


@pytest.fixture(scope="module")
def running():
    with open_running(start) as running:
        yield running


@pytest.fixture
def loss(running):
    _, system = running
    return Loss(system)


@given("three control VMs, three nodes and two backend servers of cue")
def _(running):
    portal, system = running
    portal.run(system.wait_for_members, "cue", len(GATES))


@when(
    parsers.parse(
        "keyed requests are sent to all nodes and resent while the leader is {fault}"
    )
)
def _(running, loss, fault):
    portal, _ = running
    portal.run(loss.lose, fault)


@then("no keyed request ran twice and each has a final outcome")
def _(loss):
    assert len(loss.trials) == KEYS
    for trial in loss.trials:
        assert set(trial.answers[-len(NODES) :]) <= KNOWN_OR_UNKNOWN, trial.answers
        assert sum(trial.runs().values()) <= 1, trial.answers


@then("no request that had 1 s to wait for the next leader was refused")
def _(loss):
    assert loss.needless == []
