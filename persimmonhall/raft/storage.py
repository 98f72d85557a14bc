"""Store the log, the hard state and the latest snapshot of a replica on disk."""

import errno
import os
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram
from returns.result import Failure, Result, Success

from persimmonhall.histogram import new_histogram, record_seconds
from persimmonhall.ids import ReplicaId, Term
from persimmonhall.raft.files import (
    FileSystem,
    OsFileSystem,
    rename_and_sync,
    replace_file,
    sync_folder,
    write_all,
    write_file,
)
from persimmonhall.raft.messages import (
    NO_VOTE,
    RECORDS,
    Entry,
    HardState,
    Snapshot,
    SnapshotHead,
    SnapshotPart,
)
from persimmonhall.raft.outbox import WriteRequest
from persimmonhall.raft.records import (
    ScannedRecords,
    frame_batch,
    frame_records,
    read_records,
)
from persimmonhall.raft.state import PersistedState

LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
STAGED_FILE = "snapshot.staged"
DISK_ID_FILE = "disk-id"
FIRST_BATCH = 1
# Of the initial state of a cluster; the first election is in a later one.
FIRST_TERM = Term(1)
SYNC_MARKER = b""
NO_SPACE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class NoSpaceError(Exception):
    """Report a full disk; no data is lost and the write can be retried."""


class DiskFailedError(Exception):
    """Report a disk error after which the written data can't be trusted."""


@dataclass(frozen=True)
class OpenedStorage:
    """Hold an open storage, its disk id and the state that was read."""

    storage: "Storage"
    disk_id: ReplicaId
    stored: PersistedState


