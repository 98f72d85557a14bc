"""Run schedules in which the disks of replicas are full one after another.

By hand: `python -m harness.explorer.full_disks --seeds 1000`.
"""

import argparse
import random
import sys
from collections import Counter
from types import SimpleNamespace

from harness.explorer.checker import ViolationError
from harness.explorer.cluster import SimulatedCluster
from harness.explorer.replica import FULL_VARIANT, SimulatedReplica
from harness.explorer.schedule import SeedResult
from persimmonhall.control.voter_replacement import (
    CHECK_INTERVAL_S,
    STABLE_AFTER_S,
    ReplacedVoterRemover,
)

START_S = 3.0
FULL_S = (1.0, 5.0)
GAPS_S = (0.0, 0.1, 2.0)
CHANGE_INTERVAL_S = 0.1
# A change is answered within this time once no disk is full.
RECOVERY_S = 4.0
POLL_INTERVAL_S = 0.05
FIRST_PROBE = 100_000


class FullDisks:
    """Fill the disks of one cluster; check that changes go on afterwards."""

    def __init__(self, seed: int):
        self._rng = random.Random(seed + 1)
        initial, added = self._rng.choice(((3, 0), (4, 0), (3, 1)))
        self.cluster = SimulatedCluster(seed, FULL_VARIANT, initial)
        self._added = added
        self._changes = 0
        self._is_over = False

    def run(self) -> None:
        """Run the schedule; raise ViolationError if a check fails."""
        cluster, rng = self.cluster, self._rng
        for replica in cluster.replicas.values():
            self._check_for_replaced(replica)
        cluster.run_until(START_S + STABLE_AFTER_S)
        for number in range(self._added):
            cluster.add_empty(f"added-{number}")
            self._check_for_replaced(cluster.replicas[f"added-{number}"])
        cluster.run_until(cluster.now + START_S)
        voters = set(cluster.leader.core.replicas.voters)
        self._send_changes()
        for _ in range(rng.choice((1, 2))):
            self._fill_one_after_another()
        self._is_over = True
        self._check_recovery()
        if (now := set(cluster.leader.core.replicas.voters)) != voters:
            raise ViolationError(f"{voters - now} removed with a full disk")
        cluster.run_until(cluster.now + START_S)
        cluster.check_end()

    def _check_for_replaced(self, replica: SimulatedReplica) -> None:
        driver = SimpleNamespace(wake=lambda: None)
        remover = ReplacedVoterRemover(replica.core, driver)

        def step(core: object) -> None:
            if replica.up and replica.core is core:
                remover.step(self.cluster.now)
                self.cluster.handle_output(replica)
                later = self.cluster.now + CHECK_INTERVAL_S
                self.cluster.call_at(later, step, core)

        step(replica.core)

    def _send_changes(self) -> None:
        if self._is_over:
            return
        self._changes += 1
        self.cluster.send_change(self._changes, attempts=3)
        later = self.cluster.now + CHANGE_INTERVAL_S
        self.cluster.call_at(later, self._send_changes)

    def _fill_one_after_another(self) -> None:
        cluster, rng = self.cluster, self._rng
        chases_leader = rng.random() < 0.5
        max_gap_s = rng.choice(GAPS_S)
        names = list(cluster.replicas)
        for name in rng.sample(names, len(names)):
            replica = cluster.replicas[name]
            if chases_leader:
                replica = cluster.leader or replica
            full_s = rng.uniform(*FULL_S)
            replica.is_disk_full = True
            end = cluster.now + full_s
            if rng.random() < 0.3:
                cluster.run_until(cluster.now + rng.uniform(0.0, full_s))
                leader = cluster.leader
                if leader is not None and leader.core.transfer_leadership(cluster.now):
                    cluster.handle_output(leader)
            cluster.run_until(end)
            replica.is_disk_full = False
            cluster.run_until(cluster.now + rng.uniform(0.0, max_gap_s))

    def _check_recovery(self) -> None:
        cluster = self.cluster
        end = cluster.now + RECOVERY_S
        probe = FIRST_PROBE
        while f"c{probe}" not in cluster.checker.answers:
            if cluster.now >= end:
                raise ViolationError(f"no change answered within {RECOVERY_S} s")
            cluster.send_change(probe, leader_probability=1.0)
            cluster.run_until(cluster.now + POLL_INTERVAL_S)


def run_seed(seed: int) -> SeedResult:
    """Run the schedule of a seed."""
    schedule = FullDisks(seed)
    violation = ""
    try:
        schedule.run()
    except (ViolationError, AssertionError) as error:
        violation = f"{type(error).__name__}: {error}"
    cluster = schedule.cluster
    answers = len(cluster.checker.answers)
    return SeedResult(seed, cluster.steps, 0, answers, violation)


def main() -> int:
    """Run seeds and print what each broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--start", type=int, default=0)
    options = parser.parse_args()
    found = Counter()
    for seed in range(options.start, options.start + options.seeds):
        result = run_seed(seed)
        if result.violation:
            print(f"seed {seed}: {result.violation}")
            found[result.violation.partition(":")[2][:20]] += 1
    print(f"{options.seeds} seeds, {sum(found.values())} with a violation")
    return bool(found)


if __name__ == "__main__":
    sys.exit(main())
