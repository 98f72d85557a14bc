"""Check what an entry sends, retries, refuses and reports as not run."""

import pytest
import trio

from persimmonhall.call.tests.routed_fixtures import HEADERS, EntryFixture, make_member
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.http.refusals import refusal_status
from persimmonhall.release.schema import RouteKind, WeightedService
from persimmonhall.release.tests.builders import make_route
from persimmonhall.wire.call_frames import GateLoad

NON_IDEMPOTENT_ROUTE = make_route(kind=RouteKind.NON_IDEMPOTENT)


async def test_missing_release_is_refused_with_503_and_retry_after(autojump_clock):
    """Answer 503 with a Retry-After time, never 404, before any release is known."""
    exchange = EntryFixture().send_request()
    assert exchange.status is ErrorKind.NO_RELEASE
    assert refusal_status(exchange.refusal) == 503
    assert exchange.refusal.retry_after_s > 0


async def test_caller_service_header_is_set_by_this_node(
    autojump_clock,
):
    """Replace internal headers sent by a caller and pass other headers on."""
    fixture = EntryFixture(make_route())
    names = {
        HEADERS.caller_service.decode().replace("-", "_"): b"liar",
        HEADERS.expected_instance.decode().replace("-", "_"): b"i-9",
        "connection": b"keep-alive",
        "accept": b"text/html",
    }
    fixture.send_request(**names)
    head = fixture.calls[0].head
    assert b"persimmonhall-caller-service: glyph\r\n" in head
    assert b"accept: text/html\r\n" in head
    assert b"liar" not in head
    assert b"i-9" not in head
    assert b"connection" not in head


async def test_answer_is_passed_on_unchanged(autojump_clock):
    """Return status, headers and body of the server."""
    fixture = EntryFixture(make_route())
    exchange = fixture.send_request()
    fixture.reply(status=418, head=b"x: y\r\n", body=b"tea")
    assert (exchange.status, exchange.head, exchange.body) == (418, b"x: y\r\n", b"tea")


async def test_lost_non_idempotent_request_is_not_retried(autojump_clock):
    """Answer 502 without a claim that it did not run, as it may have run."""
    fixture = EntryFixture(NON_IDEMPOTENT_ROUTE)
    exchange = fixture.send_request()
    fixture.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    assert len(fixture.calls) == 1
    assert refusal_status(exchange.refusal) == 502


async def test_non_idempotent_request_is_rerouted_if_it_did_not_run(
    autojump_clock,
):
    """Try another server after a closed gate, and only then."""
    fixture = EntryFixture(NON_IDEMPOTENT_ROUTE)
    exchange = fixture.send_request()
    fixture.reply(error=ErrorKind.LEAVING, ran=Ran.NO)
    assert len(fixture.calls) == 2
    fixture.reply(status=201)
    assert exchange.status == 201


async def test_lost_idempotent_request_is_sent_to_another_server(autojump_clock):
    """Retry it once, at a server that was not tried."""
    fixture = EntryFixture(make_route())
    exchange = fixture.send_request()
    fixture.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    addresses = [address for address, _ in fixture.links.sent]
    assert len(set(addresses)) == 2
    fixture.reply()
    assert exchange.status == 200


async def test_retries_stay_within_the_max_servers_of_the_route(autojump_clock):
    """Send to no more servers than the route allows, whatever fails."""
    fixture = EntryFixture(make_route(max_servers=2))
    exchange = fixture.send_request()
    for _ in range(2):
        fixture.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    assert len(fixture.calls) == 2
    assert exchange.refusal.ran is Ran.UNKNOWN


async def test_refusal_after_a_lost_call_does_not_claim_not_run(autojump_clock):
    """Never report "not run" once a server may have run the request."""
    fixture = EntryFixture(make_route())
    exchange = fixture.send_request()
    fixture.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    for _ in range(4):
        if exchange.status is None:
            fixture.reply(error=ErrorKind.LEAVING, ran=Ran.NO)
    assert exchange.refusal.ran is Ran.UNKNOWN
    assert refusal_status(exchange.refusal) == 502


