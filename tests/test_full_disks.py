"""Fill the disks of control VMs one after another, for real and in virtual time."""

import signal

import trio

from harness.explorer.full_disks import run_seed as run_simulated_seed
from tests.full_disks import Scenario, run_seed

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


# It refused all changes to the end of the day, as it was no member any more.
def test_voter_that_was_removed_while_it_was_paused_joins_again(tmp_path):
    """Pause a voter of a set that has grown until the leader removes it."""
    scenario = Scenario(1, tmp_path, voters=((3, 1),))

    async def pause() -> None:
        paused = next(vm for vm in scenario.vms if not vm.is_leader())
        paused.process.send_signal(signal.SIGSTOP)
        logs = [vm.log for vm in scenario.vms if vm is not paused]
        with trio.fail_after(20):
            while not any("replica retired" in log.read_text() for log in logs):
                await trio.sleep(0.1)
        paused.process.send_signal(signal.SIGCONT)

    trio.run(scenario.run, pause)
    assert scenario.violations == []
