"""Check that a store loses nothing if its disk is full at any operation."""

import shutil

import pytest
from returns.result import Failure, Success

from persimmonhall.raft.messages import HardState
from persimmonhall.raft.outbox import WriteRequest
from persimmonhall.raft.storage import NoSpaceError, open_storage
from persimmonhall.raft.tests.crash_points import CrashError, closing_descriptors
from persimmonhall.raft.tests.full_disk_points import FullDisk
from persimmonhall.raft.tests.test_crash_points import (
    INITIAL,
    Writer,
    check_start,
    make_entry,
)

# Operations after the disk has room again whose crashes are checked.
CHECKED_AFTER = 4
MAX_TRIES = 30


@pytest.fixture(autouse=True)
def killed_processes(tmp_path):
    """Close the stores that a crash has left open."""
    with closing_descriptors(tmp_path):
        yield


class PatientWriter(Writer):
    """Try again while the disk is full."""

    def open(self, folder):
        """Open the store; write its state if that is not synced, as the core does."""
        for _ in range(MAX_TRIES):
            try:
                match open_storage(folder, "disk#1", INITIAL):
                    case Success(opened):
                        self.opened = opened.stored
                        if not opened.stored.is_synced:
                            self.sequence += 1
                            state = opened.stored.hard_state
                            self.write(opened.storage, WriteRequest(1, state))
                        return opened.storage
                    case Failure(reason):
                        pytest.fail(reason)
            except NoSpaceError:
                pass
        return pytest.fail("not opened")

    def stage(self, storage, snapshot):
        """Stage a snapshot; without space it is written unstaged later."""
        try:
            storage.stage_snapshot(snapshot)
        except NoSpaceError:
            pass

    def write(self, storage, request):
        """Write a request."""
        for _ in range(MAX_TRIES):
            try:
                storage.write((request,))
                return
            except NoSpaceError:
                pass
        pytest.fail("not written")


def run(folder, check=lambda disk, writer: None, **options):
    """Run a writer on a disk that is full at some operation."""
    writer = PatientWriter()
    disk = FullDisk(folder, **options)
    disk.check = lambda: check(disk, writer)
    with pytest.MonkeyPatch.context() as patch:
        disk.install(patch)
        writer.run(folder)
    return disk, writer


def check_crashes(disk, writer):
    """Check a restart after a kill and after a loss of power at this operation."""
    is_near = 0 <= disk.count - disk.full_at < disk.operations + CHECKED_AFTER
    if not is_near or not disk.folder.exists():
        return
    killed = disk.folder.with_name("killed")
    shutil.copytree(disk.folder, killed)
    check_start(killed, writer)
    shutil.rmtree(killed)
    for keeps_names in (False, True):
        after = disk.folder.with_name("after")
        disk.lose_power(after, keeps_names=keeps_names)
        check_start(after, writer)
        shutil.rmtree(after)


# A sync or start without space ended the process; a compaction that was cut off between
# the rename and the sync of the folder did so on the next try.
@pytest.mark.parametrize("is_partial", [False, True], ids=["whole", "partial"])
@pytest.mark.parametrize("operations", [1, 2, 6])
def test_store_goes_on_after_a_full_disk_at_any_operation(
    tmp_path, operations, is_partial
):
    """Refuse operations from the first to the last; crash at each one after them."""
    disk, _ = run(tmp_path / "whole")
    assert disk.count > 60
    for full_at in range(1, disk.count + 1):
        folder = tmp_path / "store"
        options = {"full_at": full_at, "operations": operations}
        _, writer = run(folder, check_crashes, is_partial=is_partial, **options)
        check_start(folder, writer)
        shutil.rmtree(folder)


# The process ended at each start until the disk had room.
@pytest.mark.parametrize("operations", [1, 2, 4])
def test_start_on_a_full_disk_keeps_what_it_has_read(tmp_path, operations):
    """Kill at any operation, start on a full disk, write, and lose power."""
    for killed_at in range(1, run(tmp_path / "whole")[0].count + 1):
        folder, writer = tmp_path / "store", PatientWriter()
        disk = FullDisk(folder, killed_at=killed_at)
        with pytest.MonkeyPatch.context() as patch:
            disk.install(patch)
            with pytest.raises(CrashError):
                Writer().run(folder)
            disk.killed_at = 0
            disk.full_at, disk.operations = disk.count + 1, operations
            storage = writer.open(folder)
            entries = writer.opened.entries
            covered = writer.opened.snapshot.index if writer.opened.snapshot else 0
            last = make_entry(entries[-1].index + 1 if entries else covered + 1)
            writer.write(storage, WriteRequest(2, HardState(9, "b"), (last,)))
            storage.close()
        disk.lose_power(tmp_path / "after", keeps_names=False)
        stored = open_storage(tmp_path / "after", "disk#2", INITIAL).unwrap().stored
        assert (stored.hard_state.term, stored.entries) == (9, (*entries, last))
        shutil.rmtree(folder)
        shutil.rmtree(tmp_path / "after")
