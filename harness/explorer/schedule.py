"""Generate and run the random fault schedule of a seed."""

import random
from dataclasses import dataclass

from harness.explorer.checker import ViolationError
from harness.explorer.replica import FULL, Variant
from harness.explorer.world import NetworkFaults, World

FAULTS_S = 20.0
QUIET_S = 8.0
CHANGES = 120
MAX_REPLICAS = 5
MAX_FALSE_HINTS = 10


@dataclass(frozen=True)
class Outcome:
    """Summarise the run of one seed."""

    seed: int
    steps: int
    faults: int
    changes: int
    violation: str = ""


def run_seed(seed: int, variant: Variant | None = None) -> Outcome:
    """Run the fault schedule of a seed and check the invariants."""
    variant = variant or FULL
    world = World(seed, variant)
    rng = random.Random(seed + 1)
    faults = _draw(world, rng)
    if variant.hints:
        faults += _draw_false_hints(world, random.Random(seed + 3))
    try:
        world.run_until(FAULTS_S)
        world.heal()
        world.run_until(FAULTS_S + QUIET_S)
        world.check_end()
        check_progress(world)
    except (ViolationError, AssertionError) as error:
        text = f"{type(error).__name__}: {error}"
        return Outcome(seed, world.steps, faults, len(world.checker.answers), text)
    return Outcome(seed, world.steps, faults, len(world.checker.answers))


def check_progress(world: World) -> None:
    """Check that a change is answered after all faults ended."""
    world.client_change(CHANGES, leader_share=1.0)
    world.run_until(world.now + QUIET_S)
    if f"c{CHANGES}" not in world.checker.answers:
        raise ViolationError("no change was answered after all faults ended")


def _draw(world: World, rng: random.Random) -> int:
    for number in range(CHANGES):
        world.at(rng.random() * FAULTS_S, world.client_change, number)
    count = rng.randint(5, 30)
    for _ in range(count):
        world.at(rng.random() * FAULTS_S, rng.choice(FAULTS), world, rng)
    return count


def _draw_false_hints(world: World, rng: random.Random) -> int:
    count = rng.randint(0, MAX_FALSE_HINTS)
    for _ in range(count):
        world.at(rng.random() * FAULTS_S, world.hint_falsely)
    return count


def _pick(world: World, rng: random.Random) -> str:
    leader = world.leader
    if leader is not None and rng.random() < 0.4:
        return leader.name
    return rng.choice(list(world.replicas))


def _disturb(world: World, rng: random.Random) -> None:
    world.faults = NetworkFaults(
        loss=rng.choice((0.0, 0.05, 0.3)),
        double=rng.choice((0.0, 0.1, 0.3)),
        delay_s=rng.choice((0.002, 0.02, 0.1)),
        late=rng.choice((0.0, 0.05, 0.2)),
    )


def _cut_one_way(world: World, rng: random.Random) -> None:
    names = list(world.replicas)
    if len(names) > 1:
        world.cuts.add(tuple(rng.sample(names, 2)))


def _isolate(world: World, rng: random.Random) -> None:
    name = _pick(world, rng)
    pairs = [(name, o) for o in world.replicas] + [(o, name) for o in world.replicas]
    world.cuts.update(pairs)
    world.at(world.now + rng.random() * 6, world.cuts.difference_update, pairs)


def _heal(world: World, rng: random.Random) -> None:
    world.heal()


def _freeze(world: World, rng: random.Random) -> None:
    world.freeze(_pick(world, rng), rng.random() * 4)


def _crash(world: World, rng: random.Random) -> None:
    world.crash(_pick(world, rng), rng.random() * 3)


def _crash_most(world: World, rng: random.Random) -> None:
    for name in list(world.replicas):
        if rng.random() < 0.7:
            world.crash(name, rng.random() * 2)


def _lose_disk(world: World, rng: random.Random) -> None:
    name = _pick(world, rng)
    if world.may_lose_disk(name):
        world.lose_disk(name)


def _slow_disk(world: World, rng: random.Random) -> None:
    world.replicas[_pick(world, rng)].sync_s = rng.choice((0.05, 0.3, 1.0))


def _transfer(world: World, rng: random.Random) -> None:
    leader = world.leader
    if leader is not None and not leader.frozen:
        leader.core.transfer_leadership(world.now)
        world.after_input(leader)


def _add_replica(world: World, rng: random.Random) -> None:
    if len(world.replicas) < MAX_REPLICAS:
        world.add_empty(f"r{len(world.replicas) + 1}")


def _remove_replica(world: World, rng: random.Random) -> None:
    leader = world.leader
    if leader is None or leader.frozen or len(leader.core.replicas.voters) < 4:
        return
    voter = rng.choice(leader.core.replicas.voters)
    leader.core.remove(voter, world.now)
    world.after_input(leader)


FAULTS = (
    _disturb,
    _cut_one_way,
    _isolate,
    _heal,
    _freeze,
    _crash,
    _crash,
    _crash_most,
    _lose_disk,
    _slow_disk,
    _transfer,
    _add_replica,
    _remove_replica,
)
