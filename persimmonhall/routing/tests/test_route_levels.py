"""Check how levels and success rates of called routes reach their callers."""

import pytest

from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.route_levels import FRESH_S, RISE_PER_S, RouteLevels


def make_levels(ranks=3):
    """Build the levels of a node whose server has made no calls."""
    graph = CallGraph()
    levels = RouteLevels(graph)
    levels.set_ranks(ranks)
    return graph, levels


def test_unknown_route_is_open():
    """Admit every rank of a route without replies."""
    _, levels = make_levels()
    assert levels.level("charts", 0.0) == 3.0


def test_replies_average_and_age():
    """Average the levels of replies and rise again once they stop."""
    _, levels = make_levels()
    for _ in range(40):
        levels.note("charts", 2.0, 10.0)
    assert levels.level("charts", 10.0) == pytest.approx(2.0, abs=0.01)
    later = 10.0 + FRESH_S + 0.5
    assert levels.level("charts", later) == pytest.approx(2.0 + 0.5 * RISE_PER_S)
    assert levels.level("charts", 100.0) == 3.0


def test_lowest_call_bounds_the_route_above():
    """Report the level of a called route for its caller."""
    graph, levels = make_levels()
    graph.count_run("index")
    graph.count_call("lookup")
    graph.end_interval()
    levels.note("lookup", 1.4, 0.0)
    assert levels.level_below("index", 0.0) == pytest.approx(1.4)


def learn_calls(graph, times):
    """Simulate runs of index that make a number of lookup calls each."""
    for number in range(40):
        for _ in range(3 + number % 5):
            graph.count_run("index")
            for _ in range(times):
                graph.count_call("lookup")
        graph.end_interval()


def test_calls_tell_how_many_runs_end_well():
    """Predict the rate as that of answered calls to the power of calls per run."""
    graph, levels = make_levels()
    learn_calls(graph, 4)
    assert levels.success_by_calls("index", 9.0) > 0.9
    for number in range(200):
        levels.note_call("lookup", number % 2 == 0)
    assert levels.success_by_calls("index", 9.0) < 0.2
    for _ in range(20):
        levels.note_call("lookup", True)
    assert levels.success_by_calls("index", 9.0) > 0.8


def test_success_of_the_route_that_is_called_counts():
    """Use the success rate that replies report for a called route."""
    graph, levels = make_levels()
    learn_calls(graph, 1)
    levels.note_success("lookup", 0.1, 9.0)
    assert levels.success_by_calls("index", 9.0) < 0.2


def test_calls_that_are_not_known_tell_nothing():
    """Predict 0 while the calls are unknown, so that only the runs count."""
    _, levels = make_levels()
    assert levels.success_by_calls("index", 9.0) == 0.0


def test_success_is_taken_for_good_again_once_replies_stop():
    """Admit a route again that got no requests for a while."""
    _, levels = make_levels()
    levels.note_success("charts", 0.0, 10.0)
    assert levels.success("charts", 10.0) == 0.0
    assert levels.success("charts", 60.0) == 1.0
