"""Measure control VMs: changes per second, latency, failover and restart."""

import os
import time
from pathlib import Path

import trio
from returns.result import Success

from harness.system import System, open_system
from persimmonhall.control.client import ControlClient
from persimmonhall.document.messages import PutDocument
from persimmonhall.ids import ChangeId, Revision, ServiceName
from persimmonhall.wire.link import LinkPool

MEASURE_S = 5.0
CLIENT_COUNTS = (1, 32)
REPLICA_COUNTS = (1, 3)
RESTART_CHANGE_COUNTS = (500, 5000)
FAILOVER_COUNT = 10
SYNC_FILE_BYTES = 64 * 1024 * 1024
DISK_LOAD_S = 10.0
DOCUMENT_TEXT = "x" * 1000


def make_change(number: int) -> PutDocument:
    """Build a change to one of 200 documents of 1 kB, in rotation."""
    return PutDocument(
        change_id=ChangeId(f"change-{number}"),
        service=ServiceName(f"service-{number % 200}"),
        expected_revision=Revision(number // 200),
        text=DOCUMENT_TEXT,
        author="bench",
        team="bench",
    )


async def run_changes(
    system: System,
    clients: int,
    seconds: float,
    first_number: int,
    max_changes: int = 1 << 60,
) -> list[float]:
    """Send changes from concurrent clients; return each latency in milliseconds."""
    latencies: list[float] = []
    numbers = iter(range(first_number, first_number + max_changes))
    leader = system.control[await system.wait_for_leader()]
    end = time.perf_counter() + seconds

    async def client(control: ControlClient) -> None:
        for number in numbers:
            start = time.perf_counter()
            result = await control.submit(make_change(number))
            if not isinstance(result, Success):
                raise RuntimeError(str(result))
            latencies.append((time.perf_counter() - start) * 1000)
            if time.perf_counter() > end:
                return

    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as work:
            links = LinkPool(nursery)
            for _ in range(clients):
                control = ControlClient(links, (leader.addresses["frames"],))
                work.start_soon(client, control)
        nursery.cancel_scope.cancel()
    return latencies


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile."""
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


async def measure_changes(replicas: int) -> None:
    """Print changes per second and latency."""
    async with open_system() as system:
        await system.start_controls(replicas)
        first = 0
        for clients in CLIENT_COUNTS:
            start = time.perf_counter()
            latencies = await run_changes(system, clients, MEASURE_S, first)
            took = time.perf_counter() - start
            first += len(latencies) + clients
            print(
                f"{replicas} replicas, {clients} clients: "
                f"{len(latencies) / took:.0f} changes/s, "
                f"p50 {quantile(latencies, 0.5):.1f} ms, "
                f"p99 {quantile(latencies, 0.99):.1f} ms"
            )


async def measure_failover() -> None:
    """Print how long the election of a new leader takes after a kill."""
    times = []
    for _ in range(FAILOVER_COUNT):
        async with open_system() as system:
            await system.start_controls(3)
            await system.put_document("cue", "")
            leader = await system.wait_for_leader()
            system.control[leader].kill()
            start = time.perf_counter()
            await system.wait_for_leader(leader)
            times.append(time.perf_counter() - start)
    print("new leader after a kill: " + ", ".join(f"{t:.2f} s" for t in times))


async def measure_elections_under_load() -> None:
    """Print how many terms pass during changes while the disk is busy."""
    async with open_system() as system:
        await system.start_controls(3)
        leader = await system.wait_for_leader()
        before = (await system.control_status(leader))["term"]
        syncs: list[float] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_keep_disk_busy, system.folder / "busy", syncs)
            latencies = await run_changes(system, 32, DISK_LOAD_S, 0)
            nursery.cancel_scope.cancel()
        leader = await system.wait_for_leader()
        after = (await system.control_status(leader))["term"]
        print(
            f"elections under load: {after - before} in {DISK_LOAD_S:.0f} s, "
            f"{len(latencies)} changes, longest {max(latencies):.0f} ms, "
            f"{len(syncs)} concurrent syncs of {SYNC_FILE_BYTES >> 20} MB, "
            f"longest {max(syncs, default=0.0):.2f} s"
        )


async def _keep_disk_busy(path: Path, syncs: list[float]) -> None:
    while True:
        syncs.append(await trio.to_thread.run_sync(_sync_large_file, path))


def _sync_large_file(path: Path) -> float:
    start = time.perf_counter()
    with path.open("wb") as file:
        file.write(bytes(SYNC_FILE_BYTES))
        file.flush()
        os.fsync(file.fileno())
    return time.perf_counter() - start


async def measure_restart(changes: int) -> None:
    """Print how long a single replica takes to lead again after a restart."""
    async with open_system() as system:
        await system.start_control()
        await system.wait_for_leader()
        await run_changes(system, 32, 600.0, 0, changes)
        running = system.control["control-1"]
        running.kill()
        await running.process.wait()
        start = time.perf_counter()
        await system.restart_control("control-1")
        await system.wait_for_leader()
        took = time.perf_counter() - start
        files = (system.folder / "control-1.data").iterdir()
        size = sum(file.stat().st_size for file in files) / 1e6
        print(f"restart after {changes} changes: {took:.2f} s, {size:.2f} MB on disk")


async def main() -> None:
    """Run all measurements."""
    for replicas in REPLICA_COUNTS:
        await measure_changes(replicas)
    await measure_failover()
    await measure_elections_under_load()
    for changes in RESTART_CHANGE_COUNTS:
        await measure_restart(changes)


if __name__ == "__main__":
    trio.run(main)
