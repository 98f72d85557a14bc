"""Measure the memory that two nodes use to relay large answers."""

import sys
import time
from dataclasses import dataclass
from pathlib import Path

import trio
from returns.result import Success

from harness.system import System, open_system
from persimmonhall.http.messages import HttpRequest

BUNDLE_BYTES = 16 * 1024 * 1024
IN_FLIGHT_COUNTS = (1, 8, 32)
MEGABYTE = 1024 * 1024
SLOTS = 40
ENTRY = "turku-1"
GATE = "oulu-1"
DOCUMENT = """\
service = "asiakirja"
team = "operators"

[[requests]]
path = "/bundles/*"
idempotent = true
deadline_ms = 60000
"""


@dataclass(frozen=True)
class PeakMemory:
    """Store the peak memory of two nodes, in megabytes."""

    entry_mb: int
    gate_mb: int


async def start(system: System) -> None:
    """Start an entry without a backend server and a gate with one."""
    await system.start_control()
    for node in (ENTRY, GATE):
        await system.start_node(node, node.partition("-")[0])
    await system.start_backend(GATE, "asiakirja", slots=SLOTS, connections=SLOTS)
    await system.deploy_service("asiakirja", DOCUMENT, 1)


async def fetch_bundles(system: System, count: int) -> int:
    """Fetch bundles concurrently and return how many arrived complete."""
    target = f"/bundles/7?bytes={BUNDLE_BYTES}"
    request = HttpRequest("GET", target, ((b"host", b"asiakirja"),))
    complete = 0

    async def fetch() -> None:
        nonlocal complete
        match await system.send(ENTRY, request):
            case Success(answer) if len(answer.body) == BUNDLE_BYTES:
                complete += 1

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(fetch)
    return complete


def read_peaks(system: System) -> PeakMemory:
    """Read the peak resident memory of each node from the kernel."""
    return PeakMemory(
        *(_peak_mb(system.nodes[node].process.pid) for node in (ENTRY, GATE))
    )


def _peak_mb(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    [line] = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1]) // 1024


async def run() -> None:
    """Print a row for each number of bundles in flight."""
    print(f"bundles of {BUNDLE_BYTES // MEGABYTE} MB through an entry and a gate")
    print(
        f"{'in flight':>9} {'whole':>6} {'seconds':>8} {'entry MB':>9} {'gate MB':>8}"
    )
    for count in IN_FLIGHT_COUNTS:
        async with open_system() as system:
            await start(system)
            begin = time.perf_counter()
            complete = await fetch_bundles(system, count)
            seconds = time.perf_counter() - begin
            peaks = read_peaks(system)
        print(
            f"{count:>9} {complete:>6} {seconds:>8.1f} "
            f"{peaks.entry_mb:>9} {peaks.gate_mb:>8}",
            flush=True,
        )


def main() -> int:
    """Run the measurement."""
    trio.run(run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
