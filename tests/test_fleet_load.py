"""Check who is served in a surge on a fleet whose entries get few replies each.

188 nodes in 6 zones; the deepest service has 168 slots and each root request that
browses or publishes makes eight calls to it.
"""

from dataclasses import replace
from pathlib import Path

import pytest

from harness.load_model.report import make_report
from harness.load_model.scenario import Disturbance, load_scenario
from harness.load_model.simulation import run_scenario

SCENARIO = (
    Path(__file__).parents[1]
    / "harness"
    / "load_model"
    / "scenarios"
    / "vanua_fleet_surge.toml"
)
MAX_TORN_FRACTION = 0.02


def simulate(burst, **changes):
    """Simulate a surge, at the higher load with callers that repeat at once."""
    disturbances = [Disturbance(at_s=1.0, for_s=5.0, burst=burst)]
    if burst > 2:
        disturbances.append(
            Disturbance(at_s=2.0, for_s=3.0, eager_share=0.4, eager_times=3)
        )
    scenario = replace(
        load_scenario(SCENARIO),
        length_s=6.0,
        disturbances=tuple(disturbances),
        **changes,
    )
    return make_report(run_scenario(scenario))


@pytest.fixture(scope="module", params=[1.8, 2.5])
def surge(request):
    """Simulate a surge at one load."""
    return simulate(request.param)


def test_surge_on_a_fleet_tears_almost_no_tree_of_the_most_urgent_kind(surge):
    """Admit only roots whose calls are run: under 2 in 100 fail after they ran."""
    publish = surge.kinds["seg-publish"]
    assert publish["failed"] <= MAX_TORN_FRACTION * publish["asked"]


def test_surge_on_a_fleet_serves_the_urgent_kinds_before_browsing(surge):
    """Refuse the least urgent kind first, whoever receives the requests."""
    browsing = surge.kinds["chart-read"]["served"]
    for kind in ("seg-publish", "glyph-read"):
        assert surge.kinds[kind]["served"] >= browsing


def test_entries_of_a_fleet_know_levels_they_get_no_replies_about():
    """Sharing levels halves the work that is wasted, and more urgent ones are in time.

    Alone, an entry gets a reply of a route about once a second.
    """
    alone, sharing = simulate(2.5, shares_levels=False), simulate(2.5)
    assert sharing.wasted_fraction < alone.wasted_fraction / 2
    assert sharing.goodput > alone.goodput
    publish, publish_alone = (r.kinds["seg-publish"] for r in (sharing, alone))
    assert publish["in_time"] / publish["asked"] > (
        publish_alone["in_time"] / publish_alone["asked"]
    )
