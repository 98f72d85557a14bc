"""Check that the calls of each route are estimated from counts of mixed load."""

import random

import pytest

from persimmonhall.routing.call_graph import MIN_INTERVALS, CallGraph


def poisson(rng, mean):
    """Draw the number of runs that start in one interval."""
    count, total = 0, rng.expovariate(mean)
    while total < 1:
        count += 1
        total += rng.expovariate(mean)
    return count


def simulate_intervals(graph, rates, calls, intervals, seed=1):
    """Simulate runs of all routes and their calls, half of them an interval later."""
    rng = random.Random(seed)
    delayed_calls = []
    for _ in range(intervals):
        for called in delayed_calls:
            graph.count_call(called)
        delayed_calls = []
        for route, rate in rates.items():
            for _ in range(poisson(rng, rate)):
                graph.count_run(route)
                for called in calls.get(route, ()):
                    if rng.random() < 0.5:
                        graph.count_call(called)
                    else:
                        delayed_calls.append(called)
        graph.end_interval()


def test_route_without_calls_is_distinguished_from_one_with_calls():
    """Estimate no calls for bundle and five per run for index."""
    graph = CallGraph()
    rates = {"bundle": 2.0, "index": 12.0}
    simulate_intervals(graph, rates, {"index": ["lookup"] * 5}, 100)
    assert graph.possible_calls("bundle") == ()
    assert graph.possible_calls("index") == ("lookup",)
    assert graph.calls_per_run["index"]["lookup"] == pytest.approx(5, abs=0.5)


def test_two_routes_with_the_same_call_are_both_found():
    """Estimate two calls per order and one per price, all to the same route."""
    graph = CallGraph()
    rates = {"order": 8.0, "price": 28.0}
    simulate_intervals(graph, rates, {"order": ["index"] * 2, "price": ["index"]}, 300)
    assert graph.calls_per_run["order"]["index"] == pytest.approx(2, abs=0.6)
    assert graph.calls_per_run["price"]["index"] == pytest.approx(1, abs=0.3)


def test_rare_route_beside_a_busy_one_gets_no_calls():
    """Estimate no calls for bundle beside a busy index, in nine of ten seeds."""
    wrong = 0
    for seed in range(20):
        graph = CallGraph()
        rates = {"bundle": 0.43, "index": 8.5}
        simulate_intervals(graph, rates, {"index": ["lookup"] * 4}, 100, seed=seed)
        wrong += graph.possible_calls("bundle") != ()
        assert graph.possible_calls("index") == ("lookup",)
    assert wrong <= 2


def test_rare_route_that_makes_many_calls_is_found():
    """Detect the calls of a rare route that makes two per run."""
    graph = CallGraph()
    rates = {"publish": 1.0, "sync": 7.0}
    calls = {"publish": ["index"] * 2, "sync": ["index"]}
    simulate_intervals(graph, rates, calls, 300)
    assert graph.possible_calls("publish") == ("index",)


def test_every_route_may_make_every_call_before_enough_intervals():
    """Assume that any route may make any call until there are enough intervals."""
    graph = CallGraph()
    simulate_intervals(graph, {"bundle": 2.0, "index": 9.0}, {"index": ["lookup"]}, 5)
    assert MIN_INTERVALS > 5
    assert graph.possible_calls("bundle") == ("lookup",)


def test_estimates_follow_changed_calls():
    """Follow a new server version in which another route makes the calls."""
    graph = CallGraph()
    rates = {"a": 5.0, "b": 5.0}
    simulate_intervals(graph, rates, {"a": ["x"]}, 300)
    simulate_intervals(graph, rates, {"b": ["x"]}, 1000, seed=2)
    assert graph.possible_calls("a") == ()
    assert graph.possible_calls("b") == ("x",)