class Storage:
    """Append batches of records to the log file and sync each batch."""

    def __init__(
        self,
        folder: Path,
        files: FileSystem,
        end_offset: int,
        last_batch: int,
        unsynced_log: bytes | None = None,
    ):
        self._folder = folder
        self._files = files
        self._synced_offset = self._end_offset = end_offset
        self._last_batch = last_batch
        # What a start on a full disk has read and could not sync.
        self._unsynced_log = unsynced_log
        self._written_sequence = 0
        # The sequence of the write whose snapshot is in place, but not yet its log.
        self._installed_sequence = 0
        # Whether a write or its sync failed; what follows the synced offset is invalid.
        self._has_invalid_tail = False
        # Whether the sync marker that begins the next batch is already written.
        self._has_sync_marker = False
        self._sync_us = new_histogram()
        self._staged_snapshot: Snapshot | None = None
        self._staging_lock = threading.Lock()
        self._descriptor = _open_log(folder)

    @property
    def log_bytes(self) -> int:
        """Return the size of the log file in bytes."""
        return self._end_offset

    @property
    def sync_us(self) -> HdrHistogram:
        """Return the histogram of log sync durations in µs since the start."""
        return self._sync_us

    def write(self, writes: tuple[WriteRequest, ...]) -> None:
        """Write and sync; raise NoSpaceError on a full disk, or DiskFailedError.

        After a NoSpaceError the next call must begin with the same writes.
        """
        with self._translate_os_errors():
            if self._unsynced_log is not None:
                self._replace_log(self._unsynced_log, self._last_batch)
                self._unsynced_log = None
            for group in _group_for_sync(writes):
                self._write_group(group)

    def stage_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync a snapshot to a separate file while log writes continue."""
        with self._staging_lock:
            self._staged_snapshot = None
        pieces = frame_records(_snapshot_records(snapshot), FIRST_BATCH)
        with self._translate_os_errors():
            write_file(self._files, self._folder / STAGED_FILE, pieces)
        self._staged_snapshot = snapshot

    @contextmanager
    def _translate_os_errors(self) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            if _is_no_space(error):
                raise NoSpaceError(f"{self._folder}: {error}") from error
            raise DiskFailedError(f"{self._folder}: {error}") from error

    def close(self) -> None:
        """Close the log file."""
        os.close(self._descriptor)

    def _write_group(self, group: tuple[WriteRequest, ...]) -> None:
        if group[-1].sequence <= self._written_sequence:
            return
        if group[0].snapshot is not None:
            self._write_snapshot(group[0])
        else:
            self._append(group)
        self._written_sequence = group[-1].sequence

    def _append(self, writes: tuple[WriteRequest, ...]) -> None:
        if self._has_invalid_tail:
            self._discard_invalid_tail()
        payloads = [] if self._has_sync_marker else [SYNC_MARKER]
        payloads.append(RECORDS.encode(writes[-1].hard_state))
        for write in writes:
            payloads += [RECORDS.encode(entry) for entry in write.entries]
        data = frame_batch(
            tuple(payloads), self._last_batch + 1, int(self._has_sync_marker)
        )
        self._has_invalid_tail = True
        write_all(self._files, self._descriptor, data)
        self._sync()
        self._has_invalid_tail = False
        self._end_offset += len(data)
        self._synced_offset = self._end_offset
        self._last_batch += 1
        self._append_sync_marker()

    def _append_sync_marker(self) -> None:
        """Begin the next batch with a marker that shows that this batch was synced.

        It distinguishes later damage to this batch from a torn write. The marker itself
        is synced with the next batch, so a power loss may lose it alone.
        """
        self._has_sync_marker = False
        marker = frame_batch((SYNC_MARKER,), self._last_batch + 1)
        try:
            write_all(self._files, self._descriptor, marker)
        except OSError:
            self._has_invalid_tail = True
            return
        self._end_offset += len(marker)
        self._has_sync_marker = True

    def _discard_invalid_tail(self) -> None:
        """Return to the end of the last synced batch.

        Done before the next append, as a full disk may refuse to truncate a file too.
        """
        os.ftruncate(self._descriptor, self._synced_offset)
        os.lseek(self._descriptor, self._synced_offset, os.SEEK_SET)
        self._end_offset = self._synced_offset
        self._has_sync_marker = False
        self._has_invalid_tail = False

    def _sync(self) -> None:
        started = time.perf_counter()
        try:
            self._files.sync(self._descriptor)
        except OSError as error:
            # The kernel may have dropped the dirty pages: a retry proves nothing. With
            # a full disk, the caller writes the batch again.
            if _is_no_space(error):
                raise
            raise DiskFailedError(f"{self._folder}: sync failed: {error}") from error
        record_seconds(self._sync_us, time.perf_counter() - started)

    def _write_snapshot(self, write: WriteRequest) -> None:
        if self._installed_sequence != write.sequence:
            self._install_snapshot(write.snapshot)
            self._installed_sequence = write.sequence
        log = _encode_log(write.hard_state, write.entries)
        self._replace_log(log, FIRST_BATCH + 1)

    def _replace_log(self, log: bytes, last_batch: int) -> None:
        replace_file(self._files, self._folder / LOG_FILE, (log,))
        descriptor = _open_log(self._folder)
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._synced_offset = self._end_offset = len(log)
        self._last_batch = last_batch
        self._has_sync_marker = False
        self._has_invalid_tail = False

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        if not self._install_staged_snapshot(snapshot):
            pieces = frame_records(_snapshot_records(snapshot), FIRST_BATCH)
            replace_file(self._files, self._folder / SNAPSHOT_FILE, pieces)

    def _install_staged_snapshot(self, snapshot: Snapshot) -> bool:
        # The lock prevents `stage_snapshot` from overwriting the staged file meanwhile.
        with self._staging_lock:
            if self._staged_snapshot != snapshot:
                return False
            # If the sync of the folder fails, the staged file is gone.
            self._staged_snapshot = None
            rename_and_sync(self._folder / STAGED_FILE, self._folder / SNAPSHOT_FILE)
            return True


def open_storage(
    folder: Path,
    new_id: ReplicaId,
    initial_state: PersistedState,
    files: FileSystem | None = None,
) -> Result[OpenedStorage, str]:
    """Open a data folder; initialize an empty one with a disk id and a state.

    Raise NoSpaceError if a full disk has no room to initialize one. One that is in use
    is opened all the same: its state counts as synced after the first write.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if not (folder / DISK_ID_FILE).exists():
            if _is_used(folder):
                return Failure(f"{folder / DISK_ID_FILE}: missing in a used folder")
            _create_data_folder(folder, new_id, initial_state)
        return _read_data_folder(folder, files or OsFileSystem())
    except OSError as error:
        if _is_no_space(error):
            raise NoSpaceError(f"{folder}: {error}") from error
        return Failure(f"{folder}: storage cannot be opened: {error}")


