"""Measure a deployment of production size under each trigger."""

import argparse
import json
import shutil
import sys
from dataclasses import asdict, dataclass, replace
from functools import partial
from pathlib import Path

import trio

from harness.deployments import (
    DEPLOYMENTS,
    SLOT_SCALE_DIVISOR,
    Deployment,
    Service,
    document_text,
)
from harness.scenario import Figures, PhaseDurations, Trigger, run_trigger
from harness.system import System, open_system
from harness.timeline import Timeline
from harness.zone_network import ZoneNetwork
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import ZoneName
from persimmonhall.load.settings import LoadSection, LoadSettings, RequestSection

RESULTS_FOLDER = Path("results")
WARM_UP_TIMING = PhaseDurations(before_s=6.0, trigger_s=0.1, after_s=0.1)
TIMING = PhaseDurations(before_s=4.0, trigger_s=5.0, after_s=8.0)
SURGE_FACTOR = 3.0
SLOW_FACTOR = 4.0
RESENDS = 1
CONTROL_VMS = 3
CRASH_RESENDS = 20
CRASH_INTERVAL_S = 0.1
SHOWN_BEFORE_S = 6.0
IGNORED_IN_LOG_COPY = shutil.ignore_patterns("*.data", "*.toml")


def node_name(deployment: Deployment, service: Service, number: int) -> str:
    """Return the name of a service's node, which starts with its zone."""
    zone = deployment.zones[number % len(deployment.zones)]
    return f"{zone}-{service.name}-{number}"


async def start_deployment(
    system: System, launcher: System | ZoneNetwork, deployment: Deployment
) -> None:
    """Start the control VMs, nodes and stand-in backend servers of a deployment."""
    await launcher.start_controls(CONTROL_VMS)
    for service in deployment.services:
        for number in range(service.servers):
            name = node_name(deployment, service, number)
            zone = name.partition("-")[0]
            await launcher.start_node(name, zone, region=deployment.region)
            await _start_backend(system, name, service)
    for service in deployment.services:
        text = document_text(service, deployment.deadline_ms, deployment.retries)
        await system.put_document(service.name, text)
    for service in deployment.services:
        await system.wait_for_document(service.name, 1)
        await system.wait_for_members(service.name, service.servers)


async def _start_backend(system: System, node: str, service: Service) -> None:
    await system.start_backend(
        node,
        service.name,
        slots=service.scaled_slots,
        connections=service.connections,
        service_ms=service.service_ms,
        calls=list(service.calls),
    )


def load_settings(
    system: System, deployment: Deployment, timing: PhaseDurations, load_factor: float
) -> LoadSettings:
    """Spread the requests of all services over all nodes."""
    targets = tuple(node.addresses["callers"] for node in system.nodes.values())
    section = LoadSection(
        targets=targets,
        timeout_ms=deployment.deadline_ms + 100,
        resends=RESENDS,
        connections=4000,
        client_ms=deployment.client_ms,
    )
    requests = tuple(
        RequestSection(
            name=request.name,
            service=service.name,
            path=request.path,
            per_second=request.per_second,
            method=request.method,
            keyed=not request.idempotent,
        )
        for service in deployment.services
        for request in service.requests
    )
    return LoadSettings(section, timing.phases(load_factor), requests)


async def _scale_service_time(
    deployment: Deployment, service_time_factor: float, system: System
) -> None:
    for service in deployment.services:
        if service.name != deployment.deepest_service:
            continue
        for number in range(service.servers):
            node = node_name(deployment, service, number)
            await system.set_behaviour(
                node, service_ms=service.service_ms * service_time_factor
            )


def _processes_in_zone(system: System, zone: str) -> list:
    processes = {**system.nodes, **{f"{n}-b": b for n, b in system.backends.items()}}
    return [process for name, process in processes.items() if name.startswith(zone)]


async def _suspend_zone(zone: str, system: System) -> None:
    for process in _processes_in_zone(system, zone):
        process.suspend()


async def _resume_zone(zone: str, system: System) -> None:
    for process in _processes_in_zone(system, zone):
        process.resume()


