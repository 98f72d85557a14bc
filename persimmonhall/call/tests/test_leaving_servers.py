"""Check that a server which states that it leaves gets no more requests."""

import trio

from persimmonhall.call.tests.routed_fixtures import HEADERS, GateFixture
from persimmonhall.call.tests.routed_fleet import RoutedFleet
from persimmonhall.errors import ErrorKind
from persimmonhall.release.tests.builders import make_call, make_report

DRAIN_TIMEOUT_S = 2.0
LEAVING = (HEADERS.leaving, b"1")


async def run_with_leaving_server(fleet, after_s):
    """Send a steady load; return when the first server began to leave."""
    await fleet.send_load(200, 1.0)
    fleet.servers[0].state_leaving()
    stated_at = trio.current_time()
    await fleet.send_load(200, after_s)
    return stated_at


# A server that only its answers showed to be leaving got requests until it had gone.
async def test_leaving_server_gets_no_requests_and_the_others_serve_them(
    autojump_clock,
):
    """Send nothing once the drain timeout is over; serve every request elsewhere."""
    fleet = RoutedFleet()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        stated_at = await run_with_leaving_server(fleet, 6.0)
        fleet.report(0, sequence=7)
        await fleet.send_load(200, 2.0)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert fleet.servers[0].max_arrivals(stated_at + DRAIN_TIMEOUT_S, 60.0) == 0
    assert fleet.served == len(fleet.exchanges)


async def test_late_ready_report_does_not_reopen_a_leaving_server(autojump_clock):
    """Believe the answer, not a report that was sent before; a new start reopens."""
    fixture = GateFixture(make_report(slots=2))
    for number in (1, 2):
        fixture.begin(make_call(number))
    fixture.pool.answer(headers=(LEAVING,))
    assert fixture.leaving_count == 1
    assert fixture.replies[2].error is ErrorKind.LEAVING
    fixture.gate.set_instance(make_report(sequence=2))
    fixture.begin(make_call(3))
    assert fixture.replies[3].error is ErrorKind.LEAVING
    fixture.gate.set_instance(make_report(born_ms=2000))
    fixture.begin(make_call(4))
    assert len(fixture.pool.sent) == 1


async def test_answer_of_another_instance_does_not_close_the_gate(autojump_clock):
    """Ignore the statement in a misdirected answer: another instance made it."""
    fixture = GateFixture(make_report())
    fixture.begin(make_call(1))
    fixture.pool.answer(status=421, headers=(LEAVING,))
    fixture.gate.set_instance(make_report(sequence=2))
    fixture.begin(make_call(2))
    assert len(fixture.pool.sent) == 1


# After a restart a gate knew nothing of what its server had stated: the server was in
# use again.
async def test_leaving_server_stays_unused_after_its_gate_restarts(autojump_clock):
    """Learn from the entries, which remember it, though the report says ready."""
    fleet = RoutedFleet()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        stated_at = await run_with_leaving_server(fleet, 3.0)
        fleet.restart_gate(0)
        await fleet.send_load(200, 4.0)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert fleet.servers[0].max_arrivals(stated_at + DRAIN_TIMEOUT_S, 60.0) == 0
    assert fleet.served == len(fleet.exchanges)


async def test_new_incarnation_is_used_though_entries_remember_the_last(autojump_clock):
    """Send requests to a server that has started again next to a restarted gate."""
    fleet = RoutedFleet()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await run_with_leaving_server(fleet, 3.0)
        fleet.restart_gate(0)
        fleet.servers[0].stated_headers = ()
        fleet.report(0, born_ms=5000)
        restarted_at = trio.current_time()
        await fleet.send_load(200, 6.0)
        nursery.cancel_scope.cancel()
    assert fleet.servers[0].max_arrivals(restarted_at, 6.0) > 0
