"""Test storage with torn writes, damaged files, full disks and failed syncs."""

import errno

import pytest
from returns.result import Failure

from persimmonhall.raft.files import OsFileSystem
from persimmonhall.raft.messages import (
    Entry,
    EntryKind,
    HardState,
    ReplicaSet,
    Snapshot,
)
from persimmonhall.raft.outbox import WriteRequest
from persimmonhall.raft.records import HEADER_BYTES, MAGIC
from persimmonhall.raft.state import PersistedState
from persimmonhall.raft.storage import (
    DISK_ID_FILE,
    LOG_FILE,
    SNAPSHOT_FILE,
    DiskFailedError,
    NoSpaceError,
    open_storage,
)

HARD_STATE = HardState(3, "a")


class FaultyFileSystem(OsFileSystem):
    """Simulate a disk that runs out of space, or whose syncs fail."""

    def __init__(self):
        self.free_bytes = None
        self.sync_errno = None

    def write(self, descriptor, data):
        """Write at most 7 bytes per call until the free space is used up."""
        if self.free_bytes is None:
            return super().write(descriptor, data)
        if self.free_bytes == 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        written = super().write(descriptor, data[: min(7, self.free_bytes)])
        self.free_bytes -= written
        return written

    def sync(self, descriptor):
        """Sync, or fail with the configured errno."""
        if self.sync_errno is not None:
            raise OSError(self.sync_errno, "sync failed")
        super().sync(descriptor)


def make_entries(first: int, last: int, term: int = 3) -> tuple[Entry, ...]:
    """Create entries of one term."""
    return tuple(
        Entry(index, term, EntryKind.COMMAND, b"data-%d" % index)
        for index in range(first, last + 1)
    )


def make_write(sequence: int, first: int, last: int, **extra) -> WriteRequest:
    """Create a write request for a range of entries."""
    return WriteRequest(sequence, HARD_STATE, make_entries(first, last), **extra)


def reopen(folder, files=None):
    """Open a data folder."""
    return open_storage(folder, "disk-1", PersistedState(), files)


def write_batches(folder, batches: int) -> list[int]:
    """Write batches of two entries and return the end offset of each batch."""
    storage = reopen(folder).unwrap().storage
    ends = []
    for number in range(batches):
        storage.write((make_write(number + 1, 2 * number + 1, 2 * number + 2),))
        ends.append((folder / LOG_FILE).stat().st_size)
    storage.close()
    return ends


def stored_indexes(folder) -> list[int]:
    """Return the indexes of the entries stored in a folder."""
    opened = reopen(folder).unwrap()
    opened.storage.close()
    return [entry.index for entry in opened.stored.entries]


def test_reopen_returns_all_written_entries(tmp_path):
    write_batches(tmp_path, 400)
    opened = reopen(tmp_path).unwrap()
    assert opened.stored.entries == make_entries(1, 800)
    assert opened.stored.hard_state == HARD_STATE
    assert opened.disk_id == "disk-1"


def test_disk_id_survives_restart_but_not_a_new_folder(tmp_path):
    write_batches(tmp_path / "a", 1)
    again = open_storage(tmp_path / "a", "disk-2", PersistedState()).unwrap()
    empty = open_storage(tmp_path / "b", "disk-2", PersistedState()).unwrap()
    assert (again.disk_id, empty.disk_id) == ("disk-1", "disk-2")


def test_rewritten_entries_replace_old_entries(tmp_path):
    write_batches(tmp_path, 3)
    storage = reopen(tmp_path).unwrap().storage
    storage.write((WriteRequest(1, HARD_STATE, make_entries(4, 4, term=4)),))
    storage.close()
    entries = reopen(tmp_path).unwrap().stored.entries
    assert [(e.index, e.term) for e in entries] == [(1, 3), (2, 3), (3, 3), (4, 4)]


def test_torn_tail_of_any_length_is_truncated(tmp_path):
    *_, before, end = write_batches(tmp_path, 3)
    whole = (tmp_path / LOG_FILE).read_bytes()
    for size in range(before, end):
        (tmp_path / LOG_FILE).write_bytes(whole[:size])
        kept = stored_indexes(tmp_path)
        assert kept[:4] == [1, 2, 3, 4]
        assert kept == list(range(1, len(kept) + 1))


def test_appends_continue_after_torn_tail_is_truncated(tmp_path):
    ends = write_batches(tmp_path, 2)
    data = (tmp_path / LOG_FILE).read_bytes()
    (tmp_path / LOG_FILE).write_bytes(data[: ends[0]] + b"\0" * 50)
    storage = reopen(tmp_path).unwrap().storage
    storage.write((make_write(1, 3, 5),))
    storage.close()
    assert stored_indexes(tmp_path) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("batch", [0, 1, 2, 3])
