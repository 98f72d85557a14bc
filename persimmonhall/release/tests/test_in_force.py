"""Check that a node applies releases whole and never an older one."""

import random
from collections import Counter

from returns.result import Failure

from persimmonhall.dialect import NativeDialect
from persimmonhall.events import EventLog
from persimmonhall.release.in_force import ReleaseInForce
from persimmonhall.release.messages import HeldRelease
from persimmonhall.release.schema import WeightedService
from persimmonhall.release.tests.builders import (
    make_release,
    make_route,
    write_release,
)


def make_in_force(seed=1):
    """Build a holder without any release."""
    rng = random.Random(seed)
    return ReleaseInForce(NativeDialect().decode_release, EventLog("n"), rng)


def held(index, version):
    """Hold a release at an index of the log."""
    return HeldRelease(index, version, write_release(make_release(version=version)))


def test_older_release_changes_nothing():
    """Keep the newer release whatever arrives late, also under a higher version."""
    releases = make_in_force()
    assert releases.apply(held(7, 3))
    assert not releases.apply(held(6, 9))
    assert not releases.apply(held(7, 3))
    assert releases.routes.release.version == 3


def test_unreadable_release_keeps_the_one_in_force():
    """Go on with what is in force when a release cannot be read."""
    releases = make_in_force()
    releases.apply(held(1, 1))
    releases._decode = lambda text: Failure("too new")
    assert not releases.apply(held(2, 2))
    assert releases.index == 1


SPLIT = make_route(targets=(WeightedService("maps", 60), WeightedService("cue", 40)))


def choose_in_storm(releases, count):
    """Put a release in force before each request and count where requests go."""
    chosen = Counter()
    for index in range(1, count + 1):
        text = write_release(make_release(SPLIT, version=index))
        releases.apply(HeldRelease(index, index, text))
        chosen[releases.routes.choose_service(SPLIT)] += 1
    return chosen


def test_storm_of_releases_keeps_the_shares_of_a_route():
    """Go on with the shares of a route that a new release leaves as it was."""
    assert choose_in_storm(make_in_force(), 200) == {"maps": 120, "cue": 80}


def test_many_nodes_with_a_request_each_keep_the_shares():
    """Begin apart, so that the first requests of all nodes do not go to one part."""
    chosen = Counter()
    for seed in range(200):
        chosen += choose_in_storm(make_in_force(seed), 1)
    assert 0.4 <= chosen["maps"] / 200 <= 0.8
