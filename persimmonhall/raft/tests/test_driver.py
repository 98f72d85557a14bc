"""Test how the driver tracks role changes caused by messages."""

import trio

from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.messages import Append, Vote
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.storage import open_storage
from persimmonhall.raft.tests.test_core import make_core

UPTIME_S = 10.0


async def _start_follower(folder, nursery, clock):
    """Run a follower whose leader is b."""
    core = make_core("a", "a", "b", "c")
    storage = open_storage(folder, "a", PersistedState()).unwrap().storage
    driver = RaftDriver(core, storage, lambda *_: None, lambda _: None)
    nursery.start_soon(driver.run)
    clock.jump(UPTIME_S)
    core.step("b", Append(1, 1, 1, (), 1, 0), trio.current_time())
    driver.wake()
    await driver.changed.wait()
    return core, driver


async def test_leaderless_since_reported_leader_exit(tmp_path, mock_clock):
    async with trio.open_nursery() as nursery:
        core, driver = await _start_follower(tmp_path, nursery, mock_clock)
        core.report_peer_exit("b", trio.current_time())
        assert driver.leaderless_since == trio.current_time()
        driver.wake()
        await driver.changed.wait()
        assert driver.leaderless_since == trio.current_time()
        nursery.cancel_scope.cancel()


async def test_leaderless_since_vote_request_of_transfer(tmp_path, mock_clock):
    async with trio.open_nursery() as nursery:
        core, driver = await _start_follower(tmp_path, nursery, mock_clock)
        now = trio.current_time()
        core.step("c", Vote(2, 1, 1, transfer=True), now)
        assert core.leader_id is None
        driver.wake()
        await driver.changed.wait()
        assert driver.leaderless_since == now
        nursery.cancel_scope.cancel()