def test_damaged_synced_batch_is_reported_with_file_and_offset(tmp_path, batch):
    starts = [0, *write_batches(tmp_path, 4)]
    path = tmp_path / LOG_FILE
    data = bytearray(path.read_bytes())
    at = starts[batch] + HEADER_BYTES + 3
    data[at] ^= 0xFF
    path.write_bytes(data)
    match reopen(tmp_path):
        case Failure(reason):
            assert str(path) in reason
            assert f"offset {starts[batch]}" in reason
        case _:
            pytest.fail("damage was not found")
    assert path.read_bytes() == data


@pytest.mark.parametrize("name", [SNAPSHOT_FILE, DISK_ID_FILE])
def test_damaged_or_missing_file_is_reported_by_name(tmp_path, name):
    write_batches(tmp_path, 1)
    storage = reopen(tmp_path).unwrap().storage
    snapshot = Snapshot(2, 3, ReplicaSet(), (b"st", b"ate"))
    storage.write((make_write(1, 3, 4, snapshot=snapshot),))
    storage.close()
    path = tmp_path / name
    data = bytearray(path.read_bytes())
    data[-1] ^= 0xFF
    path.write_bytes(data)
    assert str(path) in reopen(tmp_path).failure()
    path.unlink()
    assert name in reopen(tmp_path).failure()


def test_snapshot_replaces_log_up_to_its_index(tmp_path):
    write_batches(tmp_path, 3)
    storage = reopen(tmp_path).unwrap().storage
    snapshot = Snapshot(5, 3, ReplicaSet("c"), (b"st", b"ate"))
    storage.write((make_write(1, 6, 6, snapshot=snapshot), make_write(2, 7, 8)))
    storage.close()
    stored = reopen(tmp_path).unwrap().stored
    assert stored.snapshot == snapshot
    assert [e.index for e in stored.entries] == [6, 7, 8]


def test_crash_between_snapshot_and_log_keeps_later_entries(tmp_path):
    write_batches(tmp_path, 3)
    old_log = (tmp_path / LOG_FILE).read_bytes()
    storage = reopen(tmp_path).unwrap().storage
    storage.write((make_write(1, 5, 6, snapshot=Snapshot(4, 3, ReplicaSet(), ())),))
    storage.close()
    (tmp_path / LOG_FILE).write_bytes(old_log)
    assert stored_indexes(tmp_path) == [5, 6]


def test_log_of_another_term_is_dropped_after_installed_snapshot(tmp_path):
    write_batches(tmp_path, 3)
    old_log = (tmp_path / LOG_FILE).read_bytes()
    storage = reopen(tmp_path).unwrap().storage
    storage.write((WriteRequest(1, HARD_STATE, (), Snapshot(5, 4, ReplicaSet(), ())),))
    storage.close()
    (tmp_path / LOG_FILE).write_bytes(old_log)
    assert stored_indexes(tmp_path) == []


@pytest.mark.parametrize("space", [1, 100, 300, 650])
def test_partly_written_snapshot_leaves_old_snapshot(tmp_path, space):
    write_batches(tmp_path, 3)
    files = FaultyFileSystem()
    storage = reopen(tmp_path, files).unwrap().storage
    old = Snapshot(2, 3, ReplicaSet("c"), (b"old",) * 10)
    storage.write((make_write(1, 3, 6, snapshot=old),))
    storage.write((make_write(2, 7, 8),))
    files.free_bytes = space
    new = Snapshot(7, 3, ReplicaSet("c"), (b"new",) * 10)
    with pytest.raises(NoSpaceError):
        storage.write((make_write(3, 8, 8, snapshot=new),))
    storage.close()
    stored = reopen(tmp_path).unwrap().stored
    assert stored.snapshot == old
    assert [e.index for e in stored.entries] == [3, 4, 5, 6, 7, 8]


@pytest.mark.parametrize("space", [1, 100, 300])
def test_staged_snapshot_is_used_only_when_complete(tmp_path, space):
    write_batches(tmp_path, 3)
    files = FaultyFileSystem()
    storage = reopen(tmp_path, files).unwrap().storage
    new = Snapshot(4, 3, ReplicaSet("c"), (b"new",) * 10)
    files.free_bytes = space
    with pytest.raises(NoSpaceError):
        storage.stage_snapshot(new)
    files.free_bytes = None
    storage.write((make_write(1, 7, 8),))
    assert reopen(tmp_path).unwrap().stored.snapshot is None
    storage.stage_snapshot(new)
    storage.write((make_write(2, 9, 9),))
    storage.write((make_write(3, 5, 9, snapshot=new),))
    storage.close()
    stored = reopen(tmp_path).unwrap().stored
    assert stored.snapshot == new
    assert [e.index for e in stored.entries] == [5, 6, 7, 8, 9]


