"""Test the validation of releases."""

import math
from dataclasses import replace

import pytest

from persimmonhall.dialect import NativeDialect
from persimmonhall.release.schema import MAX_TIMEOUT_MS, RouteKind, WeightedService
from persimmonhall.release.schema import check_release as check
from persimmonhall.release.tests.builders import (
    encode_release,
    make_organisation,
    make_release,
    make_route,
)

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
    "objective of -1 ms is out of range": make_route(latency_objective_ms=-1),
    f"objective of {10**30} ms": make_route(latency_objective_ms=10**30),
    "a number is over": make_route(max_servers=10**400),
}


@pytest.mark.parametrize("reason", INVALID)
def test_invalid_route_is_refused(reason):
    """Report the problem of an invalid route."""
    assert reason in check(make_release(INVALID[reason])).failure()


def test_routes_with_same_host_and_prefix_are_refused():
    """Refuse a release with two routes for the same requests."""
    release = make_release(make_route("one"), make_route("two"))
    assert "same host and path prefix" in check(release).failure()
    upper = replace(make_route("two"), host=make_route().host.upper())
    release = make_release(make_route("one"), upper)
    assert "same host and path prefix" in check(release).failure()


def test_numbers_that_no_node_can_compute_with_are_refused():
    """Refuse limits and priorities beyond exact floating point."""
    release = make_release(make_route(priority=10**400))
    assert "a number is over" in check(release).failure()
    limits = replace(make_release().limits, idle_timeout_ms=10**400)
    assert (
        "limit idle_timeout_ms"
        in check(replace(make_release(), limits=limits)).failure()
    )


def test_version_must_be_above_its_base():
    """Refuse a version that is not newer than the one it replaces."""
    assert "not greater" in check(make_release(version=3, base=3)).failure()


def test_valid_release_is_returned():
    """Return a valid release unchanged."""
    release = make_release()
    assert check(release).unwrap() == release


INVALID_ORGANISATIONS = {
    "name must be of visible": [make_organisation("")],
    "'a\\nb': name must": [make_organisation("a\nb")],
    "'acme': name is used twice": [make_organisation(), make_organisation()],
    "'other': keys: organisation 'acme' has": [
        make_organisation("acme", "secret"),
        make_organisation("other", "mine", "secret"),
    ],
    "'acme': keys: a key is empty": [make_organisation("acme", "secret", "")],
    "'acme': rate_per_s: -1.0": [make_organisation(rate_per_s=-1.0)],
    "'acme': rate_per_s: nan": [make_organisation(rate_per_s=math.nan)],
    "'acme': burst: inf": [make_organisation(burst=math.inf)],
}


@pytest.mark.parametrize("reason", INVALID_ORGANISATIONS)
def test_invalid_organisation_is_refused(reason):
    """Name the organisation and the field, never a key."""
    organisations = tuple(INVALID_ORGANISATIONS[reason])
    problem = check(make_release(organisations=organisations)).failure()
    assert reason in problem
    assert "secret" not in problem


def test_kinds_that_may_be_repeated_are_named():
    """Run requests of every kind that is not named once."""
    kinds = {kind for kind in RouteKind if make_route(kind=kind).is_idempotent}
    assert kinds == {RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD}


def test_wrong_value_of_a_key_is_not_quoted():
    """Leave a key that is no text out of the error of the native protocol."""
    text = encode_release(make_release(organisations=(make_organisation("a", 171717),)))
    reason = NativeDialect().decode_release(text).failure()
    assert "must be" in reason
    assert "171717" not in reason
