"""Check how levels of deep services reach the routes above them."""

import pytest

from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.route_levels import FRESH_S, RISE_PER_S, RouteLevels


def make_levels(ranks=3):
    """Build levels of a node whose server calls nothing yet."""
    graph = CallGraph()
    levels = RouteLevels(graph)
    levels.set_ranks(ranks)
    return graph, levels


def test_unknown_route_is_open():
    """Let everything in where nothing was heard."""
    _, levels = make_levels()
    assert levels.level("charts", 0.0) == 3.0


def test_replies_average_and_age():
    """Follow replies, and rise again once they stop."""
    _, levels = make_levels()
    for _ in range(40):
        levels.note("charts", 2.0, 10.0)
    assert levels.level("charts", 10.0) == pytest.approx(2.0, abs=0.01)
    later = 10.0 + FRESH_S + 0.5
    assert levels.level("charts", later) == pytest.approx(2.0 + 0.5 * RISE_PER_S)
    assert levels.level("charts", 100.0) == 3.0


def test_lowest_call_bounds_the_route_above():
    """Pass the level of the busiest called service on."""
    graph, levels = make_levels()
    graph.count_run("index")
    graph.count_call("lookup")
    graph.end_interval()
    levels.note("lookup", 1.4, 0.0)
    assert levels.level_below("index", 0.0) == pytest.approx(1.4)
