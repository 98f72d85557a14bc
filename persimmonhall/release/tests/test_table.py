"""Test the release table: base versions, conflicts, resends and snapshots."""

from persimmonhall.release.messages import PutRelease, ReleaseOutcome
from persimmonhall.release.table import DIGESTS_PER_BLOCK, ReleaseTable


def put(table, version, base, index, digest=None):
    """Put a release whose text contains its digest or version."""
    text = f"text {digest or version}".encode()
    command = PutRelease(digest or f"d{version}", version, base, text)
    return table.put(command, index)


def test_release_based_on_active_version_is_accepted():
    """Accept the first release and one based on it."""
    table = ReleaseTable()
    assert put(table, 2, 0, 11).outcome is ReleaseOutcome.ACCEPTED
    assert put(table, 5, 2, 12).outcome is ReleaseOutcome.ACCEPTED
    assert (table.current.version, table.current.index) == (5, 12)


def test_second_release_on_same_base_is_refused():
    """Refuse the second of two releases on one base, even with the same version."""
    table = ReleaseTable()
    put(table, 2, 0, 1)
    put(table, 3, 2, 2, "mine")
    reply = put(table, 3, 2, 3, "theirs")
    assert (reply.outcome, reply.current) == (ReleaseOutcome.CONFLICT, 3)
    assert table.current.text == b"text mine"


def test_resent_release_is_acknowledged_after_later_releases():
    """Acknowledge a resend of an accepted release without changing the table."""
    table = ReleaseTable()
    put(table, 2, 0, 1)
    put(table, 3, 2, 2)
    assert put(table, 2, 0, 3).outcome is ReleaseOutcome.ACCEPTED
    assert (table.current.version, table.current.index) == (3, 2)


def test_version_that_is_not_newer_is_refused():
    """Refuse a version that is not greater than the active one."""
    table = ReleaseTable()
    put(table, 4, 0, 1)
    assert put(table, 4, 4, 2, "again").outcome is ReleaseOutcome.NOT_NEWER


def test_snapshot_preserves_release_and_accepted_digests():
    """Acknowledge resends after restoring a snapshot as before it."""
    table, restored = ReleaseTable(), ReleaseTable()
    count = DIGESTS_PER_BLOCK + 5
    for version in range(1, count + 1):
        put(table, version, version - 1, version)
    blocks = list(table.blocks())
    assert len(blocks) == 2
    for block in blocks:
        restored.restore(block)
    assert restored.current == table.current
    assert put(restored, 1, 0, count + 1).outcome is ReleaseOutcome.ACCEPTED
    assert put(restored, 9, 0, count + 2, "new").outcome is ReleaseOutcome.CONFLICT