async def test_failed_answer_is_delivered_if_the_retry_fails(autojump_clock):
    """Deliver the server's own error answer if the retry fails."""
    fixture = EntryFixture(make_route())
    exchange = fixture.send_request()
    fixture.reply(status=500, head=b"stamp: a\r\n")
    assert exchange.status is None
    fixture.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    assert (exchange.status, exchange.head) == (500, b"stamp: a\r\n")


async def test_overload_of_a_called_service_refuses_the_least_urgent_roots(
    autojump_clock,
):
    """Overloaded called service: refuse browsing before it runs, admit orders."""
    urgent = make_route("order", prefix="/order/", priority=0)
    browse = make_route("browse", prefix="/browse/", priority=2)
    fixture = EntryFixture(urgent, browse)
    now = trio.current_time()
    for route in ("order", "browse"):
        fixture.levels.record_level(route, 1.5, now)
    orders = [fixture.send_request(path="/order/1") for _ in range(50)]
    browses = [fixture.send_request(path="/browse/1") for _ in range(200)]
    assert all(exchange.status is None for exchange in orders)
    refused = [e for e in browses if e.status is ErrorKind.OVERLOADED]
    assert 70 <= len(refused) <= 130
    assert all(e.refusal.ran is Ran.NO for e in refused)


@pytest.mark.parametrize(("waited_s", "left_ms"), [(0.025, 800), (0.125, None)])
async def test_root_waits_for_room_within_an_eighth_of_its_objective(
    autojump_clock, waited_s, left_ms
):
    """Full service: offer a root to another gate only for what is left of its wait."""
    fixture = EntryFixture(make_route(latency_objective_ms=1000))
    exchange = fixture.send_request()
    await trio.sleep(waited_s)
    fixture.reply(error=ErrorKind.OVERLOADED, ran=Ran.NO)
    if left_ms is None:
        assert exchange.refusal.kind is ErrorKind.OVERLOADED
        assert exchange.refusal.ran is Ran.NO
        assert len(fixture.calls) == 1
    else:
        assert exchange.status is None
        assert fixture.calls[1].objective_ms == pytest.approx(left_ms, abs=2)


async def test_nested_calls_are_admitted_at_any_level(
    autojump_clock,
):
    """Refuse no call of the local server at the entry: its root already runs."""
    fixture = EntryFixture(make_route(priority=5), make_route("b", prefix="/b/"))
    fixture.levels.record_level("charts", 0.3, trio.current_time())
    fixture.origins.keep(set())
    exchanges = [fixture.send_request() for _ in range(50)]
    assert all(exchange.status is None for exchange in exchanges)
    assert all(call.is_nested for call in fixture.calls)


async def test_retry_after_is_spread_within_the_latency_objective(
    autojump_clock,
):
    """Give each refused caller a random time that can still meet the objective."""
    fixture = EntryFixture(make_route("b", prefix="/b/"), make_route(priority=1))
    fixture.levels.record_level("charts", 0.3, trio.current_time())
    refusals = [
        e.refusal for e in (fixture.send_request() for _ in range(100)) if e.refusal
    ]
    times = [refusal.retry_after_s for refusal in refusals]
    assert max(times) - min(times) > 0.3
    assert 0 < min(times) <= max(times) < 1.0


async def test_deadline_refuses_with_unknown_run_and_cancels_the_call(autojump_clock):
    """Send the final answer at the deadline and cancel the call."""
    fixture = EntryFixture(make_route(timeout_ms=1000))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.timers.run)
        exchange = fixture.send_request()
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert exchange.status is ErrorKind.DEADLINE_EXCEEDED
    assert refusal_status(exchange.refusal) == 504
    assert fixture.links.cancelled == [fixture.calls[-1].number]


async def test_deadline_of_a_call_that_was_never_sent_means_not_run(autojump_clock):
    """Answer 503 if the link did not open before the deadline."""
    fixture = EntryFixture(make_route(timeout_ms=1000))
    fixture.links.is_connected = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.timers.run)
        exchange = fixture.send_request()
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert exchange.refusal.ran is Ran.NO
    assert refusal_status(exchange.refusal) == 503


