"""Test storage with torn writes, damaged files, full disks and failed syncs."""

import errno

import pytest
from returns.result import Failure

from persimmonhall.raft.files import OsFiles
from persimmonhall.raft.messages import (
    Entry,
    EntryKind,
    HardState,
    ReplicaSet,
    Snapshot,
)
from persimmonhall.raft.outbox import Persist
from persimmonhall.raft.records import HEADER_BYTES, MAGIC
from persimmonhall.raft.state import Stored
from persimmonhall.raft.storage import (
    DISK_ID_FILE,
    LOG_FILE,
    SNAPSHOT_FILE,
    DiskFailedError,
    NoSpaceError,
    open_storage,
)

STATE = HardState(3, "a")


class FailingFiles(OsFiles):
    """Simulate a disk that runs out of space, or whose syncs fail."""

    def __init__(self):
        self.space = None
        self.sync_error = None

    def write(self, descriptor, data):
        """Write at most 7 bytes per call until the free space is used up."""
        if self.space is None:
            return super().write(descriptor, data)
        if self.space == 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        written = super().write(descriptor, data[: min(7, self.space)])
        self.space -= written
        return written

    def sync(self, descriptor):
        """Sync, or fail with the configured errno."""
        if self.sync_error is not None:
            raise OSError(self.sync_error, "sync failed")
        super().sync(descriptor)


def make_entries(first: int, last: int, term: int = 3) -> tuple[Entry, ...]:
    """Create entries of one term."""
    return tuple(
        Entry(index, term, EntryKind.COMMAND, b"data-%d" % index)
        for index in range(first, last + 1)
    )


def make_persist(sequence: int, first: int, last: int, **more) -> Persist:
    """Create a write request for a range of entries."""
    return Persist(sequence, STATE, make_entries(first, last), **more)


def reopen(folder, files=None):
    """Open a data folder."""
    return open_storage(folder, "disk-1", Stored(), files)


def fill(folder, batches: int) -> list[int]:
    """Write batches of two entries and return the end offset of each batch."""
    storage = reopen(folder).unwrap().storage
    ends = []
    for number in range(batches):
        storage.write((make_persist(number + 1, 2 * number + 1, 2 * number + 2),))
        ends.append((folder / LOG_FILE).stat().st_size)
    storage.close()
    return ends


def indexes(folder) -> list[int]:
    """Return the indexes of the entries stored in a folder."""
    opened = reopen(folder).unwrap()
    opened.storage.close()
    return [entry.index for entry in opened.stored.entries]


def test_restart_after_many_changes_returns_all_of_them(tmp_path):
    fill(tmp_path, 400)
    opened = reopen(tmp_path).unwrap()
    assert opened.stored.entries == make_entries(1, 800)
    assert opened.stored.state == STATE
    assert opened.disk_id == "disk-1"


def test_disk_id_outlives_restarts_and_not_the_folder(tmp_path):
    fill(tmp_path / "a", 1)
    again = open_storage(tmp_path / "a", "disk-2", Stored()).unwrap()
    empty = open_storage(tmp_path / "b", "disk-2", Stored()).unwrap()
    assert (again.disk_id, empty.disk_id) == ("disk-1", "disk-2")


def test_rewritten_entries_replace_the_old_ones(tmp_path):
    fill(tmp_path, 3)
    storage = reopen(tmp_path).unwrap().storage
    storage.write((Persist(1, STATE, make_entries(4, 4, term=4)),))
    storage.close()
    entries = reopen(tmp_path).unwrap().stored.entries
    assert [(e.index, e.term) for e in entries] == [(1, 3), (2, 3), (3, 3), (4, 4)]


def test_torn_tail_is_cut_at_every_byte(tmp_path):
    *_, before, end = fill(tmp_path, 3)
    whole = (tmp_path / LOG_FILE).read_bytes()
    for size in range(before, end):
        (tmp_path / LOG_FILE).write_bytes(whole[:size])
        kept = indexes(tmp_path)
        assert kept[:4] == [1, 2, 3, 4]
        assert kept == list(range(1, len(kept) + 1))


def test_log_goes_on_after_a_torn_tail_was_cut(tmp_path):
    ends = fill(tmp_path, 2)
    data = (tmp_path / LOG_FILE).read_bytes()
    (tmp_path / LOG_FILE).write_bytes(data[: ends[0]] + b"\0" * 50)
    storage = reopen(tmp_path).unwrap().storage
    storage.write((make_persist(1, 3, 5),))
    storage.close()
    assert indexes(tmp_path) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("batch", [0, 1, 2, 3])
