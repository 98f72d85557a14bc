"""Check what a gate starts, queues and refuses under each pattern of load."""

import trio

from persimmonhall.call.routed_gate import ROOT_WAIT_SHARE, usable_slots
from persimmonhall.call.tests.routed_parts import HEADERS, GateScene
from persimmonhall.dialect import InstanceState
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.http.backends import BackendFailure, SendFault
from persimmonhall.release.tests.builders import make_call, make_report

ANSWER = ((HEADERS.attempt, b"a1"),)


async def test_request_carries_what_the_server_needs(autojump_clock):
    """Add the time left and the expected instance behind the caller's own head."""
    scene = GateScene(make_report())
    scene.begin(make_call(body=b"xyz", remaining_ms=400))
    data = scene.pool.sent[0].data
    assert data.startswith(b"GET /charts/1 HTTP/1.1\r\nhost: maps.example\r\n")
    assert b"persimmonhall-deadline-ms: 400\r\n" in data
    assert b"persimmonhall-expected-instance: i-1\r\n" in data
    assert data.endswith(b"content-length: 3\r\n\r\nxyz")


async def test_server_never_has_more_than_it_holds(autojump_clock):
    """Surge of 100 calls at a server of 10 slots: the rest waits here."""
    scene = GateScene(make_report(slots=10))
    for number in range(100):
        scene.begin(make_call(number, is_nested=True))
    assert len(scene.pool.sent) == usable_slots(10)
    scene.pool.answer()
    assert len(scene.pool.sent) == usable_slots(10)


async def test_calls_of_running_requests_push_roots_out_of_a_full_queue(
    autojump_clock,
):
    """Refuse waiting roots, the least urgent first, before a nested call."""
    scene = GateScene(make_report(slots=2))
    scene.gate._mean_run_s = 0.1
    scene.begin(make_call(1))
    scene.begin(make_call(2, rank=1, objective_ms=1000))
    scene.begin(make_call(3, rank=2, objective_ms=100))
    assert scene.replies[3].error is ErrorKind.OVERLOADED
    for number in range(4, 30):
        scene.begin(make_call(number, is_nested=True, remaining_ms=300))
    assert scene.replies[2].error is ErrorKind.OVERLOADED
    assert scene.replies[2].ran is Ran.NO
    assert 4 not in scene.replies


