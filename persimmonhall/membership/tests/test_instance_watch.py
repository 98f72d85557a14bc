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
from persimmonhall.membership.instance_watch import InstanceWatch
from persimmonhall.membership.messages import MemberState
from persimmonhall.release.tests.builders import make_report


class FakeGate:
    """Record the newest report."""

    def __init__(self):
        self.instance = None
        self.limit = 9
        self.is_server_leaving = False

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


class InstanceWatchFixture:
    """Set up an InstanceWatch with a fake gate and gossiper."""

    def __init__(self):
        self.gate, self.gossiper = FakeGate(), FakeGossiper()
        address = Address("127.0.0.1", 9)
        self.instance_watch = InstanceWatch(
            self.gate, self.gossiper, "maps", address, EventLog("n")
        )

    def send_report(self, **changes):
        """Send a report and return whether it was accepted."""
        return self.instance_watch.handle_call(ReportCall(make_report(**changes)))


@pytest.fixture
async def fixture():
    """Build the fixture inside the event loop."""
    return InstanceWatchFixture()


async def test_late_report_of_a_replaced_instance_is_ignored(fixture):
    """Keep the instance that started last, even if an older one reports later."""
    fixture.send_report(instance="i-2", born_ms=2000)
    assert fixture.send_report(instance="i-1", born_ms=1000, sequence=99)
    assert fixture.gate.instance.instance == "i-2"


async def test_restart_under_the_same_id_resets_the_sequence(fixture):
    """Accept a lower sequence after a restart."""
    fixture.send_report(sequence=40)
    fixture.send_report(born_ms=5000, sequence=1)
    assert fixture.gate.instance.born_ms == 5000


async def test_draining_is_not_undone_by_an_earlier_report(fixture):
    """Keep an instance draining when an earlier report arrives late."""
    fixture.send_report(sequence=5, state=InstanceState.DRAINING)
    fixture.send_report(sequence=4)
    assert fixture.gossiper.state is MemberState.LEAVING
    assert fixture.gate.instance.state is InstanceState.DRAINING


async def test_reports_after_deregistration_are_ignored(fixture):
    """Ignore reports of an instance that has deregistered."""
    fixture.send_report(sequence=5)
    assert fixture.instance_watch.handle_call(LeaveCall("i-1"))
    fixture.send_report(sequence=6)
    assert fixture.gate.instance is None
    assert fixture.gossiper.state is MemberState.LEAVING


async def test_successor_of_a_deregistered_instance_is_accepted(fixture):
    """Accept a new instance after the old one has deregistered."""
    fixture.send_report()
    fixture.instance_watch.handle_call(LeaveCall("i-1"))
    fixture.send_report(instance="i-2", born_ms=9000)
    assert fixture.gate.instance.instance == "i-2"


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "cue"},
        {"address": Address("127.0.0.1", 8)},
        {"slots": 0},
    ],
)
async def test_report_of_another_server_is_rejected(fixture, changes):
    """Reject a report that does not match the local server; keep the known one."""
    fixture.send_report()
    assert not fixture.send_report(sequence=2, **changes)
    assert fixture.gate.instance.sequence == 1


async def test_malformed_report_is_rejected(fixture):
    """Reject a malformed call."""
    assert not fixture.instance_watch.handle_call(MalformedCall("no key"))


async def test_leave_after_a_restart_of_the_node_outlasts_late_reports(fixture):
    """Ignore the late report of an instance that left before its first report here."""
    fixture.instance_watch.handle_call(LeaveCall("i-1"))
    fixture.send_report(sequence=3)
    assert fixture.gate.instance is None


async def test_late_leave_of_an_earlier_incarnation_is_ignored(fixture):
    """Keep an instance that started again under the id that has left."""
    fixture.send_report(born_ms=9000)
    fixture.instance_watch.handle_call(LeaveCall("i-1", 1000))
    assert fixture.gate.instance.born_ms == 9000
    fixture.send_report(born_ms=1000, sequence=50)
    assert fixture.gate.instance.born_ms == 9000


async def test_report_born_before_a_deregistered_incarnation_is_ignored(fixture):
    """Ignore every incarnation up to the one that has left."""
    fixture.send_report(born_ms=9000)
    fixture.instance_watch.handle_call(LeaveCall("i-1", 9000))
    fixture.send_report(born_ms=1000, sequence=50)
    assert fixture.gate.instance is None


# A report that is under way when the answers say that the server leaves says ready.
async def test_report_does_not_announce_a_leaving_server_as_ready(fixture):
    """Keep peers from choosing a server whose answers state that it leaves."""
    fixture.send_report(sequence=1)
    fixture.gate.is_server_leaving = True
    fixture.instance_watch.announce_leaving()
    fixture.send_report(sequence=2)
    assert fixture.gossiper.state is MemberState.LEAVING