def test_damage_in_a_synced_batch_stops_with_file_and_offset(tmp_path, batch):
    starts = [0, *fill(tmp_path, 4)]
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
def test_damaged_or_missing_file_stops_with_its_name(tmp_path, name):
    fill(tmp_path, 1)
    storage = reopen(tmp_path).unwrap().storage
    snapshot = Snapshot(2, 3, ReplicaSet(), (b"st", b"ate"))
    storage.write((make_persist(1, 3, 4, snapshot=snapshot),))
    storage.close()
    path = tmp_path / name
    data = bytearray(path.read_bytes())
    data[-1] ^= 0xFF
    path.write_bytes(data)
    assert str(path) in reopen(tmp_path).failure()
    path.unlink()
    assert name in reopen(tmp_path).failure()


def test_snapshot_replaces_the_log_before_it(tmp_path):
    fill(tmp_path, 3)
    storage = reopen(tmp_path).unwrap().storage
    snapshot = Snapshot(5, 3, ReplicaSet("c"), (b"st", b"ate"))
    storage.write((make_persist(1, 6, 6, snapshot=snapshot), make_persist(2, 7, 8)))
    storage.close()
    stored = reopen(tmp_path).unwrap().stored
    assert stored.snapshot == snapshot
    assert [e.index for e in stored.entries] == [6, 7, 8]


def test_crash_between_snapshot_and_log_keeps_what_follows(tmp_path):
    fill(tmp_path, 3)
    old_log = (tmp_path / LOG_FILE).read_bytes()
    storage = reopen(tmp_path).unwrap().storage
    storage.write((make_persist(1, 5, 6, snapshot=Snapshot(4, 3, ReplicaSet(), ())),))
    storage.close()
    (tmp_path / LOG_FILE).write_bytes(old_log)
    assert indexes(tmp_path) == [5, 6]


def test_log_of_another_term_is_dropped_after_an_installed_snapshot(tmp_path):
    fill(tmp_path, 3)
    old_log = (tmp_path / LOG_FILE).read_bytes()
    storage = reopen(tmp_path).unwrap().storage
    storage.write((Persist(1, STATE, (), Snapshot(5, 4, ReplicaSet(), ())),))
    storage.close()
    (tmp_path / LOG_FILE).write_bytes(old_log)
    assert indexes(tmp_path) == []


@pytest.mark.parametrize("space", [1, 100, 300, 650])
def test_crash_half_way_through_a_snapshot_leaves_the_old_one(tmp_path, space):
    fill(tmp_path, 3)
    files = FailingFiles()
    storage = reopen(tmp_path, files).unwrap().storage
    old = Snapshot(2, 3, ReplicaSet("c"), (b"old",) * 10)
    storage.write((make_persist(1, 3, 6, snapshot=old),))
    storage.write((make_persist(2, 7, 8),))
    files.space = space
    new = Snapshot(7, 3, ReplicaSet("c"), (b"new",) * 10)
    with pytest.raises(NoSpaceError):
        storage.write((make_persist(3, 8, 8, snapshot=new),))
    storage.close()
    stored = reopen(tmp_path).unwrap().stored
    assert stored.snapshot == old
    assert [e.index for e in stored.entries] == [3, 4, 5, 6, 7, 8]


@pytest.mark.parametrize("space", [1, 100, 300])
def test_staged_snapshot_is_in_force_only_once_it_is_whole(tmp_path, space):
    fill(tmp_path, 3)
    files = FailingFiles()
    storage = reopen(tmp_path, files).unwrap().storage
    new = Snapshot(4, 3, ReplicaSet("c"), (b"new",) * 10)
    files.space = space
    with pytest.raises(NoSpaceError):
        storage.stage(new)
    files.space = None
    storage.write((make_persist(1, 7, 8),))
    assert reopen(tmp_path).unwrap().stored.snapshot is None
    storage.stage(new)
    storage.write((make_persist(2, 9, 9),))
    storage.write((make_persist(3, 5, 9, snapshot=new),))
    storage.close()
    stored = reopen(tmp_path).unwrap().stored
    assert stored.snapshot == new
    assert [e.index for e in stored.entries] == [5, 6, 7, 8, 9]