def is_data_folder_empty(folder: Path) -> bool:
    """Return whether a data folder contains no replica yet."""
    return not (folder / DISK_ID_FILE).exists()


def _create_data_folder(
    folder: Path, new_id: ReplicaId, initial_state: PersistedState
) -> None:
    log = _encode_log(initial_state.hard_state, initial_state.entries)
    files = OsFileSystem()
    replace_file(files, folder / LOG_FILE, (log,))
    sync_folder(folder.parent)
    # Written last, because a folder without a disk id counts as empty: a crash before
    # leaves a log that no replica has used.
    disk_id = frame_batch((new_id.encode(),), FIRST_BATCH)
    replace_file(files, folder / DISK_ID_FILE, (disk_id,))


def _is_used(folder: Path) -> bool:
    """Return whether a folder without a disk id holds more than an unfinished start.

    A replica that has taken part in an election or has entries may have voted: it must
    not start under another id.
    """
    if (folder / SNAPSHOT_FILE).exists():
        return True
    if not (folder / LOG_FILE).exists():
        return False
    match read_records((folder / LOG_FILE).read_bytes()):
        case Success(found):
            state, entries = _replay(found.payloads)
            has_voted = state.vote != NO_VOTE or state.term > FIRST_TERM
            return has_voted or any(entry.index > 1 for entry in entries)
    return True


def _read_data_folder(folder: Path, files: FileSystem) -> Result[OpenedStorage, str]:
    match _read_single_record(folder / DISK_ID_FILE):
        case Failure() as failure:
            return failure
        case Success(payload):
            disk_id = ReplicaId(payload.decode())
    snapshot = None
    if (folder / SNAPSHOT_FILE).exists():
        match _read_snapshot(folder / SNAPSHOT_FILE):
            case Failure() as failure:
                return failure
            case Success(snapshot):
                pass
    path = folder / LOG_FILE
    log = path.read_bytes()
    match read_records(log):
        case Failure(offset):
            return Failure(f"{path}: damaged record at offset {offset}")
        case Success(found):
            pass
    state, entries = _replay(found.payloads)
    snapshot_index = snapshot.index if snapshot is not None else 0
    if entries and entries[0].index > snapshot_index + 1:
        return Failure(f"{folder / SNAPSHOT_FILE}: missing or older than the log")
    is_synced = _sync_opened(folder, files, len(log), found.end_offset)
    # After a failed sync the next one may succeed although the kernel has dropped data.
    unsynced_log = None if is_synced else log[: found.end_offset]
    storage = Storage(folder, files, found.end_offset, found.last_batch, unsynced_log)
    entries = _entries_after_snapshot(snapshot, entries)
    stored = PersistedState(state, snapshot, entries, is_synced)
    return Success(OpenedStorage(storage, disk_id, stored))


def _read_single_record(path: Path) -> Result[bytes, str]:
    match read_records(path.read_bytes()):
        case Success(found) if len(found.payloads) == 1:
            return Success(found.payloads[0])
    return Failure(f"{path}: damaged record at offset 0")


def _snapshot_records(snapshot: Snapshot) -> Iterator[bytes]:
    index, term, replicas = snapshot.index, snapshot.term, snapshot.replicas
    yield RECORDS.encode(SnapshotHead(index, term, replicas, len(snapshot.parts)))
    for part in snapshot.parts:
        yield RECORDS.encode(SnapshotPart(part))


