"""Check that outdated calls do not change the backend instance."""

import pytest

from persimmonhall.address import Address
from persimmonhall.dialect import (
    InstanceState,
    LeaveCall,
    MalformedCall,
    ReportCall,
)
from persimmonhall.events import EventLog
from persimmonhall.membership.instances import InstanceWatch
from persimmonhall.membership.messages import MemberState
from persimmonhall.release.tests.builders import make_report


class FakeGate:
    """Record the newest report."""

    def __init__(self):
        self.instance = None
        self.limit = 9

    def set_instance(self, report):
        """Record a report."""
        self.instance = report


class FakeGossiper:
    """Record the announced state."""

    def __init__(self):
        self.state = MemberState.EMPTY

    def announce(self, service, slots, state):
        """Record the state."""
        self.state = state


class Scene:
    """Set up an InstanceWatch with a fake gate and gossiper."""

    def __init__(self):
        self.gate, self.gossiper = FakeGate(), FakeGossiper()
        address = Address("127.0.0.1", 9)
        self.watch = InstanceWatch(
            self.gate, self.gossiper, "maps", address, EventLog("n")
        )

    def report(self, **changes):
        """Send a report and return whether it was accepted."""
        return self.watch.take(ReportCall(make_report(**changes)))


@pytest.fixture
async def scene():
    """Build the fixture inside the event loop."""
    return Scene()


async def test_late_report_of_a_dead_instance_changes_nothing(scene):
    """Keep the instance that started last, even if an older one reports later."""
    scene.report(instance="i-2", born_ms=2000)
    assert scene.report(instance="i-1", born_ms=1000, sequence=99)
    assert scene.gate.instance.instance == "i-2"


async def test_restart_under_the_same_id_counts_anew(scene):
    """Accept a lower sequence after a restart."""
    scene.report(sequence=40)
    scene.report(born_ms=5000, sequence=1)
    assert scene.gate.instance.born_ms == 5000


async def test_draining_is_not_undone_by_an_earlier_report(scene):
    """Keep an instance draining when an earlier report arrives late."""
    scene.report(sequence=5, state=InstanceState.DRAINING)
    scene.report(sequence=4)
    assert scene.gossiper.state is MemberState.LEAVING
    assert scene.gate.instance.state is InstanceState.DRAINING


async def test_instance_that_left_stays_gone(scene):
    """Ignore reports of an instance that has deregistered."""
    scene.report(sequence=5)
    assert scene.watch.take(LeaveCall("i-1"))
    scene.report(sequence=6)
    assert scene.gate.instance is None
    assert scene.gossiper.state is MemberState.LEAVING


async def test_successor_of_an_instance_that_left_counts(scene):
    """Accept a new instance after the old one has deregistered."""
    scene.report()
    scene.watch.take(LeaveCall("i-1"))
    scene.report(instance="i-2", born_ms=9000)
    assert scene.gate.instance.instance == "i-2"


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "cue"},
        {"address": Address("127.0.0.1", 8)},
        {"slots": 0},
    ],
)
async def test_report_of_another_writer_names_no_server(scene, changes):
    """Reject a report that does not match the local server; keep the known one."""
    scene.report()
    assert not scene.report(sequence=2, **changes)
    assert scene.gate.instance.sequence == 1


async def test_unreadable_report_is_refused(scene):
    """Reject a malformed call."""
    assert not scene.watch.take(MalformedCall("no key"))