async def test_silent_server_causes_a_retry_before_the_deadline(autojump_clock):
    """Lost answer: try another server well before the caller's deadline."""
    fixture = EntryFixture(make_route(timeout_ms=6000))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.timers.run)
        for _ in range(20):
            fixture.send_request()
            await trio.sleep(0.02)
            fixture.reply()
        exchange = fixture.send_request()
        await trio.sleep(0.6)
        assert fixture.links.cancelled == [fixture.calls[-2].number]
        fixture.reply()
        nursery.cancel_scope.cancel()
    assert exchange.status == 200


async def test_abandoned_request_is_cancelled(autojump_clock):
    """Cancel the call of a caller that has gone away; drop a late reply."""
    fixture = EntryFixture(make_route())
    exchange = fixture.send_request()
    fixture.entry.abandon(exchange)
    assert fixture.links.cancelled == [fixture.calls[0].number]
    fixture.reply()
    assert exchange.status is None


async def test_failed_connection_to_a_peer_means_not_run(autojump_clock):
    """Try another server when a peer accepted no connection."""
    fixture = EntryFixture(NON_IDEMPOTENT_ROUTE)
    fixture.send_request()
    fixture.entry.handle_link_failure(fixture.calls[0].number, Ran.NO, "no connection")
    assert len(fixture.calls) == 2


@pytest.mark.parametrize(
    ("wait", "left"), [(b"400", 400), (b"9000", 5000), (b"x", 5000)]
)
async def test_remaining_time_is_the_shorter_of_caller_and_route(
    autojump_clock, wait, left
):
    """Pass on the remaining time of the shorter timeout."""
    fixture = EntryFixture(make_route(timeout_ms=5000))
    fixture.send_request(**{HEADERS.deadline_ms.decode().replace("-", "_"): wait})
    assert left * 0.89 <= fixture.calls[0].remaining_ms <= left


async def test_route_of_the_local_service_is_requested_by_callers(autojump_clock):
    """Distinguish roots from calls: no server calls its own service, and callers
    are on every machine."""
    route = make_route(targets=(WeightedService("glyph", 1),))
    fixture = EntryFixture(route)
    fixture.origins.keep(set())
    fixture.send_request()
    assert not fixture.gate.calls[0].is_nested


async def test_replies_report_which_routes_callers_request(autojump_clock):
    """Replies of the nodes of a service report that callers request its route."""
    fixture = EntryFixture(make_route())
    fixture.origins.keep(set())
    fixture.send_request()
    assert fixture.calls[0].is_nested
    fixture.reply(load=GateLoad(1, 0, 100, 1.0, is_requested_by_callers=True))
    fixture.send_request()
    assert not fixture.calls[1].is_nested


async def test_root_of_a_route_whose_runs_fail_is_refused_before_it_runs(
    autojump_clock,
):
    """Refuse as not run with a Retry-After time; admit a few as probes."""
    fixture = EntryFixture(make_route())
    failing_load = GateLoad(
        1, 0, 100, 9.0, is_requested_by_callers=True, success_rate=0.0
    )
    fixture.send_request()
    fixture.reply(load=failing_load)
    refused = 0
    for _ in range(60):
        before = len(fixture.calls)
        exchange = fixture.send_request()
        if len(fixture.calls) > before:
            fixture.reply(load=failing_load)
            continue
        refused += 1
        assert exchange.refusal.kind is ErrorKind.OVERLOADED
        assert exchange.refusal.ran is Ran.NO
        assert exchange.refusal.retry_after_s > 0
    assert 45 <= refused < 60


async def test_stopping_entry_refuses_requests_it_cannot_finish(autojump_clock):
    """Refuse late requests as not run; once begun they would end with the process."""
    fixture = EntryFixture(make_route())
    for _ in range(20):
        fixture.send_request()
        await trio.sleep(0.2)
        fixture.reply()
    now = trio.current_time()
    fixture.shutdown.set(now + 1.0, now + 1.0)
    begun = fixture.send_request()
    assert begun.status is None
    fixture.reply()
    assert begun.status == 200
    await trio.sleep(0.9)
    refused = fixture.send_request()
    assert refused.status is ErrorKind.LEAVING
    assert refusal_status(refused.refusal) == 503
    assert refused.refusal.ran is Ran.NO


