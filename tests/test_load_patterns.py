"""Check which requests are served under each load pattern, in the load model.

The bounds are those that the users state: no kind of request is served less often
than a less urgent one that leads to the same service by over 5 in 100, none is
served less than a quarter as often as all on average, and refused requests are
refused before they run.
"""

from dataclasses import replace
from pathlib import Path

import pytest

from harness.load_model.report import report_of
from harness.load_model.scenario import Disturbance, load_scenario
from harness.load_model.world import play
from persimmonhall.admission.success_rate import PROBE_FRACTION

MODELS = Path(__file__).parents[1] / "harness" / "load_model" / "scenarios"
SLACK = 0.05
STARVED_SHARE = 0.25
CALM_SHARE = 0.99
SHED_S = 7.0
NOTICED_S = 1.5


def run(name, *disturbances, length_s=7.0, scale=1.0):
    """Simulate a deployment, scaled to a fraction of its size, with disturbances."""
    scenario = load_scenario(MODELS / f"{name}_surge.toml")
    kinds = tuple(replace(k, per_s=k.per_s * scale) for k in scenario.kinds)
    services = tuple(
        replace(s, slots=max(2, round(s.slots * scale))) for s in scenario.services
    )
    scenario = replace(
        scenario,
        kinds=kinds,
        services=services,
        disturbances=disturbances,
        length_s=length_s,
    )
    return report_of(play(scenario))


def served(report, kind):
    """Return the fraction of a kind of request that was served."""
    return report.kinds[kind]["served"]


def test_calm_load_is_served_whole():
    """Refuse almost no request at the ordinary rates."""
    report = run("vanua", length_s=5.0)
    assert all(kind["served"] >= CALM_SHARE for kind in report.kinds.values())


@pytest.fixture(scope="module")
def surge():
    """Simulate 2.3 times the load where the deepest service has the least capacity."""
    return run("vanua", Disturbance(at_s=1.0, for_s=6.0, burst=2.3))


def test_surge_takes_the_least_urgent_roots_first(surge):
    """Overload: shed chart reads before publishing."""
    assert served(surge, "seg-publish") >= served(surge, "chart-read") - SLACK
    assert served(surge, "glyph-read") >= served(surge, "chart-read") - SLACK


def test_surge_starves_no_kind(surge):
    """Overload: serve every kind at least a quarter as often as all on average."""
    asked = sum(kind["asked"] for kind in surge.kinds.values())
    answered = sum(kind["in_time"] + kind["late"] for kind in surge.kinds.values())
    for kind in surge.kinds.values():
        assert kind["served"] >= STARVED_SHARE * answered / asked


def test_surge_fails_next_to_nothing_that_it_let_in(surge):
    """Overload: shed requests are refused and do not fail after they were admitted."""
    asked = sum(kind["asked"] for kind in surge.kinds.values())
    failed = sum(kind["failed"] for kind in surge.kinds.values())
    assert failed <= 0.01 * asked


def test_slow_deep_server_is_relieved_by_the_others():
    """Slow server: one of four glyph servers that is five times slower fails few."""
    slow = Disturbance(at_s=1.0, for_s=5.0, slow_service="glyph", slow_times=5.0)
    report = run("vanua", slow, scale=1.0)
    assert served(report, "seg-publish") >= 0.95


def test_goodput_recovers_soon_after_a_surge():
    """End of overload: goodput recovers within the four seconds of a window."""
    report = run("vanua", Disturbance(at_s=3.0, for_s=2.0, burst=2.3), length_s=10.0)
    assert report.recovery_s <= 4.0


@pytest.fixture(scope="module")
def shedding():
    """Simulate a burst while every server of the deepest service sheds about half."""
    burst = Disturbance(at_s=1.0, for_s=SHED_S, burst=1.7)
    shed = Disturbance(at_s=1.0, for_s=SHED_S, shed_service="glyph", shed_share=0.55)
    return run("vanua", burst, shed, length_s=1.0 + SHED_S)


def test_roots_whose_calls_all_fail_are_refused_before_they_run(shedding):
    """Downstream shedding: detected within a second and a half, then only probes run.

    A refused caller retries once, so each request has two attempts.
    """
    tried = 1 - (1 - PROBE_FRACTION) ** 2
    most = (NOTICED_S + tried * (SHED_S - NOTICED_S)) / SHED_S
    for kind in ("chart-read", "seg-publish"):
        counts = shedding.kinds[kind]
        assert counts["failed"] <= most * counts["asked"], kind


def test_roots_of_the_shedding_service_itself_go_on(shedding):
    """Downstream shedding: requests that need only one answer are still admitted."""
    glyph = shedding.kinds["glyph-read"]
    assert glyph["served"] >= 0.45


def test_trees_are_served_again_once_their_calls_succeed():
    """End of shedding: goodput recovers within the four seconds of a window."""
    shed = Disturbance(at_s=3.0, for_s=3.0, shed_service="glyph", shed_share=0.55)
    report = run("vanua", shed, length_s=11.0)
    assert report.recovery_s <= 4.0


def test_callers_who_return_at_once_do_not_push_others_out():
    """Callers that retry at once: the most urgent kind is served as before."""
    eager = Disturbance(at_s=1.0, for_s=4.0, eager_share=0.4, eager_times=3)
    burst = Disturbance(at_s=1.0, for_s=4.0, burst=1.7)
    report = run("vanua", eager, burst, length_s=5.0)
    assert served(report, "seg-publish") >= 0.95
