"""Run schedules that each target a Raft rule that random faults seldom reach."""

import random
from collections.abc import Callable

from harness.explorer.checker import ViolationError
from harness.explorer.replica import SimReplica, Variant
from harness.explorer.schedule import Outcome, check_progress
from harness.explorer.world import World
from persimmonhall.raft.role import Role

START_S = 5.0
SPLIT_S = 6.0
ROUNDS = 40
POLL_S = 0.001
LONGEST_LEAD_S = 0.03
LONGEST_DOWN_S = 2.5
QUIET_S = 8.0
VOTERS = {"overlapping_changes": 5, "early_change": 4}
REMOVED = 2

Schedule = Callable[[World, random.Random], None]


def run_directed(schedule: Schedule, seed: int, variant: Variant) -> Outcome:
    """Run one directed schedule and check it."""
    world = World(seed, variant, VOTERS.get(schedule.__name__, 3))
    violation = ""
    try:
        schedule(world, random.Random(seed + 1))
        world.heal()
        world.run_until(world.now + QUIET_S)
        world.check_end()
        check_progress(world)
    except (ViolationError, AssertionError) as error:
        violation = f"{type(error).__name__}: {error}"
    return Outcome(seed, world.steps, 0, len(world.checker.answers), violation)


def overlapping_changes(world: World, rng: random.Random) -> None:
    """Let a leader in a minority remove several voters of the majority at once."""
    world.run_until(START_S)
    leader = world.leader
    others = [r for r in world.replicas.values() if r is not leader]
    partner = rng.choice(others)
    far = [r for r in others if r is not partner]
    _split(world, [leader, partner], far)
    for removed in rng.sample(far, REMOVED):
        leader.core.remove(removed.replica_id, world.now)
        world.after_input(leader)
    for number in range(ROUNDS):
        at = world.now + rng.random() * SPLIT_S
        world.at(at, world.client_change, number)
    world.run_until(START_S + SPLIT_S)


def early_change(world: World, rng: random.Random) -> None:
    """Let a new leader change the replica set before committing in its own term."""
    world.run_until(START_S)
    old = world.leader
    others = [r for r in world.replicas.values() if r is not old]
    joined = _catch_up_learner(world, old)
    _split(world, [old, joined], others)
    while (new := _next_leader(world)) is old:
        world.run_until(world.now + POLL_S)
    partner, late = rng.sample([r for r in others if r is not new], 2)
    _split(world, [new, partner], [late])
    world.run_until(world.now + rng.uniform(0.01, LONGEST_LEAD_S))
    new.core.remove(old.replica_id, world.now)
    world.after_input(new)
    for number in range(ROUNDS):
        world.at(world.now + rng.random(), world.client_change, number)
    world.run_until(world.now + 1.0)
    world.cuts.clear()
    _split(world, [new, partner], [old, joined, late])
    world.run_until(world.now + 2 * SPLIT_S)


def _catch_up_learner(world: World, leader: SimReplica) -> SimReplica:
    """Add a replica and return it just before it becomes a voter."""
    world.add_empty("r5")
    joined = world.replicas["r5"]
    while (
        leader.core.match_indexes.get(joined.replica_id, 0) < leader.core.commit_index
    ):
        world.run_until(world.now + POLL_S)
    return joined


def short_leaders(world: World, rng: random.Random) -> None:
    """Crash each leader shortly after its election, with changes in progress."""
    for number in range(ROUNDS):
        leader = _next_leader(world)
        if rng.random() < 0.5:
            _cut_one(world, leader, rng)
        leader.propose(f"c{number}", f"k{number}", 0)
        world.after_input(leader)
        world.run_until(world.now + rng.random() * LONGEST_LEAD_S)
        world.crash(leader.name, rng.random() * LONGEST_DOWN_S)
        world.cuts.clear()


def _split(world: World, near: list[SimReplica], far: list[SimReplica]) -> None:
    pairs = [(a.name, b.name) for a in near for b in far]
    world.cuts.update(pairs)
    world.cuts.update((b, a) for a, b in pairs)


def _cut_one(world: World, leader: SimReplica, rng: random.Random) -> None:
    others = [r for r in world.replicas.values() if r is not leader]
    _split(world, [leader], [rng.choice(others)])


def _next_leader(world: World) -> SimReplica:
    while (leader := world.leader) is None or leader.core.role is not Role.LEADER:
        world.run_until(world.now + POLL_S)
    return leader
