"""Test how the driver tracks role changes caused by messages."""

import trio

from persimmonhall.raft.driver import Driver
from persimmonhall.raft.messages import Append, Vote
from persimmonhall.raft.state import Stored
from persimmonhall.raft.storage import open_storage
from persimmonhall.raft.tests.test_core import make_core

RUNNING_S = 10.0


async def _follow(folder, nursery, clock):
    """Run a follower whose leader is b."""
    core = make_core("a", "a", "b", "c")
    storage = open_storage(folder, "a", Stored()).unwrap().storage
    driver = Driver(core, storage, lambda *_: None, lambda _: None)
    nursery.start_soon(driver.run)
    clock.jump(RUNNING_S)
    core.step("b", Append(1, 1, 1, (), 1, 0), trio.current_time())
    driver.wake()
    await driver.changed.wait()
    return core, driver


async def test_leader_was_known_until_it_was_lost(tmp_path, mock_clock):
    async with trio.open_nursery() as nursery:
        core, driver = await _follow(tmp_path, nursery, mock_clock)
        core.lost("b", trio.current_time())
        assert driver.leaderless_since == trio.current_time()
        driver.wake()
        await driver.changed.wait()
        assert driver.leaderless_since == trio.current_time()
        nursery.cancel_scope.cancel()


async def test_leader_was_known_until_another_asked_for_the_vote(tmp_path, mock_clock):
    async with trio.open_nursery() as nursery:
        core, driver = await _follow(tmp_path, nursery, mock_clock)
        now = trio.current_time()
        core.step("c", Vote(2, 1, 1, transfer=True), now)
        assert core.leader_id is None
        driver.wake()
        await driver.changed.wait()
        assert driver.leaderless_since == now
        nursery.cancel_scope.cancel()
