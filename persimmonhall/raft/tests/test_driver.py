"""Test the driver: role changes caused by messages, and full disks."""

import errno

import pytest
import trio

from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.files import OsFileSystem
from persimmonhall.raft.messages import Append, AppendReply, Entry, EntryKind, Vote
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.storage import open_storage
from persimmonhall.raft.tests.test_core import make_core
from persimmonhall.raft.tests.test_crash_points import INITIAL

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


class FullFileSystem(OsFileSystem):
    """Refuse an operation while the disk is full."""

    refused = ""

    def write(self, descriptor, data):
        """Write, or refuse to after a part."""
        if self.refused == "write":
            self.refused = "rest"
            return super().write(descriptor, data[: len(data) // 2])
        self._check("rest")
        return super().write(descriptor, data)

    def sync(self, descriptor):
        """Sync, or refuse to."""
        self._check("sync")
        super().sync(descriptor)

    def _check(self, operation):
        if self.refused == operation:
            raise OSError(errno.ENOSPC, "No space left on device")


# A sync without space ended the process.
@pytest.mark.parametrize("refused", ["write", "sync"])
async def test_entries_are_acknowledged_once_the_disk_has_room(tmp_path, refused):
    """Append while the disk is full; acknowledge all of it afterwards only."""
    core, files, sent = make_core("a", "a", "b", "c"), FullFileSystem(), []
    opened = open_storage(tmp_path, "a", INITIAL, files).unwrap()
    send = lambda _, message: sent.append(message)  # noqa: E731
    driver = RaftDriver(core, opened.storage, send, lambda _: None)

    def matched():
        return max((m.match for m in sent if isinstance(m, AppendReply)), default=0)

    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(driver.run)
            files.refused = refused
            for index in range(2, 6):
                entry = Entry(index, 1, EntryKind.COMMAND, b"entry")
                append = Append(1, index - 1, 1, (entry,), 1, 0)
                core.step("b", append, trio.current_time())
                driver.wake()
                while not driver.disk_full_reason:
                    await trio.sleep(0.01)
            assert matched() == 1
            files.refused = ""
            while matched() < 5 or driver.disk_full_reason:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
    opened.storage.close()
    stored = open_storage(tmp_path, "a", INITIAL).unwrap().stored
    assert [entry.index for entry in stored.entries] == [1, 2, 3, 4, 5]
