"""Check what makes a release invalid."""

import pytest

from persimmonhall.release.schema import LONGEST_TIMEOUT_MS, WeightedService
from persimmonhall.release.schema import check_release as check
from persimmonhall.release.tests.builders import make_release, make_route

INVALID = {
    "unknown service": make_route(targets=(WeightedService("nowhere", 1),)),
    "out of range": make_route(timeout_ms=LONGEST_TIMEOUT_MS + 1),
    "timeout of 0": make_route(timeout_ms=0),
    "no server may be tried": make_route(max_servers=0),
    "no service has a weight": make_route(targets=(WeightedService("maps", 0),)),
    "a weight is negative": make_route(
        targets=(WeightedService("maps", 2), WeightedService("cue", -1))
    ),
    "begin and end with a slash": make_route(prefix="/charts"),
}


@pytest.mark.parametrize("reason", INVALID)
def test_invalid_route_is_refused(reason):
    """Name what is wrong with a route."""
    assert reason in check(make_release(INVALID[reason])).failure()


def test_two_routes_at_one_place_are_refused():
    """Refuse a release in which a request has two routes."""
    release = make_release(make_route("one"), make_route("two"))
    assert "same host and path prefix" in check(release).failure()


def test_version_must_be_above_its_base():
    """Refuse a version that is not newer than what it replaces."""
    assert "not above" in check(make_release(version=3, base=3)).failure()


def test_valid_release_is_returned():
    """Accept a release as it is."""
    release = make_release()
    assert check(release).unwrap() == release
