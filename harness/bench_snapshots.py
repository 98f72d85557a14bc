"""Measure how long saving and restoring claims blocks the event loop."""

import random
import time
from pathlib import Path
from tempfile import TemporaryDirectory

import trio

from harness.claims import make_claim, make_finish
from persimmonhall.control.applier import Applier
from persimmonhall.control.bootstrap import make_initial_state
from persimmonhall.control.messages import COMMANDS
from persimmonhall.control.pending_commands import PendingCommands
from persimmonhall.ids import LogIndex, NodeName, ReplicaId
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.messages import Entry, EntryKind, Snapshot
from persimmonhall.raft.storage import open_storage

CLAIM_COUNTS = (50_000, 200_000)
TIMER_INTERVAL_S = 0.005
REPLICA_ID = ReplicaId("disk")


class LongestIteration(trio.abc.Instrument):
    """Track the longest event loop iteration between two waits for I/O."""

    def __init__(self):
        self.longest_s = 0.0
        self.longest_cpu_s = 0.0
        self._cpu_started = 0.0
        self._started: float | None = None

    def after_io_wait(self, timeout: float) -> None:
        """Start timing an iteration."""
        self._started = time.perf_counter()
        self._cpu_started = time.thread_time()

    def before_io_wait(self, timeout: float) -> None:
        """Stop timing an iteration."""
        if self._started is not None:
            wall_s = time.perf_counter() - self._started
            self.longest_s = max(self.longest_s, wall_s)
            cpu_s = time.thread_time() - self._cpu_started
            self.longest_cpu_s = max(self.longest_cpu_s, cpu_s)


class SnapshotBench:
    """Run a replica set of one replica."""

    def __init__(self, folder: Path):
        first = make_initial_state(REPLICA_ID, NodeName("control-1"), "127.0.0.1:1")
        opened = open_storage(folder, REPLICA_ID, first).unwrap()
        rng = random.Random(1)
        self.core = RaftCore(REPLICA_ID, opened.stored, rng, trio.current_time())
        self.applier = Applier(
            self.core, PendingCommands(), self.wake, self._stage, 1 << 40
        )
        self.driver = RaftDriver(
            self.core, opened.storage, lambda *_: None, self.applier.apply
        )

    def wake(self) -> None:
        """Notify the driver of new input."""
        self.driver.wake()

    async def _stage(self, snapshot: Snapshot) -> bool:
        return await self.driver.stage_snapshot(snapshot)

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds; check it after each change in the driver."""
        while not condition():
            await self.driver.changed.wait()

    def apply_claims(self, claim_count: int) -> None:
        """Apply claims and their final states directly, bypassing the log."""
        for number in range(claim_count):
            claim = make_claim(number)
            self.applier.machine.apply(claim, self.applier.machine.index)
            end = make_finish(claim)
            self.applier.machine.apply(end, self.applier.machine.index)


async def _record_timer_delay(max_delay_s: list[float]) -> None:
    """Record the largest delay of a timer."""
    while True:
        due = trio.current_time() + TIMER_INTERVAL_S
        await trio.sleep_until(due)
        max_delay_s[0] = max(max_delay_s[0], trio.current_time() - due)


async def measure(claim_count: int, folder: Path) -> None:
    """Print the longest iteration and timer delay while saving and restoring."""
    async with trio.open_nursery() as nursery:
        bench = SnapshotBench(folder)
        nursery.start_soon(bench.driver.run)
        nursery.start_soon(bench.applier.run)
        await bench.wait_until(lambda: bench.core.accepts_proposals)
        bench.apply_claims(claim_count)
        index = bench.core.last_index
        await _run_timed(
            f"{claim_count} claims, save", bench, lambda: _save(bench, index)
        )
        parts = tuple(bench.applier.machine.blocks())
        later = LogIndex(1_000_000_000)
        snapshot = Snapshot(later, bench.core.term, bench.core.replicas, parts)
        await _run_timed(
            f"{claim_count} claims, restore", bench, lambda: _restore(bench, snapshot)
        )
        nursery.cancel_scope.cancel()


async def _run_timed(description: str, bench: SnapshotBench, work) -> None:
    max_delay_s = [0.0]
    iterations = LongestIteration()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_record_timer_delay, max_delay_s)
        await trio.sleep(10 * TIMER_INTERVAL_S)
        max_delay_s[0] = 0.0
        trio.lowlevel.add_instrument(iterations)
        started = time.perf_counter()
        await work()
        took_s = time.perf_counter() - started
        trio.lowlevel.remove_instrument(iterations)
        nursery.cancel_scope.cancel()
    print(
        f"{description}: longest loop iteration {iterations.longest_s * 1000:.1f} ms, "
        f"most CPU time in an iteration {iterations.longest_cpu_s * 1000:.1f} ms, "
        f"largest timer delay {max_delay_s[0] * 1000:.1f} ms, took {took_s:.2f} s",
        flush=True,
    )


async def _save(bench: SnapshotBench, index: LogIndex) -> None:
    before = bench.core.snapshot_index
    bench.applier.machine.skip(index)
    max_latency_s = [0.0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_commit_repeatedly, bench, max_latency_s)
        bench.applier.request_snapshot()
        await bench.wait_until(lambda: bench.core.snapshot_index > before)
        max_latency_s[0] = max(max_latency_s[0], await _commit_one(bench))
        nursery.cancel_scope.cancel()
    print(f"slowest change while saving {max_latency_s[0] * 1000:.0f} ms")


async def _commit_repeatedly(bench: SnapshotBench, max_latency_s: list[float]) -> None:
    while True:
        max_latency_s[0] = max(max_latency_s[0], await _commit_one(bench))
        await trio.sleep(TIMER_INTERVAL_S)


async def _commit_one(bench: SnapshotBench) -> float:
    started = time.perf_counter()
    index = bench.core.propose(COMMANDS.encode(make_claim(0)))
    bench.wake()
    await bench.wait_until(lambda: bench.core.commit_index >= index)
    return time.perf_counter() - started


async def _restore(bench: SnapshotBench, snapshot: Snapshot) -> None:
    after = LogIndex(snapshot.index + 1)
    entry = Entry(after, snapshot.term, EntryKind.NO_OP)
    bench.applier.apply((snapshot, entry))
    while bench.applier.machine.index < after:
        await trio.sleep(TIMER_INTERVAL_S)


def main() -> None:
    """Run the measurement for each number of claims."""
    for size in CLAIM_COUNTS:
        with TemporaryDirectory() as folder:
            trio.run(measure, size, Path(folder) / "data")


if __name__ == "__main__":
    main()
