"""Measure the cost of membership for a node, by number of nodes."""

import argparse
import os
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import trio

from harness.membership_network import DatagramFaults, SimulatedNetwork
from harness.system import System, open_system
from persimmonhall.cli.node_client import document_status
from persimmonhall.http.messages import HttpRequest
from persimmonhall.membership.messages import Health, MemberState
from tests.builders import CUE_DOCUMENT

DOCUMENT = CUE_DOCUMENT.replace("publishing", "operators")
ZONES = ("suva", "nadi", "lautoka", "labasa")
ANNOUNCE_INTERVAL_S = 1.0
SETTLING_TIME_S = 15.0
MEASURE_S = 30.0
SIMULATED_S = 30.0
STEP_S = 0.1
HEADINGS = (
    f"{'nodes':>6} {'UDP B/s':>9} {'TCP B/s':>9} {'CPU %':>7} {'RSS MB':>7} "
    f"{'known s':>8} {'in force s':>10}"
)


@dataclass(frozen=True)
class Usage:
    """Store the resources that a node process has used so far."""

    datagram_bytes: int
    stream_bytes: int
    cpu_s: float
    rss_mb: float


async def read_usage(system: System, name: str) -> Usage:
    """Read the resource counters of a node and of the kernel."""
    folder = Path("/proc") / str(system.nodes[name].process.pid)
    streams = dict(
        line.split(": ") for line in (folder / "io").read_text().splitlines()
    )
    pages = int((folder / "statm").read_text().split()[1])
    return Usage(
        datagram_bytes=(await system.status(name))["datagram_bytes"],
        stream_bytes=int(streams["rchar"]) + int(streams["wchar"]),
        cpu_s=system.nodes[name].cpu_time_s,
        rss_mb=pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
    )


async def announce(system: System, name: str) -> None:
    """Announce a server of cue to a node, like its backend server."""
    body = (
        b'{"service":"cue","address":"127.0.0.1:9","slots":4,"connections":4,'
        b'"state":"ready"}'
    )
    request = HttpRequest("POST", "/-/announce", (), body)
    while True:
        await system.send(name, request, "local")
        await trio.sleep(ANNOUNCE_INTERVAL_S)


async def measure_processes(count: int) -> str:
    """Measure real node processes and return one row of the table."""
    async with open_system() as system:
        await system.start_control()
        async with trio.open_nursery() as nursery:
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                name = f"{zone}-{number}"
                await system.start_node(name, zone, "--log-level", "warning")
                nursery.start_soon(announce, system, name)
            started = trio.current_time()
            await system.wait_for_members("cue", count)
            known_s = trio.current_time() - started
            await trio.sleep(SETTLING_TIME_S)
            row = await _measure_steady(system)
            in_force_s = await _measure_activation_s(system, count)
            nursery.cancel_scope.cancel()
    return f"{count:>6} {row} {known_s:>8.2f} {in_force_s:>10.2f}"


async def _measure_steady(system: System) -> str:
    before = {name: await read_usage(system, name) for name in system.nodes}
    begin = trio.current_time()
    await trio.sleep(MEASURE_S)
    after = {name: await read_usage(system, name) for name in system.nodes}
    seconds = (trio.current_time() - begin) * len(before)

    def rate(field: str) -> float:
        total = sum(getattr(after[n], field) - getattr(before[n], field) for n in after)
        return total / seconds

    rss_mb = max(usage.rss_mb for usage in after.values())
    return (
        f"{rate('datagram_bytes'):>9.0f} {rate('stream_bytes'):>9.0f} "
        f"{100 * rate('cpu_s'):>7.2f} {rss_mb:>7.0f}"
    )


async def _measure_activation_s(system: System, count: int) -> float:
    first = system.nodes[next(iter(system.nodes))].addresses["local"]
    (await system.put_document("cue", DOCUMENT)).unwrap()
    accepted = trio.current_time()
    while True:
        status = (await document_status(first)).unwrap()
        if [row["nodes"] for row in status["documents"]] == [count]:
            return trio.current_time() - accepted
        await trio.sleep(0.05)


def measure_core(count: int) -> None:
    """Run membership cores on a simulated network and print their cost."""
    network = SimulatedNetwork(1, DatagramFaults(loss=0.01), count_bytes=True)
    for number in range(count):
        network.start(number, ZONES[number % len(ZONES)])
    network.introduce_all()
    network.run(5.0)
    before = _total_cost(network)
    network.run(SIMULATED_S)
    after = _total_cost(network)
    transferred_bytes, core_s = after[0] - before[0], after[1] - before[1]
    cpu_percent = 100 * core_s / count / SIMULATED_S
    print(
        f"core at {count}: {transferred_bytes / count / SIMULATED_S:.0f} B/s "
        f"sent and received, "
        f"{cpu_percent:.3f} % of a CPU core per node in the membership core, 1 % loss"
    )
    print(f"leaving state known to all nodes after {_measure_leaving_s(network)} s")
    print(f"dead node detected by all nodes after {_measure_death_s(network)} s")


def _total_cost(network: SimulatedNetwork) -> tuple[int, float]:
    nodes = network.nodes.values()
    return (
        sum(node.sent_bytes + node.received_bytes for node in nodes),
        sum(node.core_s for node in nodes),
    )


def _measure_until_s(network: SimulatedNetwork, condition) -> str:
    begin = network.now
    while not condition():
        network.run(STEP_S)
    return f"{network.now - begin:.1f}"


def _measure_leaving_s(network: SimulatedNetwork) -> str:
    name = next(iter(network.nodes))
    network.set_state(name, MemberState.LEAVING)

    def known() -> bool:
        records = (node.table.get(name) for node in network.nodes.values())
        return all(record.state is MemberState.LEAVING for record in records)

    return _measure_until_s(network, known)


def _measure_death_s(network: SimulatedNetwork) -> str:
    name = list(network.nodes)[1]
    network.kill(name)
    return _measure_until_s(network, lambda: network.all_observe(Health.DEAD, (name,)))


def main() -> int:
    """Print the table of costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[10, 30])
    parser.add_argument("--core", type=int, default=1000)
    options = parser.parse_args()
    print(HEADINGS)
    for count in options.nodes:
        print(trio.run(measure_processes, count), flush=True)
    if options.core:
        begin = time.perf_counter()
        measure_core(options.core)
        print(f"simulation took {time.perf_counter() - begin:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
