"""Check that the calls of each route are estimated from counts of mixed load."""

import random

import pytest

from persimmonhall.routing.call_graph import LEAST_INTERVALS, CallGraph


def poisson(rng, mean):
    """Draw the number of runs that start in one interval."""
    count, total = 0, rng.expovariate(mean)
    while total < 1:
        count += 1
        total += rng.expovariate(mean)
    return count


def learn(graph, rates, calls, intervals, seed=1):
    """Simulate runs of all routes and their calls, half of them an interval later."""
    rng = random.Random(seed)
    late = []
    for _ in range(intervals):
        for called in late:
            graph.count_call(called)
        late = []
        for route, rate in rates.items():
            for _ in range(poisson(rng, rate)):
                graph.count_run(route)
                for called in calls.get(route, ()):
                    if rng.random() < 0.5:
                        graph.count_call(called)
                    else:
                        late.append(called)
        graph.end_interval()


def test_route_without_calls_is_told_from_one_with_calls():
    """Estimate no calls for bundle and five per run for index."""
    graph = CallGraph()
    rates = {"bundle": 2.0, "index": 12.0}
    learn(graph, rates, {"index": ["lookup"] * 5}, 100)
    assert graph.calls_of("bundle") == ()
    assert graph.calls_of("index") == ("lookup",)
    assert graph.weights["index"]["lookup"] == pytest.approx(5, abs=0.5)


def test_two_routes_with_the_same_call_are_both_found():
    """Estimate two calls per order and one per price, all to the same route."""
    graph = CallGraph()
    rates = {"order": 8.0, "price": 28.0}
    learn(graph, rates, {"order": ["index"] * 2, "price": ["index"]}, 300)
    assert graph.weights["order"]["index"] == pytest.approx(2, abs=0.6)
    assert graph.weights["price"]["index"] == pytest.approx(1, abs=0.3)


def test_rare_route_beside_a_busy_one_is_not_taken_for_a_caller():
    """Estimate no calls for bundle beside a busy index, in nine of ten seeds."""
    wrong = 0
    for seed in range(20):
        graph = CallGraph()
        rates = {"bundle": 0.43, "index": 8.5}
        learn(graph, rates, {"index": ["lookup"] * 4}, 100, seed=seed)
        wrong += graph.calls_of("bundle") != ()
        assert graph.calls_of("index") == ("lookup",)
    assert wrong <= 2


def test_rare_route_that_makes_many_calls_is_found():
    """Detect the calls of a rare route that makes two per run."""
    graph = CallGraph()
    rates = {"publish": 1.0, "sync": 7.0}
    calls = {"publish": ["index"] * 2, "sync": ["index"]}
    learn(graph, rates, calls, 300)
    assert graph.calls_of("publish") == ("index",)


def test_every_call_counts_for_every_route_at_first():
    """Assume that any route may make any call until there are enough intervals."""
    graph = CallGraph()
    learn(graph, {"bundle": 2.0, "index": 9.0}, {"index": ["lookup"]}, 5)
    assert LEAST_INTERVALS > 5
    assert graph.calls_of("bundle") == ("lookup",)


def test_changed_calls_are_learned_anew():
    """Follow a new server version in which another route makes the calls."""
    graph = CallGraph()
    rates = {"a": 5.0, "b": 5.0}
    learn(graph, rates, {"a": ["x"]}, 300)
    learn(graph, rates, {"b": ["x"]}, 1000, seed=2)
    assert graph.calls_of("a") == ()
    assert graph.calls_of("b") == ("x",)
