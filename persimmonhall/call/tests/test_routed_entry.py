"""Check what an entry sends, sends again, refuses and promises."""

import pytest
import trio

from persimmonhall.call.tests.routed_parts import (
    HEADERS,
    EntryScene,
)
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.http.refusals import status_of
from persimmonhall.release.schema import RouteKind, WeightedService
from persimmonhall.release.tests.builders import make_route
from persimmonhall.wire.calls import GateLoad

ONCE = make_route(kind=RouteKind.NON_IDEMPOTENT)


async def test_without_a_release_the_caller_is_told_to_come_back(autojump_clock):
    """Answer 503 with a time, never 404, before any release is known."""
    exchange = EntryScene().ask()
    assert exchange.status is ErrorKind.NO_RELEASE
    assert status_of(exchange.refusal) == 503
    assert exchange.refusal.retry_after_s > 0


async def test_request_goes_on_with_the_caller_service_of_this_machine(
    autojump_clock,
):
    """Replace what a caller says of itself, and pass other headers on."""
    scene = EntryScene(make_route())
    names = {
        HEADERS.caller_service.decode().replace("-", "_"): b"liar",
        HEADERS.expected_instance.decode().replace("-", "_"): b"i-9",
        "connection": b"keep-alive",
        "accept": b"text/html",
    }
    scene.ask(**names)
    head = scene.calls[0].head
    assert b"persimmonhall-caller-service: glyph\r\n" in head
    assert b"accept: text/html\r\n" in head
    assert b"liar" not in head
    assert b"i-9" not in head
    assert b"connection" not in head


async def test_answer_is_passed_on_unchanged(autojump_clock):
    """Return status, headers and body of the server."""
    scene = EntryScene(make_route())
    exchange = scene.ask()
    scene.reply(status=418, head=b"x: y\r\n", body=b"tea")
    assert (exchange.status, exchange.head, exchange.body) == (418, b"x: y\r\n", b"tea")


async def test_lost_request_that_may_run_once_is_not_sent_again(autojump_clock):
    """Answer 502 and promise nothing, for it may have run."""
    scene = EntryScene(ONCE)
    exchange = scene.ask()
    scene.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    assert len(scene.calls) == 1
    assert status_of(exchange.refusal) == 502


async def test_request_that_may_run_once_goes_on_after_proof_that_it_has_not_run(
    autojump_clock,
):
    """Try another server after a closed gate, and only then."""
    scene = EntryScene(ONCE)
    exchange = scene.ask()
    scene.reply(error=ErrorKind.LEAVING, ran=Ran.NO)
    assert len(scene.calls) == 2
    scene.reply(status=201)
    assert exchange.status == 201


async def test_lost_idempotent_request_is_sent_to_another_server(autojump_clock):
    """Send it once more, to a server that was not tried."""
    scene = EntryScene(make_route())
    exchange = scene.ask()
    scene.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    addresses = [address for address, _ in scene.links.sent]
    assert len(set(addresses)) == 2
    scene.reply()
    assert exchange.status == 200


async def test_servers_tried_stay_within_the_route(autojump_clock):
    """Send to no more servers than the route allows, whatever fails."""
    scene = EntryScene(make_route(max_servers=2))
    exchange = scene.ask()
    for _ in range(2):
        scene.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    assert len(scene.calls) == 2
    assert exchange.refusal.ran is Ran.UNKNOWN


async def test_refusal_after_a_loss_claims_nothing(autojump_clock):
    """Never say "not run" once a server may have run the request."""
    scene = EntryScene(make_route())
    exchange = scene.ask()
    scene.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    for _ in range(4):
        if exchange.status is None:
            scene.reply(error=ErrorKind.LEAVING, ran=Ran.NO)
    assert exchange.refusal.ran is Ran.UNKNOWN
    assert status_of(exchange.refusal) == 502


async def test_failed_answer_is_kept_while_another_server_is_tried(autojump_clock):
    """Deliver the server's own failure when nothing better comes."""
    scene = EntryScene(make_route())
    exchange = scene.ask()
    scene.reply(status=500, head=b"stamp: a\r\n")
    assert exchange.status is None
    scene.reply(error=ErrorKind.CONNECTION_LOST, ran=Ran.UNKNOWN)
    assert (exchange.status, exchange.head) == (500, b"stamp: a\r\n")


async def test_overload_below_refuses_the_least_urgent_roots_at_once(autojump_clock):
    """Short deep service: browsing gives way before it runs, orders go on."""
    urgent = make_route("order", prefix="/order/", priority=0)
    browse = make_route("browse", prefix="/browse/", priority=2)
    scene = EntryScene(urgent, browse)
    now = trio.current_time()
    for route in ("order", "browse"):
        scene.levels.record_level(route, 1.5, now)
    orders = [scene.ask(path="/order/1") for _ in range(50)]
    browses = [scene.ask(path="/browse/1") for _ in range(200)]
    assert all(exchange.status is None for exchange in orders)
    refused = [e for e in browses if e.status is ErrorKind.OVERLOADED]
    assert 70 <= len(refused) <= 130
    assert all(e.refusal.ran is Ran.NO for e in refused)