def test_installed_snapshot_replaces_staged_snapshot(tmp_path):
    write_batches(tmp_path, 3)
    storage = reopen(tmp_path).unwrap().storage
    storage.stage_snapshot(Snapshot(4, 3, ReplicaSet("c"), (b"own",)))
    installed = Snapshot(9, 3, ReplicaSet("c"), (b"leader",))
    storage.write((WriteRequest(1, HARD_STATE, (), installed),))
    storage.close()
    assert reopen(tmp_path).unwrap().stored.snapshot == installed


def test_snapshot_without_its_last_part_is_damaged(tmp_path):
    write_batches(tmp_path, 3)
    storage = reopen(tmp_path).unwrap().storage
    snapshot = Snapshot(2, 3, ReplicaSet("c"), (b"part",) * 3)
    storage.write((make_write(1, 3, 6, snapshot=snapshot),))
    storage.close()
    path = tmp_path / SNAPSHOT_FILE
    data = path.read_bytes()
    last = data.rindex(MAGIC)
    path.write_bytes(data[:last])
    assert f"{path}: damaged record at offset {last}" in reopen(tmp_path).failure()


@pytest.mark.parametrize("space", [0, 1, 30, 100])
def test_full_disk_loses_no_entries_and_write_can_be_retried(tmp_path, space):
    write_batches(tmp_path, 2)
    files = FaultyFileSystem()
    storage = reopen(tmp_path, files).unwrap().storage
    batch = (make_write(1, 5, 6), make_write(2, 7, 9))
    files.free_bytes = space
    with pytest.raises(NoSpaceError, match=str(tmp_path)):
        storage.write(batch)
    assert stored_indexes(tmp_path) == [1, 2, 3, 4]
    files.free_bytes = None
    storage.write(batch)
    storage.close()
    assert stored_indexes(tmp_path) == list(range(1, 10))


def test_full_disk_during_snapshot_keeps_old_log(tmp_path):
    write_batches(tmp_path, 2)
    files = FaultyFileSystem()
    storage = reopen(tmp_path, files).unwrap().storage
    snapshot = Snapshot(4, 3, ReplicaSet(), (b"state",) * 100)
    batch = (
        make_write(1, 5, 6),
        WriteRequest(2, HARD_STATE, make_entries(5, 6), snapshot),
    )
    files.free_bytes = 400
    with pytest.raises(NoSpaceError):
        storage.write(batch)
    assert stored_indexes(tmp_path) == [1, 2, 3, 4, 5, 6]
    files.free_bytes = None
    storage.write(batch)
    storage.close()
    assert stored_indexes(tmp_path) == [5, 6]


def test_failed_sync_is_final(tmp_path):
    files = FaultyFileSystem()
    storage = reopen(tmp_path, files).unwrap().storage
    files.sync_errno = errno.EIO
    with pytest.raises(DiskFailedError, match="sync failed"):
        storage.write((make_write(1, 1, 1),))


def test_unusable_folder_is_reported(tmp_path):
    (tmp_path / "file").write_text("")
    assert "cannot be opened" in reopen(tmp_path / "file").failure()


def test_short_writes_are_completed(tmp_path):
    files = FaultyFileSystem()
    files.free_bytes = 1 << 20
    storage = reopen(tmp_path, files).unwrap().storage
    storage.write((make_write(1, 1, 20),))
    storage.close()
    assert stored_indexes(tmp_path) == list(range(1, 21))


def lose_sync_marker(folder):
    """Write two batches and simulate a power loss during the sync of the second.

    Its records have reached the disk, but the sync marker that begins it has not.
    Return the offset of the marker and the contents of the file.
    """
    ends = write_batches(folder, 2)
    path = folder / LOG_FILE
    marker = ends[0] - HEADER_BYTES
    data = bytearray(path.read_bytes()[: ends[1] - HEADER_BYTES])
    data[marker : ends[0]] = bytes(HEADER_BYTES)
    path.write_bytes(data)
    return marker, data


def test_lost_sync_marker_drops_only_the_unsynced_batch(tmp_path):
    """Check that the synced batch is kept and appends continue after it."""
    lose_sync_marker(tmp_path)
    assert stored_indexes(tmp_path) == [1, 2]
    storage = reopen(tmp_path).unwrap().storage
    storage.write((make_write(1, 3, 5),))
    storage.close()
    assert stored_indexes(tmp_path) == [1, 2, 3, 4, 5]


def test_damage_before_lost_sync_marker_is_detected(tmp_path):
    """Check that a damaged synced record is not taken for a lost sync marker."""
    marker, data = lose_sync_marker(tmp_path)
    data[marker - 1] ^= 0xFF
    (tmp_path / LOG_FILE).write_bytes(data)
    assert "damaged record" in reopen(tmp_path).failure()