async def _cut_zone(network: ZoneNetwork, zone: str, system: System) -> None:
    network.cuts.isolate(ZoneName(zone))


async def _end_cuts(network: ZoneNetwork, system: System) -> None:
    network.cuts.end_cuts()


async def _kill_leader(system: System) -> None:
    leader = await system.wait_for_leader()
    system.control[leader].kill()


async def _restart_controls(system: System) -> None:
    for name, control in list(system.control.items()):
        if control.process.returncode is not None:
            await system.restart_control(name)


async def _send_crashing_requests(deployment: Deployment, system: System) -> None:
    headers = ((b"persimmonhall-service", deployment.services[0].name.encode()),)
    request = HttpRequest("GET", "/crash", headers)
    nodes = list(system.nodes)
    for number in range(CRASH_RESENDS):
        await system.send(nodes[number % len(nodes)], request)
        await trio.sleep(CRASH_INTERVAL_S)


async def _restart_backends(system: System) -> None:
    dead = [n for n, b in system.backends.items() if b.process.returncode is not None]
    print(f"backend servers that the crashing request killed: {len(dead)}")
    for node in dead:
        await system.restart_backend(node)


def make_triggers(deployment: Deployment) -> tuple[Trigger, ...]:
    """Return the triggers in the order in which they run."""
    zone = deployment.lost_zone
    return (
        Trigger("surge x3", factor=SURGE_FACTOR),
        Trigger(
            f"{deployment.deepest_service} slow x4",
            begin=partial(_scale_service_time, deployment, SLOW_FACTOR),
            end=partial(_scale_service_time, deployment, 1.0),
        ),
        Trigger(
            "leader killed",
            begin=_kill_leader,
            end=_restart_controls,
        ),
        Trigger(
            "crashing",
            begin=partial(_send_crashing_requests, deployment),
            end=_restart_backends,
        ),
        Trigger(
            f"{zone} frozen",
            begin=partial(_suspend_zone, zone),
            end=partial(_resume_zone, zone),
        ),
    )


def make_zone_cut(deployment: Deployment, network: ZoneNetwork) -> Trigger:
    """Return the trigger that cuts off a zone, which needs relays between zones."""
    zone = deployment.lost_zone
    return Trigger(
        f"{zone} cut off",
        begin=partial(_cut_zone, network, zone),
        end=partial(_end_cuts, network),
    )


def print_figures(figures: list[Figures]) -> None:
    """Print a row per trigger and the success rates per kind of request."""
    print(
        f"{'trigger':<18} {'offered/s':>9} {'good/s':>8} {'before':>7} {'after':>7} "
        f"{'recovery s':>10} {'runs/good':>9} {'p50':>6} {'p99':>6} {'p999':>6}"
    )
    for row in figures:
        latency = " ".join(f"{value:>6.0f}" for value in row.latency_ms.values())
        print(
            f"{row.trigger:<18} {row.offered_per_s:>9.0f} {row.goodput_per_s:>8.0f} "
            f"{row.before_share:>7.1%} {row.after_share:>7.1%} "
            f"{row.recovery_s:>10.1f} {row.executions_per_good:>9.2f} {latency}"
        )
        shares = "  ".join(f"{k} {v:.0%}" for k, v in row.good_share.items())
        print(f"  {shares}")


@dataclass(frozen=True)
class Options:
    """Select triggers, repetitions and additional output."""

    only: tuple[str, ...] = ()
    repeat: int = 1
    timeline: bool = False
    logs: Path | None = None

    def is_selected(self, trigger: Trigger) -> bool:
        """Return whether to run a trigger."""
        return not self.only or trigger.name in self.only


async def _run_and_print(
    system: System, deployment: Deployment, trigger: Trigger, options: Options
) -> Figures:
    settings = load_settings(system, deployment, TIMING, trigger.factor)
    timeline = Timeline()
    figures = await run_trigger(system, trigger, TIMING, settings, timeline.add)
    if options.timeline:
        zero_s = TIMING.before_s + TIMING.trigger_s
        print(f"{trigger.name}, recovery {figures.recovery_s:.1f} s; trigger ends at 0")
        print(timeline.text(zero_s - SHOWN_BEFORE_S, zero_s + TIMING.after_s, zero_s))
    return figures


