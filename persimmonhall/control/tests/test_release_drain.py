"""Check that a control VM answers what has arrived before it stops."""

import trio

from persimmonhall.control.control_service import ControlService
from persimmonhall.control.messages import REQUESTS
from persimmonhall.control.serve_releases import ReleaseComponents
from persimmonhall.dialect import NativeDialect
from persimmonhall.events import EventLog
from persimmonhall.http.tests.test_caller_server import (
    CallerServerFixture,
    connect_blocking,
    make_get_request,
)
from persimmonhall.release.messages import HeldRelease, WatchRelease

CALLERS = 20


async def test_requests_of_operators_are_answered_before_a_planned_stop(nursery):
    """Answer those in progress, unread and still in the backlog."""
    fixture = CallerServerFixture(nursery)
    components = ReleaseComponents(NativeDialect(), EventLog("n"))
    components.server = fixture.server
    await (await fixture.connect()).aclose()
    callers = [connect_blocking(fixture.address) for _ in range(CALLERS)]
    for caller in callers:
        caller.sendall(make_get_request("/release"))
    is_drained = trio.Event()

    async def drain():
        await components.drain()
        is_drained.set()

    nursery.start_soon(drain)
    await fixture.wait_for_requests(CALLERS)
    assert not is_drained.is_set()
    for exchange in fixture.handler.exchanges:
        exchange.answer(200, b"", b"release")
    with trio.fail_after(2):
        await is_drained.wait()
    for caller in callers:
        answer = await trio.to_thread.run_sync(caller.recv, 4096)
        assert answer.endswith(b"release")
        caller.close()


class _Replica:
    """Hold no release."""

    class machine:  # noqa: N801
        """Stand in for the state machine."""

        class releases:  # noqa: N801
            """Stand in for the release table."""

            current = HeldRelease(0, 0, b"")


async def test_release_watches_do_not_delay_a_planned_stop(nursery, autojump_clock):
    """Drain at once while nodes watch for a release."""
    service = ControlService(_Replica())
    nursery.start_soon(service.handle, REQUESTS.encode(WatchRelease(0)))
    await trio.sleep(0.1)
    start = trio.current_time()
    await service.drain()
    assert trio.current_time() == start