# An order sent late in a shutdown ran longer than others and was broken off at the end.
async def test_order_that_may_outlive_a_shutdown_is_refused(autojump_clock):
    """Refuse it as not run, once callers have left, unless its deadline comes first."""
    fixture = EntryFixture(NON_IDEMPOTENT_ROUTE)
    for _ in range(20):
        fixture.send_request()
        await trio.sleep(0.2)
        fixture.reply()
    now = trio.current_time()
    fixture.shutdown.set(now + 1.0, now + 3.0)
    early = fixture.send_request(attempt="a1")
    assert early.status is None
    fixture.reply()
    await trio.sleep(1.0)
    refused = fixture.send_request(attempt="a2")
    assert refused.status is ErrorKind.LEAVING
    assert refused.refusal.ran is Ran.NO
    deadline = {HEADERS.deadline_ms.decode().replace("-", "_"): b"1500"}
    served = fixture.send_request(attempt="a3", **deadline)
    assert served.status is None


# Calls of the local server were passed on to the last moment and broken off.
async def test_call_of_the_local_server_may_not_outlive_a_shutdown(autojump_clock):
    """Refuse late calls as not run; bound the time that the others give a server."""
    fixture = EntryFixture(NON_IDEMPOTENT_ROUTE)
    fixture.origins.keep(set())
    fixture.send_request()
    await trio.sleep(0.2)
    fixture.reply()
    now = trio.current_time()
    fixture.shutdown.set(now + 1.0, now + 3.0)
    begun = fixture.send_request(attempt="a2")
    assert begun.status is None
    assert fixture.calls[-1].is_nested
    assert fixture.calls[-1].remaining_ms < 3000
    await trio.sleep(1.5)
    refused = fixture.send_request(attempt="a3")
    assert refused.status is ErrorKind.LEAVING
    assert refused.refusal.ran is Ran.NO


# Giving up an overdue call breaks it off if no other server can be tried any more.
async def test_overdue_call_is_awaited_if_it_can_not_be_sent_again(autojump_clock):
    """Late in a shutdown: wait for the answer in place of a second attempt."""
    fixture = EntryFixture(make_route())
    fixture.send_request()
    await trio.sleep(0.1)
    fixture.reply()
    now = trio.current_time()
    fixture.shutdown.set(now + 0.2, now + 1.5)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.timers.run)
        begun = fixture.send_request(attempt="a2")
        await trio.sleep(1.2)
        nursery.cancel_scope.cancel()
    assert not fixture.links.cancelled
    fixture.reply()
    assert begun.status == 200


# A call was given up for a second attempt, which a gate that stops, too, refused.
async def test_stopping_entry_awaits_overdue_calls(autojump_clock):
    """Deliver the late answer in place of a 502 while the server is at work."""
    fixture = EntryFixture(make_route())
    for _ in range(20):
        fixture.send_request()
        await trio.sleep(0.1)
        fixture.reply()
    now = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.timers.run)
        begun = fixture.send_request(attempt="a2")
        fixture.shutdown.set(now + 2.8, now + 5.3)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert not fixture.links.cancelled
    fixture.reply()
    assert begun.status == 200


# A call was given up for a second attempt after the only other server had left.
async def test_overdue_call_is_awaited_once_no_other_server_is_left(autojump_clock):
    """Deliver the late answer in place of a 502 while the server is at work."""
    fixture = EntryFixture(make_route(), servers=2)
    for _ in range(20):
        fixture.send_request()
        await trio.sleep(0.1)
        fixture.reply()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fixture.timers.run)
        begun = fixture.send_request(attempt="a2")
        used = fixture.links.sent[-1][0].host
        for node, host in (("s0", "10.0.0.2"), ("s1", "10.0.0.3")):
            if host != used:
                fixture.table.put(make_member(node, service="", host=host))
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert not fixture.links.cancelled
    fixture.reply()
    assert begun.status == 200


@pytest.mark.parametrize(("is_connected", "status"), [(True, 502), (False, 503)])
async def test_stopping_entry_answers_the_requests_that_are_left(
    autojump_clock, is_connected, status
):
    """End each open request with an answer that says whether it may have run."""
    fixture = EntryFixture(NON_IDEMPOTENT_ROUTE)
    fixture.links.is_connected = is_connected
    exchange = fixture.send_request()
    fixture.entry.refuse_waiting()
    assert refusal_status(exchange.refusal) == status
    assert fixture.links.cancelled
    assert not fixture.entry.in_flight
