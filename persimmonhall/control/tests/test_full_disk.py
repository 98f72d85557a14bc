"""Test changes and snapshots while the disk of a control VM is full."""

import errno
from types import SimpleNamespace

import trio

from persimmonhall.control.replica import Replica
from persimmonhall.control.tests.test_applier import (
    CLAIMS,
    ReplicaFixture,
    make_claim,
)
from persimmonhall.errors import ErrorKind
from persimmonhall.raft.files import OsFileSystem
from persimmonhall.raft.messages import Append, VoteReply
from persimmonhall.raft.role import Role
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.storage import open_storage
from persimmonhall.raft.tests.test_core import make_core

UPTIME_S = 10.0


class FullFileSystem(OsFileSystem):
    """Refuse writes that need more space than is free."""

    free_bytes = 1 << 40

    def write(self, descriptor, data):
        """Write, or refuse to."""
        if len(data) > self.free_bytes:
            raise OSError(errno.ENOSPC, "No space left on device")
        return super().write(descriptor, data)


async def start_replica(folder, nursery, clock):
    """Run one of three replicas, which knows of no leader."""
    core, files = make_core("a", "a", "b", "c"), FullFileSystem()
    storage = open_storage(folder, "a", PersistedState(), files).unwrap().storage
    peers = SimpleNamespace(set_exit_callback=lambda _: None, send=lambda *_: None)
    replica = Replica(core, storage, peers, 1000)
    nursery.start_soon(replica.run)
    clock.jump(UPTIME_S)
    return replica, files


async def wait_until_full(replica):
    """Wait until a write was refused."""
    while not replica.driver.disk_full_reason:
        await trio.sleep(0.01)


async def become_leader(replica):
    """Win an election with the votes of all."""
    core = replica.core
    while core.role is not Role.LEADER:
        for voter in ("b", "c"):
            is_pre = core.role is Role.PRE_CANDIDATE
            reply = VoteReply(core.term + is_pre, True, is_pre)
            core.step(voter, reply, trio.current_time())
        replica.driver.wake()
        await trio.sleep(0.01)


# Such a refusal is final: the VM that forwarded the change didn't ask the new leader.
async def test_former_leader_with_a_full_disk_refuses_as_not_the_leader(
    tmp_path, autojump_clock
):
    async with trio.open_nursery() as nursery:
        replica, files = await start_replica(tmp_path, nursery, autojump_clock)
        files.free_bytes = 0
        replica.core.step("b", Append(2, 1, 1, (), 1, 0), trio.current_time())
        replica.driver.wake()
        await wait_until_full(replica)
        refusal = (await replica.submit_locally(make_claim(1))).failure()
        assert refusal.kind is ErrorKind.NOT_LEADER
        nursery.cancel_scope.cancel()


async def test_leader_with_a_full_disk_refuses_as_not_the_leader_during_a_transfer(
    tmp_path, autojump_clock
):
    async with trio.open_nursery() as nursery:
        replica, files = await start_replica(tmp_path, nursery, autojump_clock)
        await become_leader(replica)
        files.free_bytes = 0
        replica.core.propose(make_claim(0))
        replica.driver.wake()
        await wait_until_full(replica)
        refusal = (await replica.submit_locally(make_claim(1))).failure()
        assert refusal.kind is ErrorKind.NOT_LEADER
        nursery.cancel_scope.cancel()


# Written with the log, the snapshot held up all entries, although they had room.
async def test_entries_are_applied_while_a_snapshot_has_no_room(tmp_path):
    files = FullFileSystem()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            fixture = ReplicaFixture(tmp_path, nursery, CLAIMS, files)
            await fixture.claim(0, 10)
            files.free_bytes = 4096
            for first in range(10, CLAIMS + 60, 10):
                await fixture.claim(first, first + 10)
            assert fixture.core.snapshot_index == 0
            files.free_bytes = 1 << 40
            for number in range(100):
                await fixture.claim(CLAIMS + 60 + number, CLAIMS + 61 + number)
                if fixture.core.snapshot_index > 0:
                    break
                await trio.sleep(0.05)
            assert fixture.core.snapshot_index > 0
            nursery.cancel_scope.cancel()
