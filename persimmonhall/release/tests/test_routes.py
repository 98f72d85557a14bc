"""Test route lookup and weighted service selection."""

import random
from collections import Counter

from persimmonhall.release.routes import MAX_RANKS, RouteTable
from persimmonhall.release.schema import WeightedService
from persimmonhall.release.tests.builders import (
    make_organisation,
    make_release,
    make_route,
)


def make_table(release):
    """Build the table of a release with a fixed seed."""
    return RouteTable(release, random.Random(1))


def test_longest_prefix_wins():
    """Choose the most specific route of a host."""
    wide = make_route("wide", prefix="/")
    narrow = make_route("narrow", prefix="/charts/sea/")
    table = make_table(make_release(wide, narrow))
    assert table.find("maps.example", "/charts/sea/1?day=2").name == "narrow"
    assert table.find("Maps.Example:80", "/charts/land").name == "wide"


def test_prefix_as_long_as_the_path_wins():
    """Match a prefix equal to the path, but no part of a path segment."""
    table = make_table(make_release(make_route("charts", prefix="/charts/")))
    assert table.find("maps.example", "/charts/").name == "charts"
    assert table.find("maps.example", "/charts") is None
    assert table.find("maps.example", "/chart/1") is None
    assert table.find("maps.example", "") is None


def test_path_with_many_slashes_is_examined_up_to_longest_prefix():
    """Examine no more of a path than the length of the longest prefix."""
    table = make_table(make_release(make_route("wide", prefix="/")))
    assert table.find("maps.example", "/" * 16_000).name == "wide"


def test_query_is_no_part_of_the_path():
    """Ignore the query when matching prefixes."""
    table = make_table(make_release(make_route(prefix="/charts/")))
    assert table.find("maps.example", "/?x=/charts/") is None


def test_other_host_has_no_route():
    """Return None for a host without routes."""
    assert make_table(make_release()).find("cue.example", "/charts/1") is None


# Requests of the first route of a name went to the service of the second.
def test_routes_with_one_name_keep_their_own_services():
    """Identify a route by host and prefix, also across releases."""
    charts = make_route("same", prefix="/charts/")
    reels = make_route("same", prefix="/reels/", targets=(WeightedService("cue", 1),))
    first = make_table(make_release(charts, reels))
    second = RouteTable(first.release, random.Random(1), first)
    for table in (first, second):
        for path, service in (("/charts/1", "maps"), ("/reels/1", "cue")):
            route = table.find("maps.example", path)
            assert table.choose_service(route) == service


def test_weights_are_exact_within_every_hundred_requests():
    """Follow the weights in each run of 100 requests, not only on average."""
    targets = (WeightedService("maps", 90), WeightedService("cue", 10))
    route = make_route(targets=targets)
    table = make_table(make_release(route))
    chosen = [table.choose_service(route) for _ in range(1000)]
    for start in range(0, 1000, 100):
        assert Counter(chosen[start : start + 100]) == {"maps": 90, "cue": 10}


def test_priorities_become_ranks_without_gaps():
    """Rank priorities by order, whatever numbers a release uses."""
    routes = [
        make_route(f"r{number}", prefix=f"/{number}/", priority=priority)
        for number, priority in enumerate((7, 0, 3, 7))
    ]
    table = make_table(make_release(*routes))
    assert [table.rank_of(route) for route in routes] == [2, 0, 1, 2]
    assert table.rank_count == 3


def test_priority_of_an_organisation_goes_before_that_of_the_route():
    """Rank pairs of priorities; without one, a route's priority counts twice."""
    urgent = make_route("urgent", prefix="/u/", priority=0)
    late = make_route("late", prefix="/l/", priority=2)
    internal = make_route("internal", prefix="/i/", priority=1, is_public=True)
    first = make_organisation("first", priority=0)
    last = make_organisation("last", priority=2)
    plain = make_organisation("plain")
    organisations = (first, last, plain)
    table = make_table(
        make_release(urgent, late, internal, organisations=organisations)
    )
    requests = [
        (urgent, first),
        (urgent, plain),
        (late, first),
        (internal, None),
        (urgent, last),
        (late, last),
        (late, plain),
    ]
    assert [table.rank_of(*request) for request in requests] == [0, 0, 1, 2, 3, 4, 4]
    assert table.rank_count == 5


def test_ranks_are_bounded():
    """Let neighbouring priorities share a rank if there are very many."""
    routes = [make_route(f"r{n}", prefix=f"/{n}/", priority=n) for n in range(1000)]
    table = make_table(make_release(*routes))
    ranks = [table.rank_of(route) for route in routes]
    assert ranks == sorted(ranks)
    assert table.rank_count == ranks[-1] + 1 <= MAX_RANKS