async def _run_all(
    system: System,
    deployment: Deployment,
    triggers: tuple[Trigger, ...],
    options: Options,
) -> list[Figures]:
    # Cold backend servers would lower the goodput measured before the first trigger.
    settings = load_settings(system, deployment, WARM_UP_TIMING, load_factor=1.0)
    await run_trigger(system, Trigger("warm up"), WARM_UP_TIMING, settings)
    figures = [
        await _run_and_print(system, deployment, trigger, options)
        for trigger in triggers * options.repeat
    ]
    if options.logs is not None:
        shutil.copytree(
            system.folder, options.logs, ignore=IGNORED_IN_LOG_COPY, dirs_exist_ok=True
        )
    return figures


async def _measure(deployment: Deployment, options: Options) -> list[Figures]:
    """Run the triggers that need no relays between the zones."""
    triggers = tuple(filter(options.is_selected, make_triggers(deployment)))
    if not triggers:
        return []
    async with open_system() as system:
        await start_deployment(system, system, deployment)
        return await _run_all(system, deployment, triggers, options)


async def _measure_zone_cut(deployment: Deployment, options: Options) -> list[Figures]:
    """Run the zone cut on processes that communicate through relays."""
    control_zones = tuple(
        zone for zone in deployment.zones if zone != deployment.lost_zone
    )
    async with open_system() as system, trio.open_nursery() as nursery:
        network = ZoneNetwork(
            system,
            nursery,
            deployment.zones,
            control_zones,
            deployment.between_zones_ms,
        )
        trigger = make_zone_cut(deployment, network)
        figures = []
        if options.is_selected(trigger):
            await start_deployment(system, network, deployment)
            figures = await _run_all(system, deployment, (trigger,), options)
        nursery.cancel_scope.cancel()
    return figures


async def run_deployment(deployment: Deployment, options: Options) -> int:
    """Run every trigger, print the table, write JSON."""
    servers = sum(service.servers for service in deployment.services)
    print(
        f"{deployment.name}: {servers} servers in {len(deployment.zones)} zones, "
        f"{CONTROL_VMS} control VMs; slots 1/{SLOT_SCALE_DIVISOR}, clients "
        f"{deployment.client_ms} ms away; {deployment.between_zones_ms} ms between "
        f"zones during the zone cut, otherwise none; deadline "
        f"{deployment.deadline_ms} ms, retries {deployment.retries}"
    )
    figures = await _measure(deployment, options)
    figures += await _measure_zone_cut(deployment, options)
    print_figures(figures)
    RESULTS_FOLDER.mkdir(exist_ok=True)
    result = json.dumps([asdict(row) for row in figures], indent=1)
    (RESULTS_FOLDER / f"{deployment.name}.json").write_text(result)
    return 0


def main() -> int:
    """Run the benchmark of one deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", choices=list(DEPLOYMENTS))
    parser.add_argument("--only", nargs="*", default=[], metavar="TRIGGER")
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--timeline", action="store_true")
    parser.add_argument("--logs", type=Path, help="copy the logs to this folder")
    parser.add_argument(
        "--deadline-ms", type=int, help="override the deadline of the deployment"
    )
    parser.add_argument(
        "--retries", type=int, help="override the retries of the deployment"
    )
    arguments = parser.parse_args()
    deployment = DEPLOYMENTS[arguments.deployment]
    keys = {"deadline_ms": arguments.deadline_ms, "retries": arguments.retries}
    deployment = replace(
        deployment, **{key: value for key, value in keys.items() if value is not None}
    )
    options = Options(
        tuple(arguments.only), arguments.repeat, arguments.timeline, arguments.logs
    )
    return trio.run(run_deployment, deployment, options)


if __name__ == "__main__":
    sys.exit(main())
