"""Generate and run the random fault schedule of a seed."""

import random
from dataclasses import dataclass

from harness.explorer.checker import ViolationError
from harness.explorer.cluster import NetworkFaults, SimulatedCluster
from harness.explorer.replica import FULL_VARIANT, Variant

FAULT_PHASE_S = 20.0
FAULT_FREE_S = 8.0
CHANGE_COUNT = 120
MAX_REPLICAS = 5
MAX_FALSE_HINTS = 10


@dataclass(frozen=True)
class SeedResult:
    """Summarise the run of one seed."""

    seed: int
    steps: int
    faults: int
    changes: int
    violation: str = ""


def run_seed(seed: int, variant: Variant | None = None) -> SeedResult:
    """Run the fault schedule of a seed and check the invariants."""
    variant = variant or FULL_VARIANT
    cluster = SimulatedCluster(seed, variant)
    rng = random.Random(seed + 1)
    faults = _schedule_faults(cluster, rng)
    if variant.peer_exit_hints:
        faults += _schedule_false_hints(cluster, random.Random(seed + 3))
    try:
        cluster.run_until(FAULT_PHASE_S)
        cluster.repair()
        cluster.run_until(FAULT_PHASE_S + FAULT_FREE_S)
        cluster.check_end()
        check_progress(cluster)
        cluster.check_members()
    except (ViolationError, AssertionError) as error:
        text = f"{type(error).__name__}: {error}"
        return SeedResult(
            seed, cluster.steps, faults, len(cluster.checker.answers), text
        )
    return SeedResult(seed, cluster.steps, faults, len(cluster.checker.answers))


def check_progress(cluster: SimulatedCluster) -> None:
    """Check that a change is answered after all faults ended."""
    cluster.send_change(CHANGE_COUNT, leader_probability=1.0)
    cluster.run_until(cluster.now + FAULT_FREE_S)
    if f"c{CHANGE_COUNT}" not in cluster.checker.answers:
        raise ViolationError("no change was answered after all faults ended")


def _schedule_faults(cluster: SimulatedCluster, rng: random.Random) -> int:
    for number in range(CHANGE_COUNT):
        cluster.call_at(rng.random() * FAULT_PHASE_S, cluster.send_change, number)
    count = rng.randint(5, 30)
    for _ in range(count):
        cluster.call_at(rng.random() * FAULT_PHASE_S, rng.choice(FAULTS), cluster, rng)
    return count


def _schedule_false_hints(cluster: SimulatedCluster, rng: random.Random) -> int:
    count = rng.randint(0, MAX_FALSE_HINTS)
    for _ in range(count):
        cluster.call_at(rng.random() * FAULT_PHASE_S, cluster.send_false_exit_hint)
    return count


def _pick_replica(cluster: SimulatedCluster, rng: random.Random) -> str:
    leader = cluster.leader
    if leader is not None and rng.random() < 0.4:
        return leader.name
    return rng.choice(list(cluster.replicas))


def _degrade_network(cluster: SimulatedCluster, rng: random.Random) -> None:
    cluster.faults = NetworkFaults(
        loss=rng.choice((0.0, 0.05, 0.3)),
        duplicates=rng.choice((0.0, 0.1, 0.3)),
        delay_s=rng.choice((0.002, 0.02, 0.1)),
        late=rng.choice((0.0, 0.05, 0.2)),
    )


def _cut_one_way(cluster: SimulatedCluster, rng: random.Random) -> None:
    names = list(cluster.replicas)
    if len(names) > 1:
        cluster.cuts.add(tuple(rng.sample(names, 2)))


def _isolate(cluster: SimulatedCluster, rng: random.Random) -> None:
    name = _pick_replica(cluster, rng)
    pairs = [(name, o) for o in cluster.replicas] + [
        (o, name) for o in cluster.replicas
    ]
    cluster.cuts.update(pairs)
    cluster.call_at(
        cluster.now + rng.random() * 6, cluster.cuts.difference_update, pairs
    )


def _repair(cluster: SimulatedCluster, rng: random.Random) -> None:
    cluster.repair()


def _freeze(cluster: SimulatedCluster, rng: random.Random) -> None:
    cluster.freeze(_pick_replica(cluster, rng), rng.random() * 4)


def _crash(cluster: SimulatedCluster, rng: random.Random) -> None:
    cluster.crash(_pick_replica(cluster, rng), rng.random() * 3)


def _crash_several(cluster: SimulatedCluster, rng: random.Random) -> None:
    for name in list(cluster.replicas):
        if rng.random() < 0.7:
            cluster.crash(name, rng.random() * 2)


def _lose_disk(cluster: SimulatedCluster, rng: random.Random) -> None:
    name = _pick_replica(cluster, rng)
    if cluster.can_lose_disk(name):
        cluster.lose_disk(name)


def _slow_disk(cluster: SimulatedCluster, rng: random.Random) -> None:
    cluster.replicas[_pick_replica(cluster, rng)].sync_s = rng.choice((0.05, 0.3, 1.0))


def _transfer_leadership(cluster: SimulatedCluster, rng: random.Random) -> None:
    leader = cluster.leader
    if leader is not None and not leader.frozen:
        leader.core.transfer_leadership(cluster.now)
        cluster.handle_output(leader)


def _add_replica(cluster: SimulatedCluster, rng: random.Random) -> None:
    if len(cluster.replicas) < MAX_REPLICAS:
        cluster.add_empty(f"r{len(cluster.replicas) + 1}")


def _remove_replica(cluster: SimulatedCluster, rng: random.Random) -> None:
    leader = cluster.leader
    if leader is None or leader.frozen or len(leader.core.replicas.voters) < 4:
        return
    voter = rng.choice(leader.core.replicas.voters)
    if leader.core.remove(voter, cluster.now):
        cluster.removed.add(voter)
    cluster.handle_output(leader)


FAULTS = (
    _degrade_network,
    _cut_one_way,
    _isolate,
    _repair,
    _freeze,
    _crash,
    _crash,
    _crash_several,
    _lose_disk,
    _slow_disk,
    _transfer_leadership,
    _add_replica,
    _remove_replica,
)
