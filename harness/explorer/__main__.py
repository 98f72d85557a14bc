"""Run fault schedules of many seeds, or replay one."""

import argparse
import sys
import time

from harness.explorer.schedule import run_seed


def main(arguments: list[str] | None = None) -> int:
    """Run the requested seeds and return an exit status."""
    parser = argparse.ArgumentParser(prog="explore", description=__doc__)
    parser.add_argument("--seeds", type=int, default=300, help="number of seeds")
    parser.add_argument("--start", type=int, default=0, help="first seed")
    parser.add_argument("--seed", type=int, help="replay only this seed")
    options = parser.parse_args(arguments)
    seeds = range(options.start, options.start + options.seeds)
    if options.seed is not None:
        seeds = range(options.seed, options.seed + 1)
    return explore(seeds)


def explore(seeds: range) -> int:
    """Run seeds until one fails."""
    started = time.monotonic()
    steps = faults = changes = 0
    for seed in seeds:
        outcome = run_seed(seed)
        steps += outcome.steps
        faults += outcome.faults
        changes += outcome.changes
        if outcome.violation:
            print(f"seed {seed}: {outcome.violation}")
            print(f"replay with: make explore SEED={seed}")
            return 1
    seconds = time.monotonic() - started
    print(
        f"{len(seeds)} seeds, {steps} steps, {faults} faults, "
        f"{changes} changes answered, {seconds:.1f} s, no violation"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