async def test_calls_of_running_requests_are_let_in_whatever_the_level(
    autojump_clock,
):
    """Refuse no call of the own server at the entry: its root runs already."""
    scene = EntryScene(make_route(priority=5), make_route("b", prefix="/b/"))
    scene.levels.record_level("charts", 0.3, trio.current_time())
    scene.origins.keep(set())
    exchanges = [scene.ask() for _ in range(50)]
    assert all(exchange.status is None for exchange in exchanges)
    assert all(call.is_nested for call in scene.calls)


async def test_refused_callers_return_spread_out_within_their_objective(
    autojump_clock,
):
    """Give each refused caller a time of its own that can still be in time."""
    scene = EntryScene(make_route("b", prefix="/b/"), make_route(priority=1))
    scene.levels.record_level("charts", 0.3, trio.current_time())
    refusals = [e.refusal for e in (scene.ask() for _ in range(100)) if e.refusal]
    times = [refusal.retry_after_s for refusal in refusals]
    assert max(times) - min(times) > 0.3
    assert 0 < min(times) <= max(times) < 1.0


async def test_deadline_answers_at_once_and_claims_nothing(autojump_clock):
    """Give the final answer when the time is up, and stop the call."""
    scene = EntryScene(make_route(timeout_ms=1000))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scene.timers.run)
        exchange = scene.ask()
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert exchange.status is ErrorKind.DEADLINE_EXCEEDED
    assert status_of(exchange.refusal) == 504
    assert scene.links.cancelled == [scene.calls[-1].number]


async def test_silent_server_is_left_for_another_in_time(autojump_clock):
    """Lost answer: try another server long before the caller's deadline."""
    scene = EntryScene(make_route(timeout_ms=6000))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scene.timers.run)
        for _ in range(20):
            scene.ask()
            await trio.sleep(0.02)
            scene.reply()
        exchange = scene.ask()
        await trio.sleep(0.6)
        assert scene.links.cancelled == [scene.calls[-2].number]
        scene.reply()
        nursery.cancel_scope.cancel()
    assert exchange.status == 200


async def test_abandoned_request_is_cancelled(autojump_clock):
    """Stop the call of a caller that is gone; a late reply is dropped."""
    scene = EntryScene(make_route())
    exchange = scene.ask()
    scene.entry.abandon(exchange)
    assert scene.links.cancelled == [scene.calls[0].number]
    scene.reply()
    assert exchange.status is None


async def test_lost_link_that_never_connected_is_proof_of_no_run(autojump_clock):
    """Go on to another server when a peer took no connection."""
    scene = EntryScene(ONCE)
    scene.ask()
    scene.entry.take_link_failure(scene.calls[0].number, Ran.NO, "no connection")
    assert len(scene.calls) == 2


@pytest.mark.parametrize(
    ("wait", "left"), [(b"400", 400), (b"9000", 5000), (b"x", 5000)]
)
async def test_time_left_is_the_callers_or_the_routes(autojump_clock, wait, left):
    """Pass on what is left of the shorter of both times."""
    scene = EntryScene(make_route(timeout_ms=5000))
    scene.ask(**{HEADERS.deadline_ms.decode().replace("-", "_"): wait})
    assert left * 0.89 <= scene.calls[0].remaining_ms <= left


async def test_route_asked_for_next_to_its_own_service_is_of_callers(autojump_clock):
    """Tell roots from calls: no server calls its own service, and callers are
    everywhere."""
    route = make_route(targets=(WeightedService("glyph", 1),))
    scene = EntryScene(route)
    scene.origins.keep(set())
    scene.ask()
    assert not scene.gate.calls[0].is_nested


async def test_replies_tell_which_routes_callers_ask_for(autojump_clock):
    """Learn from the nodes of a service that its route is asked for by callers."""
    scene = EntryScene(make_route())
    scene.origins.keep(set())
    scene.ask()
    assert scene.calls[0].is_nested
    scene.reply(load=GateLoad(1, 0, 100, 1.0, is_asked_by_callers=True))
    scene.ask()
    assert not scene.calls[1].is_nested


async def test_root_of_a_route_whose_runs_fail_is_refused_before_it_runs(
    autojump_clock,
):
    """Refuse at once, say that it has not run and when to come back; try a few."""
    scene = EntryScene(make_route())
    vain = GateLoad(1, 0, 100, 9.0, is_asked_by_callers=True, success=0.0)
    scene.ask()
    scene.reply(load=vain)
    refused = 0
    for _ in range(60):
        before = len(scene.calls)
        exchange = scene.ask()
        if len(scene.calls) > before:
            scene.reply(load=vain)
            continue
        refused += 1
        assert exchange.refusal.kind is ErrorKind.OVERLOADED
        assert exchange.refusal.ran is Ran.NO
        assert exchange.refusal.retry_after_s > 0
    assert 45 <= refused < 60


async def test_stopping_entry_begins_nothing_that_it_could_not_answer(autojump_clock):
    """Refuse late requests as not run; one begun would be cut with the process."""
    scene = EntryScene(make_route())
    for _ in range(20):
        scene.ask()
        await trio.sleep(0.2)
        scene.reply()
    scene.entry.stop_at(trio.current_time() + 1.0)
    begun = scene.ask()
    assert begun.status is None
    scene.reply()
    assert begun.status == 200
    await trio.sleep(0.9)
    refused = scene.ask()
    assert refused.status is ErrorKind.LEAVING
    assert status_of(refused.refusal) == 503
    assert refused.refusal.ran is Ran.NO
