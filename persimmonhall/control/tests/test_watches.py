"""Test when a control VM declines the watch of a node."""

from types import SimpleNamespace

import trio

from persimmonhall.control.control_service import STALE_AFTER_S, ControlService
from persimmonhall.control.messages import REPLIES, REQUESTS, Declined
from persimmonhall.ids import LogIndex
from persimmonhall.release.messages import (
    WATCH_TIMEOUT_S,
    HeldRelease,
    ReleaseSeen,
    WatchRelease,
)

HELD = HeldRelease(LogIndex(5), 1, b"{}")


class FakeReplica:
    """Hold a release, be current or not, and report no change by itself."""

    def __init__(self):
        self.is_current = True
        self.driver = SimpleNamespace(changed=trio.Event())
        self.machine = SimpleNamespace(releases=SimpleNamespace(current=HELD))


async def watch(service: ControlService, after: int):
    """Return the reply to a watch and how long it took."""
    started_at = trio.current_time()
    reply = await service.handle(REQUESTS.encode(WatchRelease(LogIndex(after))))
    return REPLIES.decode(reply), trio.current_time() - started_at


# A control VM that was left out of the set told its zone of nothing newer for good.
async def test_watch_ends_when_the_replica_may_have_missed_a_release(
    nursery, autojump_clock
):
    replica = FakeReplica()
    service = ControlService(replica)
    nursery.start_soon(service.run)
    assert await watch(service, 5) == (
        ReleaseSeen(HeldRelease(LogIndex(0), 0, b"")),
        WATCH_TIMEOUT_S,
    )
    replica.is_current = False
    reply, seconds = await watch(service, 5)
    assert isinstance(reply, Declined)
    assert STALE_AFTER_S < seconds < WATCH_TIMEOUT_S
    reply, seconds = await watch(service, 5)
    assert isinstance(reply, Declined) and seconds == 0
    assert await watch(service, 4) == (ReleaseSeen(HELD), 0)
    replica.is_current = True
    await trio.sleep(STALE_AFTER_S)
    assert isinstance((await watch(service, 5))[0], ReleaseSeen)


async def test_watch_outlasts_an_election(nursery, autojump_clock):
    replica = FakeReplica()
    service = ControlService(replica)
    nursery.start_soon(service.run)
    replica.is_current = False
    nursery.start_soon(_regain_leader, replica)
    assert isinstance((await watch(service, 5))[0], ReleaseSeen)


async def _regain_leader(replica: FakeReplica) -> None:
    await trio.sleep(STALE_AFTER_S / 2)
    replica.is_current = True
