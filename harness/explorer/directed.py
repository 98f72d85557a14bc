"""Run schedules that each target a Raft rule that random faults seldom reach."""

import random
from collections.abc import Callable

from harness.explorer.checker import ViolationError
from harness.explorer.cluster import SimulatedCluster
from harness.explorer.replica import SimulatedReplica, Variant
from harness.explorer.schedule import SeedResult, check_progress
from persimmonhall.raft.role import Role

START_S = 5.0
SPLIT_S = 6.0
CHANGE_COUNT = 40
POLL_INTERVAL_S = 0.001
MAX_LEADERSHIP_S = 0.03
MAX_DOWNTIME_S = 2.5
FAULT_FREE_S = 8.0
VOTER_COUNTS = {"overlapping_set_changes": 5, "premature_set_change": 4}
REMOVED_VOTERS = 2

Schedule = Callable[[SimulatedCluster, random.Random], None]


def run_directed(schedule: Schedule, seed: int, variant: Variant) -> SeedResult:
    """Run one directed schedule and check it."""
    cluster = SimulatedCluster(seed, variant, VOTER_COUNTS.get(schedule.__name__, 3))
    violation = ""
    try:
        schedule(cluster, random.Random(seed + 1))
        cluster.repair()
        cluster.run_until(cluster.now + FAULT_FREE_S)
        cluster.check_end()
        check_progress(cluster)
    except (ViolationError, AssertionError) as error:
        violation = f"{type(error).__name__}: {error}"
    return SeedResult(seed, cluster.steps, 0, len(cluster.checker.answers), violation)


def overlapping_set_changes(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Let a leader in a minority remove several voters of the majority at once."""
    cluster.run_until(START_S)
    leader = cluster.leader
    others = [r for r in cluster.replicas.values() if r is not leader]
    partner = rng.choice(others)
    majority = [r for r in others if r is not partner]
    _split(cluster, [leader, partner], majority)
    for removed in rng.sample(majority, REMOVED_VOTERS):
        leader.core.remove(removed.replica_id, cluster.now)
        cluster.handle_output(leader)
    for number in range(CHANGE_COUNT):
        at = cluster.now + rng.random() * SPLIT_S
        cluster.call_at(at, cluster.send_change, number)
    cluster.run_until(START_S + SPLIT_S)


def premature_set_change(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Let a new leader change the replica set before committing in its own term."""
    cluster.run_until(START_S)
    old = cluster.leader
    others = [r for r in cluster.replicas.values() if r is not old]
    learner = _catch_up_learner(cluster, old)
    _split(cluster, [old, learner], others)
    while (new := _wait_for_leader(cluster)) is old:
        cluster.run_until(cluster.now + POLL_INTERVAL_S)
    partner, late = rng.sample([r for r in others if r is not new], 2)
    _split(cluster, [new, partner], [late])
    cluster.run_until(cluster.now + rng.uniform(0.01, MAX_LEADERSHIP_S))
    new.core.remove(old.replica_id, cluster.now)
    cluster.handle_output(new)
    for number in range(CHANGE_COUNT):
        cluster.call_at(cluster.now + rng.random(), cluster.send_change, number)
    cluster.run_until(cluster.now + 1.0)
    cluster.cuts.clear()
    _split(cluster, [new, partner], [old, learner, late])
    cluster.run_until(cluster.now + 2 * SPLIT_S)


def _catch_up_learner(
    cluster: SimulatedCluster, leader: SimulatedReplica
) -> SimulatedReplica:
    """Add a replica and return it just before it becomes a voter."""
    cluster.add_empty("r5")
    learner = cluster.replicas["r5"]
    while (
        leader.core.match_indexes.get(learner.replica_id, 0) < leader.core.commit_index
    ):
        cluster.run_until(cluster.now + POLL_INTERVAL_S)
    return learner


def short_lived_leaders(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Crash each leader shortly after its election, with changes in progress."""
    for number in range(CHANGE_COUNT):
        leader = _wait_for_leader(cluster)
        if rng.random() < 0.5:
            _cut_from_one(cluster, leader, rng)
        leader.propose(f"c{number}", f"k{number}", 0)
        cluster.handle_output(leader)
        cluster.run_until(cluster.now + rng.random() * MAX_LEADERSHIP_S)
        cluster.crash(leader.name, rng.random() * MAX_DOWNTIME_S)
        cluster.cuts.clear()


def _split(
    cluster: SimulatedCluster,
    one_side: list[SimulatedReplica],
    other_side: list[SimulatedReplica],
) -> None:
    pairs = [(a.name, b.name) for a in one_side for b in other_side]
    cluster.cuts.update(pairs)
    cluster.cuts.update((b, a) for a, b in pairs)


def _cut_from_one(
    cluster: SimulatedCluster, leader: SimulatedReplica, rng: random.Random
) -> None:
    others = [r for r in cluster.replicas.values() if r is not leader]
    _split(cluster, [leader], [rng.choice(others)])


def _wait_for_leader(cluster: SimulatedCluster) -> SimulatedReplica:
    while (leader := cluster.leader) is None or leader.core.role is not Role.LEADER:
        cluster.run_until(cluster.now + POLL_INTERVAL_S)
    return leader