def test_staged_snapshot_is_dropped_for_an_installed_one(tmp_path):
    fill(tmp_path, 3)
    storage = reopen(tmp_path).unwrap().storage
    storage.stage(Snapshot(4, 3, ReplicaSet("c"), (b"own",)))
    installed = Snapshot(9, 3, ReplicaSet("c"), (b"leader",))
    storage.write((Persist(1, STATE, (), installed),))
    storage.close()
    assert reopen(tmp_path).unwrap().stored.snapshot == installed


def test_snapshot_that_lost_its_last_part_is_damaged(tmp_path):
    fill(tmp_path, 3)
    storage = reopen(tmp_path).unwrap().storage
    snapshot = Snapshot(2, 3, ReplicaSet("c"), (b"part",) * 3)
    storage.write((make_persist(1, 3, 6, snapshot=snapshot),))
    storage.close()
    path = tmp_path / SNAPSHOT_FILE
    data = path.read_bytes()
    last = data.rindex(MAGIC)
    path.write_bytes(data[:last])
    assert f"{path}: damaged record at offset {last}" in reopen(tmp_path).failure()


@pytest.mark.parametrize("space", [0, 1, 30, 100])
def test_full_disk_loses_nothing_and_goes_on_with_space(tmp_path, space):
    fill(tmp_path, 2)
    files = FailingFiles()
    storage = reopen(tmp_path, files).unwrap().storage
    batch = (make_persist(1, 5, 6), make_persist(2, 7, 9))
    files.space = space
    with pytest.raises(NoSpaceError, match=str(tmp_path)):
        storage.write(batch)
    assert indexes(tmp_path) == [1, 2, 3, 4]
    files.space = None
    storage.write(batch)
    storage.close()
    assert indexes(tmp_path) == list(range(1, 10))


def test_full_disk_during_a_snapshot_keeps_the_old_log(tmp_path):
    fill(tmp_path, 2)
    files = FailingFiles()
    storage = reopen(tmp_path, files).unwrap().storage
    snapshot = Snapshot(4, 3, ReplicaSet(), (b"state",) * 100)
    batch = (make_persist(1, 5, 6), Persist(2, STATE, make_entries(5, 6), snapshot))
    files.space = 400
    with pytest.raises(NoSpaceError):
        storage.write(batch)
    assert indexes(tmp_path) == [1, 2, 3, 4, 5, 6]
    files.space = None
    storage.write(batch)
    storage.close()
    assert indexes(tmp_path) == [5, 6]


def test_failed_sync_is_final(tmp_path):
    files = FailingFiles()
    storage = reopen(tmp_path, files).unwrap().storage
    files.sync_error = errno.EIO
    with pytest.raises(DiskFailedError, match="sync failed"):
        storage.write((make_persist(1, 1, 1),))


def test_unwritable_folder_is_reported(tmp_path):
    (tmp_path / "file").write_text("")
    assert "cannot be opened" in reopen(tmp_path / "file").failure()


def test_short_writes_are_completed(tmp_path):
    files = FailingFiles()
    files.space = 1 << 20
    storage = reopen(tmp_path, files).unwrap().storage
    storage.write((make_persist(1, 1, 20),))
    storage.close()
    assert indexes(tmp_path) == list(range(1, 21))


def lose_marker(folder):
    """Write two batches and simulate a power loss during the sync of the second.

    Its records have reached the disk, but the sync marker that begins it has not.
    Return the offset of the marker and the contents of the file.
    """
    ends = fill(folder, 2)
    path = folder / LOG_FILE
    marker = ends[0] - HEADER_BYTES
    data = bytearray(path.read_bytes()[: ends[1] - HEADER_BYTES])
    data[marker : ends[0]] = bytes(HEADER_BYTES)
    path.write_bytes(data)
    return marker, data


def test_start_of_an_unsynced_batch_may_be_lost_alone(tmp_path):
    """Check that the synced batch is kept and appends continue after it."""
    lose_marker(tmp_path)
    assert indexes(tmp_path) == [1, 2]
    storage = reopen(tmp_path).unwrap().storage
    storage.write((make_persist(1, 3, 5),))
    storage.close()
    assert indexes(tmp_path) == [1, 2, 3, 4, 5]


def test_damage_before_a_lost_start_is_still_found(tmp_path):
    """Check that a damaged synced record is not taken for a lost sync marker."""
    marker, data = lose_marker(tmp_path)
    data[marker - 1] ^= 0xFF
    (tmp_path / LOG_FILE).write_bytes(data)
    assert "damaged record" in reopen(tmp_path).failure()
