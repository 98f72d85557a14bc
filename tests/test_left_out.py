"""Check with real processes that a control VM left out of the set gets back in."""

import pytest
import trio

from persimmonhall.control.voter_replacement import REMOVE_AFTER_S, STABLE_AFTER_S
from tests.control_cluster import open_control_cluster
from tests.portal import open_portal


@pytest.fixture
def running_cluster():
    with open_portal(open_control_cluster) as (portal, cluster):
        yield portal, cluster


async def _pause_until_it_is_left_out(cluster, name: str) -> None:
    paused = cluster.system.control[name]
    paused.suspend()

    async def is_left_out() -> bool:
        rows = (await cluster.client(cluster.leader).get("/replicas")).value_or(())
        return bool(rows) and name not in [row["name"] for row in rows]

    await trio.sleep(REMOVE_AFTER_S)
    await cluster.system.wait_until(is_left_out, f"{name} left out")
    await cluster.put_changes(6)
    paused.resume()


def test_fourth_control_vm_that_was_late_costs_no_paused_one_its_place(
    running_cluster,
):
    """The set had settled at three, so a paused one counted as replaced for good."""
    portal, cluster = running_cluster
    portal.run(lambda: cluster.start(3, retire_replaced=True))
    portal.run(trio.sleep, STABLE_AFTER_S + 1)
    portal.run(lambda: cluster.start(1, retire_replaced=True))
    before = portal.run(cluster.disk_ids)
    paused = next(name for name in before if name != cluster.leader)
    portal.run(_pause_until_it_is_left_out, cluster, paused)
    portal.run(cluster.system.wait_for_voters, 4)
    assert portal.run(cluster.disk_ids) == before
    portal.run(cluster.wait_for_accepted_revisions)