def _read_snapshot(path: Path) -> Result[Snapshot, str]:
    match read_records(path.read_bytes()):
        case Success(found):
            snapshot = _assemble_snapshot(found)
        case Failure(offset):
            return Failure(f"{path}: damaged record at offset {offset}")
    if snapshot is None or found.end_offset != path.stat().st_size:
        return Failure(f"{path}: damaged record at offset {found.end_offset}")
    return Success(snapshot)


def _assemble_snapshot(scanned: ScannedRecords) -> Snapshot | None:
    """Build a snapshot from its records; return None if any is missing or invalid."""
    try:
        records = [RECORDS.decode(payload) for payload in scanned.payloads]
    except ValueError:
        return None
    if not records or not isinstance(records[0], SnapshotHead):
        return None
    head, *parts = records
    if len(parts) != head.parts:
        return None
    data = tuple(part.data for part in parts)
    return Snapshot(head.index, head.term, head.replicas, data)


def _replay(payloads: tuple[bytes, ...]) -> tuple[HardState, list[Entry]]:
    state = HardState(Term(0), NO_VOTE)
    entries: list[Entry] = []
    for payload in payloads:
        if payload == SYNC_MARKER:
            continue
        record = RECORDS.decode(payload)
        if isinstance(record, HardState):
            state = record
            continue
        if entries:
            del entries[record.index - entries[0].index :]
        entries.append(record)
    return state, entries


def _entries_after_snapshot(
    snapshot: Snapshot | None, entries: list[Entry]
) -> tuple[Entry, ...]:
    """Return the entries after a snapshot; a crash may leave the old log beside it."""
    if snapshot is None:
        return tuple(entries)
    if not entries or entries[0].index == snapshot.index + 1:
        return tuple(entries)
    known = [e.term for e in entries if e.index == snapshot.index]
    if known != [snapshot.term]:
        return ()
    return tuple(e for e in entries if e.index > snapshot.index)


def _encode_log(hard_state: HardState, entries: tuple[Entry, ...]) -> bytes:
    payloads = (
        RECORDS.encode(hard_state),
        *(RECORDS.encode(entry) for entry in entries),
    )
    # The marker of batch 2 shows that batch 1 was synced: damage to it is no torn tail.
    marker = frame_batch((SYNC_MARKER,), FIRST_BATCH + 1)
    return frame_batch(payloads, FIRST_BATCH) + marker


def _open_log(folder: Path) -> int:
    descriptor = os.open(folder / LOG_FILE, os.O_RDWR)
    os.lseek(descriptor, 0, os.SEEK_END)
    return descriptor


def _sync_opened(folder: Path, files: FileSystem, size: int, end_offset: int) -> bool:
    """Make durable what was read; return False if the disk is full."""
    try:
        descriptor = os.open(folder / LOG_FILE, os.O_RDWR)
        try:
            if size > end_offset:
                os.ftruncate(descriptor, end_offset)
            files.sync(descriptor)
        finally:
            os.close(descriptor)
        # A kill may have come between a rename and its sync.
        sync_folder(folder)
        (folder / STAGED_FILE).unlink(missing_ok=True)
    except OSError as error:
        if _is_no_space(error):
            return False
        raise
    return True


def _is_no_space(error: OSError) -> bool:
    return error.errno in NO_SPACE_ERRNOS


def _group_for_sync(writes: tuple[WriteRequest, ...]) -> list[tuple[WriteRequest, ...]]:
    """Group adjacent writes without a snapshot, so that they share one sync."""
    groups: list[tuple[WriteRequest, ...]] = []
    for write in writes:
        has_no_snapshot = write.snapshot is None
        if has_no_snapshot and groups and groups[-1][0].snapshot is None:
            groups[-1] = (*groups[-1], write)
        else:
            groups.append((write,))
    return groups
