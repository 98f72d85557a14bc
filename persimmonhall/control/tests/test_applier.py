"""Test that snapshots written and restored block by block lose nothing."""

import itertools
import random

import trio

from persimmonhall.control import applier
from persimmonhall.control.applier import Applier
from persimmonhall.control.bootstrap import make_initial_state
from persimmonhall.control.messages import COMMANDS
from persimmonhall.control.pending_commands import PendingCommands
from persimmonhall.once.claims import CLAIMS_PER_BLOCK
from persimmonhall.once.messages import ClaimKey
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.messages import Snapshot
from persimmonhall.raft.storage import open_storage

BLOCKS = 6
CLAIMS = BLOCKS * CLAIMS_PER_BLOCK


def make_claim(number: int) -> bytes:
    """Return an encoded command that claims a key."""
    return COMMANDS.encode(
        ClaimKey(f"c{number}", "cue", f"key-{number}", 1, "node", 1, 1000)
    )


class ReplicaFixture:
    """Run a cluster of one replica."""

    def __init__(self, folder, nursery, snapshot_entries=CLAIMS, files=None):
        first = make_initial_state("disk", "control-1", "127.0.0.1:1")
        opened = open_storage(folder, "disk", first, files).unwrap()
        self.core = RaftCore(opened.disk_id, opened.stored, random.Random(1), 0.0)
        wake = lambda: self.driver.wake()  # noqa: E731
        stage = lambda snapshot: self.driver.stage_snapshot(snapshot)  # noqa: E731
        self.applier = Applier(
            self.core, PendingCommands(), wake, stage, snapshot_entries
        )
        self.driver = RaftDriver(
            self.core, opened.storage, lambda *_: None, self.applier.apply
        )
        nursery.start_soon(self.driver.run)
        nursery.start_soon(self.applier.run)

    @property
    def claims(self):
        """Return the claim table."""
        return self.applier.machine.claims

    async def wait_until(self, condition):
        """Wait until a condition holds, checked on each change of the driver."""
        while not condition():
            await self.driver.changed.wait()

    async def claim(self, first, last):
        """Claim keys and wait until they are applied."""
        await self.wait_until(lambda: self.core.accepts_proposals)
        for number in range(first, last):
            index = self.core.propose(make_claim(number))
        self.driver.wake()
        await self.wait_until(lambda: self.applier.machine.index >= index)


async def test_entries_committed_while_a_snapshot_is_written_survive(tmp_path):
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            fixture = ReplicaFixture(tmp_path, nursery)
            await fixture.claim(0, CLAIMS)
            assert fixture.core.snapshot_index == 0
            await fixture.claim(CLAIMS, CLAIMS + 50)
            before = fixture.core.snapshot_index
            await fixture.wait_until(lambda: fixture.core.snapshot_index > 0)
            # An entry committed after the snapshot depends on the sync of the snapshot.
            await fixture.claim(0, 1)
            nursery.cancel_scope.cancel()
        assert before == 0
        stored = open_storage(tmp_path, "disk", None).unwrap().stored
    assert len(stored.snapshot.parts) >= BLOCKS
    keys = {e.data for e in stored.entries}
    assert keys >= {make_claim(n) for n in range(CLAIMS, CLAIMS + 50)}


async def test_restart_restores_the_snapshot_and_later_entries(tmp_path):
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            fixture = ReplicaFixture(tmp_path, nursery)
            await fixture.claim(0, CLAIMS + 10)
            await fixture.wait_until(lambda: fixture.core.snapshot_index > 0)
            await fixture.claim(CLAIMS + 10, CLAIMS + 11)
            nursery.cancel_scope.cancel()
        async with trio.open_nursery() as nursery:
            again = ReplicaFixture(tmp_path, nursery)
            await again.wait_until(lambda: again.core.accepts_proposals)
            await again.wait_until(lambda: again.claims.count == CLAIMS + 11)
            nursery.cancel_scope.cancel()


async def test_newer_snapshot_replaces_the_one_being_restored(tmp_path):
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            fixture = ReplicaFixture(tmp_path, nursery)
            await fixture.claim(0, CLAIMS)
            parts = tuple(fixture.applier.machine.blocks())
            replicas = fixture.core.replicas
            fixture.applier.apply((Snapshot(10_000, 1, replicas, parts),))
            assert fixture.applier.has_pending_items
            assert fixture.applier.machine.index < 10_000
            await trio.lowlevel.checkpoint()
            fixture.applier.apply((Snapshot(20_000, 1, replicas, parts[:2]),))
            await fixture.wait_until(lambda: not fixture.applier.has_pending_items)
            assert fixture.applier.machine.index == 20_000
            assert fixture.claims.count <= 2 * CLAIMS_PER_BLOCK
            nursery.cancel_scope.cancel()


async def test_large_state_is_snapshotted_less_often(tmp_path):
    indexes = set()
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            fixture = ReplicaFixture(tmp_path, nursery, snapshot_entries=8)
            # The disk speed decides how many entries arrive while one is written.
            for first in itertools.count(0, 4):
                await fixture.claim(first, first + 4)
                indexes.add(fixture.core.snapshot_index)
                if first >= CLAIMS and len(indexes) > 3:
                    break
            nursery.cancel_scope.cancel()
    gaps = [(a, b - a) for a, b in itertools.pairwise(sorted(indexes))]
    assert len(gaps) >= 3
    assert all(
        gap >= (index - 4) // applier.SNAPSHOT_ROWS_PER_LOG_ENTRY for index, gap in gaps
    )