async def test_root_that_waited_its_share_is_refused(autojump_clock):
    """Give a root its refusal while its next try can still be in time."""
    scene = GateScene(make_report(slots=1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scene.timers.run)
        scene.begin(make_call(1))
        scene.begin(make_call(2, objective_ms=1000))
        await trio.sleep(ROOT_WAIT_SHARE * 0.9)
        assert 2 not in scene.replies
        await trio.sleep(ROOT_WAIT_SHARE * 0.2)
        assert scene.replies[2].error is ErrorKind.OVERLOADED
        nursery.cancel_scope.cancel()


async def test_draining_server_gets_nothing_new(autojump_clock):
    """Hand back what waits and refuse what comes; what runs goes on."""
    scene = GateScene(make_report(slots=1))
    scene.begin(make_call(1))
    scene.begin(make_call(2))
    scene.gate.set_instance(make_report(state=InstanceState.DRAINING, sequence=2))
    scene.begin(make_call(3))
    assert scene.replies[2].error is scene.replies[3].error is ErrorKind.LEAVING
    scene.pool.answer(headers=ANSWER)
    assert scene.replies[1].status == 200


async def test_refused_connection_takes_the_server_down_until_it_reports(
    autojump_clock,
):
    """Send nothing to a server that takes no connections, and tell peers."""
    scene = GateScene(make_report())
    scene.begin(make_call(1))
    scene.pool.fail(BackendFailure(SendFault.NOT_LISTENING, "refused"))
    scene.begin(make_call(2))
    assert scene.replies[1].ran is scene.replies[2].ran is Ran.NO
    assert scene.down == 1
    scene.gate.set_instance(make_report(instance="i-2", born_ms=2000))
    scene.begin(make_call(3))
    assert len(scene.pool.sent) == 1


async def test_other_instance_at_the_address_runs_nothing(autojump_clock):
    """Take a misdirected answer as proof that the call has not run."""
    scene = GateScene(make_report())
    scene.begin(make_call(1))
    scene.pool.answer(status=421)
    assert (scene.replies[1].error, scene.replies[1].ran) == (
        ErrorKind.NOT_EXECUTED,
        Ran.NO,
    )
    assert scene.down == 1


async def test_lost_answer_may_have_run(autojump_clock):
    """Claim nothing of a call whose connection broke."""
    scene = GateScene(make_report())
    scene.begin(make_call(1))
    scene.pool.fail(BackendFailure(SendFault.LOST, "reset"))
    assert scene.replies[1].ran is Ran.UNKNOWN


async def test_cancelled_calls_free_their_places(autojump_clock):
    """Stop the call of a caller that is gone and start the next."""
    scene = GateScene(make_report(slots=1))
    scene.begin(make_call(1), origin="a")
    scene.begin(make_call(2), origin="b")
    scene.begin(make_call(3), origin="b")
    scene.gate.cancel("b", 2)
    scene.gate.cancel_all("a")
    assert len(scene.pool.aborted) == 1
    assert scene.gate.in_flight == 1
    assert scene.replies == {}


async def test_call_for_another_service_is_not_run(autojump_clock):
    """Refuse a call that an old record of this address led here."""
    scene = GateScene(make_report(service="cue"))
    scene.begin(make_call(1))
    assert scene.replies[1].error is ErrorKind.NO_SERVER


async def test_deep_service_short_of_room_shows_in_replies_above(autojump_clock):
    """Pass the level of a called service on to the entries of this one."""
    scene = GateScene(make_report())
    scene.levels.set_ranks(3)
    scene.graph.count_run("charts")
    scene.graph.count_call("lookup")
    scene.graph.end_interval()
    scene.levels.record_level("lookup", 1.2, trio.current_time())
    scene.begin(make_call(1))
    scene.pool.answer(headers=ANSWER)
    assert scene.replies[1].load.level < 1.3


async def test_calls_under_way_at_a_death_are_reported(autojump_clock):
    """Name the calls that were lost when the server was found dead, and only then."""
    scene = GateScene(make_report())
    for number in (1, 2, 3):
        scene.begin(make_call(number))
    for _ in range(2):
        scene.pool.fail(BackendFailure(SendFault.LOST, "reset"))
    scene.pool.probes.pop()(False)
    assert [[call.number for call in calls] for calls in scene.deaths] == [[1, 2]]
    assert scene.down == 1


async def test_lost_connection_of_a_living_server_accuses_no_call(autojump_clock):
    """Suspect nothing when the server still takes connections."""
    scene = GateScene(make_report())
    scene.begin(make_call(1))
    scene.pool.fail(BackendFailure(SendFault.LOST, "reset"))
    scene.pool.probes.pop()(True)
    assert scene.deaths == []
    assert scene.down == 0


async def test_root_of_a_small_route_goes_before_the_line_of_a_large_one(
    autojump_clock,
):
    """Deep service full of calls: a rare direct request takes the next place."""
    scene = GateScene(make_report(slots=4))
    scene.gate._mean_run_s = 0.05
    scene.gate._run_s = {"charts": 0.05, "eta": 0.02}
    for number in range(200):
        scene.begin(make_call(number, is_nested=True))
    scene.gate.step(trio.current_time(), 0.1)
    scene.begin(make_call(900, route="eta", rank=1, objective_ms=100))
    assert 900 not in scene.replies
    scene.pool.answer(headers=ANSWER)
    assert scene.pool.sent[-1].attempt == b"a900"
