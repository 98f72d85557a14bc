"""Test that a node applies releases atomically and never an older one."""

import random
from collections import Counter

from returns.result import Failure

from persimmonhall.dialect import NativeDialect
from persimmonhall.events import EventLog
from persimmonhall.release.active import ActiveRelease
from persimmonhall.release.messages import HeldRelease
from persimmonhall.release.schema import WeightedService
from persimmonhall.release.tests.builders import (
    encode_release,
    make_release,
    make_route,
)


def make_active_release(seed=1):
    """Build an ActiveRelease before its first release."""
    rng = random.Random(seed)
    return ActiveRelease(NativeDialect().decode_release, EventLog("n"), rng)


def make_held_release(index, version):
    """Build a release accepted at a log index."""
    return HeldRelease(index, version, encode_release(make_release(version=version)))


def test_older_release_is_ignored():
    """Ignore releases without a newer log index, even with a higher version."""
    releases = make_active_release()
    assert releases.apply(make_held_release(7, 3))
    assert not releases.apply(make_held_release(6, 9))
    assert not releases.apply(make_held_release(7, 3))
    assert releases.routes.release.version == 3


def test_unreadable_release_keeps_the_active_one():
    """Keep the active release when a newer one cannot be read."""
    releases = make_active_release()
    releases.apply(make_held_release(1, 1))
    releases._decode = lambda text: Failure("too new")
    assert not releases.apply(make_held_release(2, 2))
    assert releases.index == 1


SPLIT_ROUTE = make_route(
    targets=(WeightedService("maps", 60), WeightedService("cue", 40))
)


def choose_with_frequent_releases(releases, count):
    """Activate a release before each request and count the chosen services."""
    chosen = Counter()
    for index in range(1, count + 1):
        text = encode_release(make_release(SPLIT_ROUTE, version=index))
        releases.apply(HeldRelease(index, index, text))
        chosen[releases.routes.choose_service(SPLIT_ROUTE)] += 1
    return chosen


def test_frequent_releases_preserve_route_weights():
    """Continue the round robin of a route that a new release does not change."""
    assert choose_with_frequent_releases(make_active_release(), 200) == {
        "maps": 120,
        "cue": 80,
    }


def test_first_requests_of_many_nodes_follow_the_weights():
    """Start at random positions so that first requests are spread over services."""
    chosen = Counter()
    for seed in range(200):
        chosen += choose_with_frequent_releases(make_active_release(seed), 1)
    assert 0.4 <= chosen["maps"] / 200 <= 0.8
