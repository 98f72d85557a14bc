"""Fill the disks of control VMs one after another, for real and in virtual time."""

import trio

from harness.explorer.full_disks import run_seed as run_simulated_seed
from tests.full_disks import run_seed

SHORT_RUN_SEED = 2
# Seeds 5 and 9 failed when a follower with a full disk was taken for one that failed.
SIMULATED_SEEDS = range(12)


def test_changes_go_on_after_full_disks(tmp_path):
    scenario = trio.run(run_seed, SHORT_RUN_SEED, tmp_path, 1)
    assert scenario.violations == []
    assert scenario.acked


def test_no_voter_is_removed_because_its_disk_was_full():
    violations = [run_simulated_seed(seed).violation for seed in SIMULATED_SEEDS]
    assert violations == [""] * len(SIMULATED_SEEDS)
