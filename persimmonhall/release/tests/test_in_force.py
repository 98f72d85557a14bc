"""Check that a node applies releases whole and never an older one."""

from returns.result import Failure

from persimmonhall.dialect import OwnDialect
from persimmonhall.events import EventLog
from persimmonhall.release.in_force import ReleaseInForce
from persimmonhall.release.messages import HeldRelease
from persimmonhall.release.tests.builders import make_release, write_release


def held(index, version):
    """Hold a release at an index of the log."""
    return HeldRelease(index, version, write_release(make_release(version=version)))


def test_older_release_changes_nothing():
    """Keep the newer release whatever arrives late, also under a higher version."""
    releases = ReleaseInForce(OwnDialect().decode_release, EventLog("n"))
    assert releases.apply(held(7, 3))
    assert not releases.apply(held(6, 9))
    assert not releases.apply(held(7, 3))
    assert releases.routes.release.version == 3


def test_unreadable_release_keeps_the_one_in_force():
    """Go on with what is in force when a release cannot be read."""
    releases = ReleaseInForce(OwnDialect().decode_release, EventLog("n"))
    releases.apply(held(1, 1))
    releases._decode = lambda text: Failure("too new")
    assert not releases.apply(held(2, 2))
    assert releases.index == 1
