"""Test that a node applies releases atomically and never an older one."""

import random
from collections import Counter

from returns.result import Failure

from persimmonhall.dialect import OwnDialect
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
    """Build an ActiveRelease before its first release."""
    rng = random.Random(seed)
    return ReleaseInForce(OwnDialect().decode_release, EventLog("n"), rng)


def held(index, version):
    """Build a release accepted at a log index."""
    return HeldRelease(index, version, write_release(make_release(version=version)))


def test_older_release_changes_nothing():
    """Ignore releases without a newer log index, even with a higher version."""
    releases = make_in_force()
    assert releases.apply(held(7, 3))
    assert not releases.apply(held(6, 9))
    assert not releases.apply(held(7, 3))
    assert releases.routes.release.version == 3


def test_unreadable_release_keeps_the_one_in_force():
    """Keep the active release when a newer one cannot be read."""
    releases = make_in_force()
    releases.apply(held(1, 1))
    releases._decode = lambda text: Failure("too new")
    assert not releases.apply(held(2, 2))
    assert releases.index == 1


SPLIT = make_route(targets=(WeightedService("maps", 60), WeightedService("cue", 40)))


def choose_in_storm(releases, count):
    """Activate a release before each request and count the chosen services."""
    chosen = Counter()
    for index in range(1, count + 1):
        text = write_release(make_release(SPLIT, version=index))
        releases.apply(HeldRelease(index, index, text))
        chosen[releases.routes.choose_service(SPLIT)] += 1
    return chosen


def test_storm_of_releases_keeps_the_shares_of_a_route():
    """Continue the round robin of a route that a new release does not change."""
    assert choose_in_storm(make_in_force(), 200) == {"maps": 120, "cue": 80}


def test_many_nodes_with_a_request_each_keep_the_shares():
    """Start at random positions so that first requests are spread over services."""
    chosen = Counter()
    for seed in range(200):
        chosen += choose_in_storm(make_in_force(seed), 1)
    assert 0.4 <= chosen["maps"] / 200 <= 0.8
