"""Check that a node that was paused acts on no time that ran out meanwhile."""

import socket as sockets

import trio

from persimmonhall.call.tests.routed_fixtures import (
    HEADERS,
    EntryFixture,
    GateFixture,
)
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.http.refusals import refusal_status
from persimmonhall.process_pauses import BACKLOG_READ_S, ProcessPauses
from persimmonhall.release.schema import RouteKind
from persimmonhall.release.tests.builders import make_call, make_report, make_route
from persimmonhall.wire.call_frames import (
    CALL_NUMBER,
    CallFrameReader,
    FrameType,
    decode_reply,
    encode_call,
    pack_frame,
)
from persimmonhall.wire.call_server import CallServerConnection
from persimmonhall.wire.poller import Poller

PAUSE_S = 4.0
ORDER = make_route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=3000)


def pause(pauses: ProcessPauses, clock) -> None:
    """Let time pass without a heartbeat."""
    pauses.record_heartbeat(trio.current_time())
    clock.jump(PAUSE_S)


async def test_gate_sends_no_call_whose_time_ran_out_while_it_was_paused(
    nursery, autojump_clock
):
    """Reply "not run" to a call that lay unread for longer than its caller waits."""
    fixture = GateFixture(make_report())
    pauses, poller = ProcessPauses(), Poller()
    local, peer = sockets.socketpair()
    local.setblocking(False)
    CallServerConnection(local, poller, fixture.gate, pauses)
    calls = [
        make_call(1, is_idempotent=False, remaining_ms=int(PAUSE_S * 900)),
        make_call(2, is_idempotent=False, remaining_ms=int(PAUSE_S * 1500)),
    ]
    for call in calls:
        peer.send(pack_frame(FrameType.CALL, encode_call(call)))
    pause(pauses, autojump_clock)
    nursery.start_soon(poller.run)
    await trio.testing.wait_all_tasks_blocked()
    [request] = fixture.pool.sent
    assert b"%s: 2000\r\n" % HEADERS.deadline_ms in request.data
    [(_, payload)] = CallFrameReader().feed(peer.recv(4096))
    reply = decode_reply(payload)
    assert (reply.number, reply.ran) == (1, Ran.NO)
    local.close()
    peer.close()


async def test_call_cancelled_while_it_lay_unread_reaches_no_server(
    nursery, autojump_clock
):
    """Skip a call that is followed by its cancellation in the same data."""
    fixture = GateFixture(make_report())
    poller = Poller()
    local, peer = sockets.socketpair()
    local.setblocking(False)
    CallServerConnection(local, poller, fixture.gate, ProcessPauses())
    for number in (1, 2):
        peer.send(pack_frame(FrameType.CALL, encode_call(make_call(number))))
    peer.send(pack_frame(FrameType.CANCEL, CALL_NUMBER.pack(1)))
    nursery.start_soon(poller.run)
    await trio.testing.wait_all_tasks_blocked()
    assert [request.attempt_id for request in fixture.pool.sent] == [b"a2"]
    assert not fixture.pool.aborted
    local.close()
    peer.close()


async def test_entry_refuses_requests_that_lay_unread_beyond_their_time(
    autojump_clock,
):
    """Refuse as not run what was read after a pause and has no time left."""
    fixture = EntryFixture(ORDER)
    pause(fixture.pauses, autojump_clock)
    exchange = fixture.send_request()
    assert not fixture.calls
    assert exchange.refusal.ran is Ran.NO
    assert refusal_status(exchange.refusal) == 503


async def test_entry_shortens_the_time_of_requests_read_after_a_pause(autojump_clock):
    """Count the pause against the time that the caller gave."""
    fixture = EntryFixture(make_route(timeout_ms=6000))
    pause(fixture.pauses, autojump_clock)
    fixture.pauses.record_heartbeat(trio.current_time())
    fixture.send_request()
    assert fixture.calls[0].remaining_ms <= 6000 - PAUSE_S * 1000
    autojump_clock.jump(2 * BACKLOG_READ_S)
    fixture.send_request()
    assert fixture.calls[1].remaining_ms > 5000


# Nodes that were slow to read broke off runs by 0.3 s before their callers' deadlines.
async def test_entry_awaits_the_answer_for_as_long_as_the_caller_may(autojump_clock):
    """Shorten the time of the server only: what is read may be as young as it seems."""
    fixture = EntryFixture(ORDER)
    fixture.pauses.record_heartbeat(trio.current_time())
    autojump_clock.jump(0.4)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.timers.run)
        answered = fixture.send_request(attempt="a1")
        ended = fixture.send_request(attempt="a2")
        assert fixture.calls[0].remaining_ms <= 2600
        await trio.sleep(2.7)
        assert not fixture.links.cancelled
        fixture.reply(0, status=504)
        await trio.sleep(0.4)
        nursery.cancel_scope.cancel()
    assert answered.status == 504
    assert ended.refusal.kind is ErrorKind.DEADLINE_EXCEEDED


async def test_answer_that_arrived_during_a_pause_is_delivered(autojump_clock):
    """Read the backlog before a timer that fell due in a pause gives up a request."""
    fixture = EntryFixture(ORDER)
    async with trio.open_nursery() as nursery:
        exchange = fixture.send_request()
        pause(fixture.pauses, autojump_clock)
        fixture.timers.fire_due(trio.current_time())
        assert exchange.status is None
        fixture.reply(status=201)
        nursery.cancel_scope.cancel()
    assert exchange.status == 201


async def test_request_without_an_answer_ends_soon_after_a_pause(autojump_clock):
    """Give up once the backlog has been read."""
    fixture = EntryFixture(ORDER)
    exchange = fixture.send_request()
    pause(fixture.pauses, autojump_clock)
    fixture.timers.fire_due(trio.current_time())
    fixture.pauses.record_heartbeat(trio.current_time())
    autojump_clock.jump(2 * BACKLOG_READ_S)
    fixture.timers.fire_due(trio.current_time())
    assert exchange.status is ErrorKind.DEADLINE_EXCEEDED
