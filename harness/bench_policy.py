"""Compare the system with round robin and callers that retry hard."""

import argparse
import json
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import trio

from harness.system import System, open_system
from persimmonhall.address import Address
from persimmonhall.load.caller import Callers
from persimmonhall.load.report import Report
from persimmonhall.load.settings import (
    LoadSection,
    LoadSettings,
    PhaseSection,
    RequestSection,
)

RESULT = Path("results/policy.json")
NODES = {
    "suva-cue-1": "suva",
    "suva-cue-2": "suva",
    "nadi-cue-1": "nadi",
    "nadi-cue-2": "nadi",
}
SLOTS = 2
SERVICE_MS = 80.0
CAPACITY = len(NODES) * SLOTS * 1000 / SERVICE_MS
USUAL_SHARE = 0.7
SURGE_FACTOR = 3.0 / USUAL_SHARE
BEFORE_S, TRIGGER_S, AFTER_S = 5.0, 6.0, 12.0
TIMEOUT_MS = 1000
RESENDS = 2
SLOW_FACTOR = 4

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

SHARES = {
    "critical": ("/publish/warnings", 0.1),
    "customer": ("/publish/segment", 0.2),
    "standard": ("/segments/7", 0.3),
    "internal": ("/archive/7", 0.4),
}


@dataclass(frozen=True)
class Row:
    """Hold the figures of one policy under one trigger."""

    trigger: str
    policy: str
    offered_per_s: float
    good_share: dict[str, float]
    good_per_s_of_capacity: float
    good_after_share: float
    executions_per_good: float
    recovery_s: float


def load_settings(targets: tuple[Address, ...], factor: float) -> LoadSettings:
    """Mix the four worths before, in and after a trigger."""
    phases = (
        PhaseSection("before", BEFORE_S),
        PhaseSection("trigger", TRIGGER_S, factor),
        PhaseSection("after", AFTER_S),
    )
    requests = tuple(
        RequestSection(name, "cue", path, CAPACITY * USUAL_SHARE * share)
        for name, (path, share) in SHARES.items()
    )
    section = LoadSection(targets, TIMEOUT_MS, RESENDS, connections=4000)
    return LoadSettings(section, phases, requests)


async def _start(system: System) -> None:
    await system.start_control()
    for node, zone in NODES.items():
        await system.start_node(node, zone)
        await system.start_backend(
            node, "cue", slots=SLOTS, connections=1000, service_ms=SERVICE_MS
        )
    await system.put_document("cue", DOCUMENT)
    await system.wait_for_document("cue", 1)
    await system.wait_for_members("cue", len(NODES))


async def _executions(system: System) -> int:
    return sum([(await system.counts(node))["started"] for node in NODES])


async def no_fault(system: System) -> None:
    """Leave the backend servers alone."""


async def slow_backends(system: System) -> None:
    """Slow every backend server down while the trigger lasts."""
    await trio.sleep(BEFORE_S)
    for node in NODES:
        await system.behave(node, service_ms=SERVICE_MS * SLOW_FACTOR)
    await trio.sleep(TRIGGER_S)
    for node in NODES:
        await system.behave(node, service_ms=SERVICE_MS)


@dataclass(frozen=True)
class Trigger:
    """Name what goes wrong between before and after."""

    name: str
    factor: float
    fault: Callable[[System], Awaitable[None]]


TRIGGERS = (
    Trigger("surge x3", SURGE_FACTOR, no_fault),
    Trigger("slow x4", 1.0, slow_backends),
)


async def _run(
    system: System, trigger: Trigger, policy: str, targets: tuple[Address, ...]
) -> Row:
    settings = load_settings(targets, trigger.factor)
    started = await _executions(system)
    callers = Callers(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trigger.fault, system)
        report = await callers.run()
    executions = await _executions(system) - started
    return _row(trigger, policy, report, executions)


def _row(trigger: Trigger, policy: str, report: Report, executions: int) -> Row:
    shares = {}
    good = {"before": 0, "trigger": 0, "after": 0}
    sent = {"before": 0, "trigger": 0, "after": 0}
    for phase in good:
        for name in SHARES:
            tally = report.tally(phase, name)
            good[phase] += tally.good
            sent[phase] += tally.sent
            if phase == "trigger":
                shares[name] = tally.good / max(1, tally.sent)
    return Row(
        trigger=trigger.name,
        policy=policy,
        offered_per_s=sent["trigger"] / TRIGGER_S,
        good_share=shares,
        good_per_s_of_capacity=good["trigger"] / TRIGGER_S / CAPACITY,
        good_after_share=good["after"] / max(1, sent["after"]),
        executions_per_good=executions / max(1, sum(good.values())),
        recovery_s=report.recovery_s((0.0, BEFORE_S), BEFORE_S + TRIGGER_S),
    )


def _print(rows: list[Row]) -> None:
    print(
        f"capacity {CAPACITY:.0f}/s, usual load {USUAL_SHARE:.0%}, "
        f"timeout {TIMEOUT_MS} ms, {RESENDS} resends at once"
    )
    names = " ".join(f"{name:>9}" for name in SHARES)
    print(
        f"{'trigger':<9} {'policy':<13} {names} {'of cap.':>8} {'after':>7} "
        f"{'runs/good':>9} {'recovery s':>10}"
    )
    for row in rows:
        shares = " ".join(f"{row.good_share[name]:>9.1%}" for name in SHARES)
        print(
            f"{row.trigger:<9} {row.policy:<13} {shares} "
            f"{row.good_per_s_of_capacity:>8.1%} {row.good_after_share:>7.1%} "
            f"{row.executions_per_good:>9.2f} {row.recovery_s:>10.1f}"
        )


async def run_bench(policies: list[str]) -> int:
    """Run every trigger under each policy, print the table, write JSON."""
    rows = []
    for trigger in TRIGGERS:
        for policy in policies:
            async with open_system() as system:
                await _start(system)
                holders = system.backends if policy == "round robin" else system.nodes
                name = "listen" if policy == "round robin" else "callers"
                targets = tuple(h.addresses[name] for h in holders.values())
                rows.append(await _run(system, trigger, policy, targets))
    _print(rows)
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps([asdict(row) for row in rows], indent=1))
    return 0


def main() -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--policies", nargs="+", default=["round robin", "persimmonhall"]
    )
    options = parser.parse_args()
    return trio.run(run_bench, options.policies)


if __name__ == "__main__":
    sys.exit(main())
