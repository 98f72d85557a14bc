"""Run seeds of the soak and report what was found."""

import argparse
import random
import shutil
import sys
import time
import traceback
from pathlib import Path

import trio

from harness.soak.backends import Backend
from harness.soak.callers import Callers
from harness.soak.cluster import Cluster, open_starter
from harness.soak.faults import ALL_KINDS, Faults
from harness.soak.operator import Operator
from harness.soak.organisations import Organisations
from harness.soak.probes import Probes
from harness.soak.program import PLANTS
from harness.soak.record import Record
from harness.soak.release_checks import ReleaseChecks

RESULTS = Path("results")
START_S = 20.0
FLEET_START_S = 1.0
WARM_UP_S = 1.0
# In a lull all that was harmed is well again, and checked for some seconds.
LULL_S = 6.5
# Time in which requests that wait somewhere would still run.
SETTLE_S = 1.0


async def run_seed(
    seed: int,
    seconds: float = 10.0,
    plant: str = "",
    folder: Path = RESULTS,
    kinds: tuple[str, ...] = ALL_KINDS,
    lull_s: float = LULL_S,
) -> Record:
    """Run one seed; its settings, logs and data are kept in a folder of its own."""
    folder = folder / f"soak-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    folder = folder.resolve()
    record = Record()
    cluster = Cluster(folder, record, await open_starter(plant))
    rng = random.Random(seed)
    try:
        async with trio.open_nursery() as nursery:
            await cluster.start(nursery)
            nursery.start_soon(cluster.watch_processors)
            record.note("all processes are ready")
            backends = [Backend(n, record, random.Random(seed)) for n in cluster.nodes]
            for backend in backends:
                await nursery.start(backend.run)
            organisations = Organisations(record, random.Random(f"{seed}-keys"))
            operator = Operator(cluster, record, organisations, random.Random(seed + 1))
            await operator.check_recovery(START_S)
            # Quotas are refused early in the first second of a whole fleet.
            await trio.sleep(FLEET_START_S)
            record.note("begin")
            async with trio.open_nursery() as load:
                load.start_soon(operator.run)
                load.start_soon(Probes(cluster, record, seed).run)
                load.start_soon(Callers(cluster, record, organisations, seed).run)
                await trio.sleep(WARM_UP_S)
                await Faults(cluster, backends, record, rng, kinds).run(seconds, lull_s)
                await operator.stop()
                await operator.check_recovery()
                load.cancel_scope.cancel()
            await trio.sleep(SETTLE_S)
            record.check_runs()
            record.check_resends()
            organisations.check()
            ReleaseChecks(record, [vm.name for vm in cluster.control]).run()
            cluster.check_processes()
            nursery.cancel_scope.cancel()
    finally:
        cluster.end()
        (folder / "timeline.txt").write_text("\n".join(record.timeline) + "\n")
    return record


def main() -> int:
    """Run the seeds; return 1 if any promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--start", type=int, default=0)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--plant", choices=sorted(PLANTS), default="")
    options = parser.parse_args()
    seeds = range(options.start, options.start + options.seeds)
    if options.seed is not None:
        seeds = [options.seed]
    failed = []
    for seed in seeds:
        started = time.monotonic()
        try:
            record = trio.run(run_seed, seed, options.seconds, options.plant)
        except Exception:
            print(f"seed {seed}: ended early")
            traceback.print_exc(file=sys.stdout)
            failed.append(seed)
            continue
        verdict = f"{len(record.violations)} violations" if record.violations else "ok"
        took_s = time.monotonic() - started
        print(f"seed {seed}: {verdict} in {took_s:.1f} s, {record.summary()}")
        for violation in record.violations[:20]:
            print(f"  {violation}")
        if record.violations:
            failed.append(seed)
            print(f"  timeline and logs: {RESULTS}/soak-{seed}/", flush=True)
    print(f"{len(seeds)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
