"""Check that a store starts after a crash at any operation on its files."""

import shutil

import pytest
from returns.result import Failure

from persimmonhall.raft.messages import (
    NO_VOTE,
    Entry,
    EntryKind,
    HardState,
    ReplicaSet,
    Snapshot,
)
from persimmonhall.raft.outbox import WriteRequest
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.storage import (
    DISK_ID_FILE,
    LOG_FILE,
    SNAPSHOT_FILE,
    open_storage,
)
from persimmonhall.raft.tests.crash_points import (
    CrashError,
    CrashingDisk,
    closing_descriptors,
)

INITIAL = PersistedState(
    HardState(1, NO_VOTE), None, (Entry(1, 1, EntryKind.COMMAND, b"first"),)
)
ROUNDS = 3


@pytest.fixture(autouse=True)
def killed_processes(tmp_path):
    """Close the stores that a crash has left open."""
    with closing_descriptors(tmp_path):
        yield


def make_entry(index):
    """Build an entry of some size."""
    return Entry(index, 2, EntryKind.COMMAND, b"entry-%d" % index * 20)


class Writer:
    """Write entries and snapshots, and remember what was acknowledged."""

    def __init__(self):
        self.state = None
        self.last_index = 0
        self.sequence = 0

    def run(self, folder):
        """Open a store, append, and compact it several times."""
        storage = self.open(folder)
        self.state, self.last_index = INITIAL.hard_state, 1
        for round_number in range(1, ROUNDS + 1):
            for _ in range(3):
                self._write(storage, round_number, (make_entry(self.last_index + 1),))
            snapshot = Snapshot(
                self.last_index - 1, 2, ReplicaSet("c"), (b"state" * 50,)
            )
            if round_number % 2:
                self.stage(storage, snapshot)
            self._write(storage, round_number, (make_entry(self.last_index),), snapshot)
        storage.close()

    def open(self, folder):
        """Open the store."""
        return open_storage(folder, "disk#1", INITIAL).unwrap().storage

    def stage(self, storage, snapshot):
        """Stage a snapshot."""
        storage.stage_snapshot(snapshot)

    def write(self, storage, request):
        """Write a request."""
        storage.write((request,))

    def _write(self, storage, round_number, entries, snapshot=None):
        self.sequence += 1
        state = HardState(round_number + 1, "a")
        self.write(storage, WriteRequest(self.sequence, state, entries, snapshot))
        self.state, self.last_index = state, entries[-1].index


def count_operations(folder):
    """Return how many operations a whole run takes."""
    with pytest.MonkeyPatch.context() as patch:
        disk = CrashingDisk(folder, 0)
        disk.install(patch)
        Writer().run(folder)
    return disk.count


def crash(folder, crash_at, is_torn):
    """Run until an operation; return the disk and what was acknowledged before."""
    writer = Writer()
    disk = CrashingDisk(folder, crash_at, is_torn)
    with pytest.MonkeyPatch.context() as patch:
        disk.install(patch)
        with pytest.raises(CrashError):
            writer.run(folder)
    return disk, writer


def check_start(folder, writer):
    """Start again, compare with what was acknowledged, and write once more."""
    opened = open_storage(folder, "disk#2", INITIAL).unwrap()
    stored = opened.stored
    if writer.state is None:
        assert stored.entries == INITIAL.entries
    else:
        assert opened.disk_id == "disk#1"
        assert stored.hard_state.term >= writer.state.term
        known = {entry.index: entry for entry in stored.entries}
        covered = stored.snapshot.index if stored.snapshot is not None else 0
        for index in range(max(2, covered + 1), writer.last_index + 1):
            assert known[index] == make_entry(index)
    last = stored.entries[-1].index if stored.entries else stored.snapshot.index
    request = WriteRequest(1, HardState(9, "b"), (make_entry(last + 1),))
    opened.storage.write((request,))
    opened.storage.close()
    again = open_storage(folder, "disk#3", INITIAL).unwrap()
    again.storage.close()
    assert (again.disk_id, again.stored.hard_state.term) == (opened.disk_id, 9)
    assert again.stored.entries[-1] == make_entry(last + 1)


# A kill between the first writes of log and disk id left a store that never started.
@pytest.mark.parametrize("is_torn", [False, True], ids=["before", "torn"])
@pytest.mark.parametrize("loses_power", [False, True], ids=["kill", "power"])
def test_store_starts_after_a_crash_at_any_operation(tmp_path, is_torn, loses_power):
    """Recover all that was acknowledged, from the first operation to the last."""
    operations = count_operations(tmp_path / "whole")
    assert operations > 50
    for crash_at in range(1, operations + 1):
        folder = tmp_path / "store"
        disk, writer = crash(folder, crash_at, is_torn)
        if loses_power:
            disk.lose_power(tmp_path / "after")
            shutil.rmtree(folder)
            folder = tmp_path / "after"
        check_start(folder, writer)
        shutil.rmtree(folder)


# A kill between the rename of a new log and the sync of the folder let a later loss of
# power bring the old log back, without what was acknowledged after the restart.
def test_write_after_a_kill_survives_a_loss_of_power(tmp_path):
    """Kill at any operation, start and write again, and lose power."""
    for crash_at in range(1, count_operations(tmp_path / "whole") + 1):
        folder = tmp_path / "store"
        disk, writer = crash(folder, crash_at, is_torn=False)
        with pytest.MonkeyPatch.context() as patch:
            disk.crash_at = 0
            disk.install(patch)
            check_start(folder, writer)
        disk.lose_power(tmp_path / "after")
        stored = open_storage(tmp_path / "after", "disk#4", INITIAL).unwrap().stored
        assert stored.hard_state.term == 9
        shutil.rmtree(folder)
        shutil.rmtree(tmp_path / "after")


@pytest.mark.parametrize("has_snapshot", [True, False])
def test_lost_disk_id_of_a_used_store_is_named(tmp_path, has_snapshot):
    """Start no store under a new id that may have voted under the old one."""
    Writer().run(tmp_path / "store")
    (tmp_path / "store" / DISK_ID_FILE).unlink()
    if not has_snapshot:
        (tmp_path / "store" / SNAPSHOT_FILE).unlink()
    match open_storage(tmp_path / "store", "disk#2", INITIAL):
        case Failure(reason):
            assert DISK_ID_FILE in reason
        case _:
            pytest.fail("started")


def test_lost_log_of_a_store_is_named(tmp_path):
    """Report the file that is missing."""
    Writer().run(tmp_path / "store")
    (tmp_path / "store" / LOG_FILE).unlink()
    assert LOG_FILE in open_storage(tmp_path / "store", "disk#2", INITIAL).failure()
