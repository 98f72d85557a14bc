"""Test the validation of releases."""

import math

import pytest

from persimmonhall.release.schema import MAX_TIMEOUT_MS, WeightedService
from persimmonhall.release.schema import check_release as check
from persimmonhall.release.tests.builders import make_release, make_route

INVALID = {
    "unknown service": make_route(targets=(WeightedService("nowhere", 1),)),
    "out of range": make_route(timeout_ms=MAX_TIMEOUT_MS + 1),
    "timeout of 0": make_route(timeout_ms=0),
    "servers must be at least 1": make_route(max_servers=0),
    "no target has a positive weight": make_route(
        targets=(WeightedService("maps", 0),)
    ),
    "-1 is no target weight": make_route(
        targets=(WeightedService("maps", 2), WeightedService("cue", -1))
    ),
    "nan is no target weight": make_route(
        targets=(WeightedService("maps", 2), WeightedService("cue", math.nan))
    ),
    "begin and end with a slash": make_route(prefix="/charts"),
}


@pytest.mark.parametrize("reason", INVALID)
def test_invalid_route_is_refused(reason):
    """Report the problem of an invalid route."""
    assert reason in check(make_release(INVALID[reason])).failure()


def test_routes_with_same_host_and_prefix_are_refused():
    """Refuse a release with two routes for the same requests."""
    release = make_release(make_route("one"), make_route("two"))
    assert "same host and path prefix" in check(release).failure()


def test_version_must_be_above_its_base():
    """Refuse a version that is not newer than the one it replaces."""
    assert "not greater" in check(make_release(version=3, base=3)).failure()


def test_valid_release_is_returned():
    """Return a valid release unchanged."""
    release = make_release()
    assert check(release).unwrap() == release
