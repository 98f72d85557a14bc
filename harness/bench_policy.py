"""Compare the system with round robin under callers that resend immediately."""

import argparse
import json
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

import trio

from harness.needless import NeedlessRefusals
from harness.scenario import Figures, PhaseDurations, Trigger, run_trigger
from harness.system import System, open_system
from persimmonhall.address import Address
from persimmonhall.load.settings import LoadSection, LoadSettings, RequestSection

RESULT = Path("results/policy.json")
NODES = {
    "suva-cue-1": "suva",
    "suva-cue-2": "suva",
    "nadi-cue-1": "nadi",
    "nadi-cue-2": "nadi",
}
SLOTS = 2
SERVICE_MS = 80.0
CAPACITY_PER_S = len(NODES) * SLOTS * 1000 / SERVICE_MS
NORMAL_LOAD_FRACTION = 0.7
SURGE_FACTOR = 3.0 / NORMAL_LOAD_FRACTION
TIMING = PhaseDurations(before_s=5.0, trigger_s=6.0, after_s=12.0)
TIMEOUT_MS = 1000
RESENDS = 2
SLOW_FACTOR = 4
BASELINE_POLICY = "round robin"

DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/publish/warnings"
worth = "critical"
idempotent = true
deadline_ms = 1000

[[requests]]
path = "/publish/*"
worth = "customer"
idempotent = true
deadline_ms = 1000

[[requests]]
path = "/segments/*"
worth = "standard"
idempotent = true
deadline_ms = 1000

[[requests]]
path = "/archive/*"
worth = "internal"
idempotent = true
deadline_ms = 1000
"""

REQUEST_MIX = {
    "critical": ("/publish/warnings", 0.1),
    "customer": ("/publish/segment", 0.2),
    "standard": ("/segments/7", 0.3),
    "internal": ("/archive/7", 0.4),
}


@dataclass(frozen=True)
class Row:
    """Store the figures of one run and its needless refusals."""

    figures: Figures
    refused: int
    needless_share: float


def load_settings(targets: tuple[Address, ...], load_factor: float) -> LoadSettings:
    """Mix requests of the four worths before, during and after a trigger."""
    requests = tuple(
        RequestSection(name, "cue", path, CAPACITY_PER_S * NORMAL_LOAD_FRACTION * share)
        for name, (path, share) in REQUEST_MIX.items()
    )
    section = LoadSection(targets, TIMEOUT_MS, RESENDS, connections=4000)
    return LoadSettings(section, TIMING.phases(load_factor), requests)


async def _start(system: System) -> None:
    await system.start_control()
    for node, zone in NODES.items():
        await system.start_node(node, zone)
        await system.start_backend(
            node, "cue", slots=SLOTS, connections=1000, service_ms=SERVICE_MS
        )
    await system.deploy_service("cue", DOCUMENT, len(NODES))


async def slow_down(system: System) -> None:
    """Slow down every backend server."""
    for node in NODES:
        await system.set_behaviour(node, service_ms=SERVICE_MS * SLOW_FACTOR)


async def restore_speed(system: System) -> None:
    """Restore the service time of every backend server."""
    for node in NODES:
        await system.set_behaviour(node, service_ms=SERVICE_MS)


TRIGGERS = (
    Trigger("surge x3", factor=SURGE_FACTOR),
    Trigger("slow x4", begin=slow_down, end=restore_speed),
)


def _print_table(rows: dict[str, list[Row]]) -> None:
    print(
        f"capacity {CAPACITY_PER_S:.0f}/s, normal load {NORMAL_LOAD_FRACTION:.0%}, "
        f"timeout {TIMEOUT_MS} ms, {RESENDS} immediate resends"
    )
    names = " ".join(f"{name:>9}" for name in REQUEST_MIX)
    print(
        f"{'trigger':<9} {'policy':<13} {names} {'of cap.':>8} {'after':>7} "
        f"{'runs/good':>9} {'recovery s':>10} {'refused':>8} {'needless':>9}"
    )
    for policy, of_policy in rows.items():
        for run in of_policy:
            row = run.figures
            shares = " ".join(f"{row.good_share[name]:>9.1%}" for name in REQUEST_MIX)
            print(
                f"{row.trigger:<9} {policy:<13} {shares} "
                f"{row.goodput_per_s / CAPACITY_PER_S:>8.1%} {row.after_share:>7.1%} "
                f"{row.executions_per_good:>9.2f} {row.recovery_s:>10.1f} "
                f"{run.refused:>8} {run.needless_share:>9.1%}"
            )


async def _run(trigger: Trigger, policy: str) -> Row:
    async with open_system() as system:
        await _start(system)
        processes = system.backends if policy == BASELINE_POLICY else system.nodes
        name = "listen" if policy == BASELINE_POLICY else "callers"
        targets = tuple(h.addresses[name] for h in processes.values())
        settings = load_settings(targets, trigger.factor)
        needless = NeedlessRefusals(SLOTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(needless.watch, system)
            figures = await run_trigger(system, trigger, TIMING, settings)
            nursery.cancel_scope.cancel()
        return Row(figures, needless.refused, needless.fraction)


async def run_bench(policies: list[str]) -> int:
    """Run every trigger under each policy, print a table and write it as JSON."""
    rows = {
        policy: [await _run(trigger, policy) for trigger in TRIGGERS]
        for policy in policies
    }
    _print_table(rows)
    RESULT.parent.mkdir(exist_ok=True)
    result = {policy: [asdict(row) for row in rows[policy]] for policy in rows}
    RESULT.write_text(json.dumps(result, indent=1))
    return 0


def main() -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--policies", nargs="+", default=[BASELINE_POLICY, "persimmonhall"]
    )
    options = parser.parse_args()
    return trio.run(run_bench, options.policies)


if __name__ == "__main__":
    sys.exit(main())
