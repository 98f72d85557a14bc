"""Check what a log keeps when it is compacted."""

import pytest

from persimmonhall.raft.log import TRAILING_BYTES, TRAILING_ENTRIES, Log
from persimmonhall.raft.messages import Entry, EntryKind, ReplicaSet, Snapshot


def make_log(count, size):
    """Build a log of entries of one size."""
    data = bytes(size)
    return Log(
        None, tuple(Entry(n, 1, EntryKind.COMMAND, data) for n in range(1, count + 1))
    )


# 500 entries of a large release each took the memory of all control VMs.
@pytest.mark.parametrize("size", [TRAILING_BYTES // 10, TRAILING_BYTES * 2, 1])
def test_compacted_log_is_bounded_by_bytes_and_by_entries(size):
    """Keep the newest entries that both bounds allow, and those after the snapshot."""
    count = TRAILING_ENTRIES + 100
    log = make_log(count, size)
    log.compact(Snapshot(count - 5, 1, ReplicaSet(), (b"state",)))
    kept = count - 5 - log.first_index + 1
    assert kept == min(TRAILING_ENTRIES, TRAILING_BYTES // size)
    assert log.last_index == count
    assert log.term_at(log.first_index - 1) == 1
    assert log.term_at(log.first_index - 2) is None
    assert len(log.entries_between(count - 5, count)) == 5


def test_log_that_is_compacted_again_keeps_its_indexes():
    """Count from the entries that the last compaction has left."""
    log = make_log(40, TRAILING_BYTES // 8)
    log.compact(Snapshot(20, 1, ReplicaSet(), ()))
    log.compact(Snapshot(30, 1, ReplicaSet(), ()))
    assert log.first_index == 23
    assert log.entries_after(29, 1)[0].index == 30
