"""Measure how long the loop is held up while claims are saved and restored."""

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

SIZES = (50_000, 200_000)
TICK_S = 0.005
DISK = ReplicaId("disk")


class LongestTurn(trio.abc.Instrument):
    """Time each turn of the loop between two waits for input."""

    def __init__(self):
        self.longest_s = 0.0
        self.longest_cpu_s = 0.0
        self._cpu_started = 0.0
        self._started: float | None = None

    def after_io_wait(self, timeout: float) -> None:
        """Begin a turn."""
        self._started = time.perf_counter()
        self._cpu_started = time.thread_time()

    def before_io_wait(self, timeout: float) -> None:
        """End a turn."""
        if self._started is not None:
            turn = time.perf_counter() - self._started
            self.longest_s = max(self.longest_s, turn)
            cpu = time.thread_time() - self._cpu_started
            self.longest_cpu_s = max(self.longest_cpu_s, cpu)


class Bench:
    """Run one replica that is its own majority."""

    def __init__(self, folder: Path):
        first = make_initial_state(DISK, NodeName("control-1"), "127.0.0.1:1")
        opened = open_storage(folder, DISK, first).unwrap()
        rng = random.Random(1)
        self.core = RaftCore(DISK, opened.stored, rng, trio.current_time())
        self.applier = Applier(
            self.core, PendingCommands(), self.wake, self._stage, 1 << 40
        )
        self.driver = RaftDriver(
            self.core, opened.storage, lambda *_: None, self.applier.apply
        )

    def wake(self) -> None:
        """Wake the driver."""
        self.driver.wake()

    async def _stage(self, snapshot: Snapshot) -> None:
        await self.driver.stage_snapshot(snapshot)

    async def wait_until(self, condition) -> None:
        """Wait for what the driver reports."""
        while not condition():
            await self.driver.changed.wait()

    def fill(self, size: int) -> None:
        """Apply claims and their ends, past the log."""
        for number in range(size):
            claim = make_claim(number)
            self.applier.machine.apply(claim, self.applier.machine.index)
            end = make_finish(claim)
            self.applier.machine.apply(end, self.applier.machine.index)


async def _beat(latest: list[float]) -> None:
    """Note how late a timer fires."""
    while True:
        due = trio.current_time() + TICK_S
        await trio.sleep_until(due)
        latest[0] = max(latest[0], trio.current_time() - due)


async def measure(size: int, folder: Path) -> None:
    """Print the longest turn and the latest timer while saving and restoring."""
    async with trio.open_nursery() as nursery:
        bench = Bench(folder)
        nursery.start_soon(bench.driver.run)
        nursery.start_soon(bench.applier.run)
        await bench.wait_until(lambda: bench.core.accepts_proposals)
        bench.fill(size)
        index = bench.core.last_index
        await _timed(f"{size} claims, save", bench, lambda: _save(bench, index))
        parts = tuple(bench.applier.machine.blocks())
        later = LogIndex(1_000_000_000)
        snapshot = Snapshot(later, bench.core.term, bench.core.replicas, parts)
        await _timed(
            f"{size} claims, restore", bench, lambda: _restore(bench, snapshot)
        )
        nursery.cancel_scope.cancel()


async def _timed(what: str, bench: Bench, work) -> None:
    latest = [0.0]
    turns = LongestTurn()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_beat, latest)
        await trio.sleep(10 * TICK_S)
        latest[0] = 0.0
        trio.lowlevel.add_instrument(turns)
        started = time.perf_counter()
        await work()
        took = time.perf_counter() - started
        trio.lowlevel.remove_instrument(turns)
        nursery.cancel_scope.cancel()
    print(
        f"{what}: longest turn {turns.longest_s * 1000:.1f} ms, "
        f"of its own processor time {turns.longest_cpu_s * 1000:.1f} ms, "
        f"latest timer {latest[0] * 1000:.1f} ms late, took {took:.2f} s",
        flush=True,
    )


async def _save(bench: Bench, index: LogIndex) -> None:
    before = bench.core.snapshot_index
    bench.applier.machine.skip(index)
    longest = [0.0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_change, bench, longest)
        bench.applier.request_snapshot()
        await bench.wait_until(lambda: bench.core.snapshot_index > before)
        longest[0] = max(longest[0], await _commit_one(bench))
        nursery.cancel_scope.cancel()
    print(f"longest change while saving {longest[0] * 1000:.0f} ms")


async def _change(bench: Bench, longest: list[float]) -> None:
    while True:
        longest[0] = max(longest[0], await _commit_one(bench))
        await trio.sleep(TICK_S)


async def _commit_one(bench: Bench) -> float:
    started = time.perf_counter()
    index = bench.core.propose(COMMANDS.encode(make_claim(0)))
    bench.wake()
    await bench.wait_until(lambda: bench.core.commit_index >= index)
    return time.perf_counter() - started


async def _restore(bench: Bench, snapshot: Snapshot) -> None:
    after = LogIndex(snapshot.index + 1)
    entry = Entry(after, snapshot.term, EntryKind.NO_OP)
    bench.applier.apply((snapshot, entry))
    while bench.applier.machine.index < after:
        await trio.sleep(TICK_S)


def main() -> None:
    """Run all sizes."""
    for size in SIZES:
        with TemporaryDirectory() as folder:
            trio.run(measure, size, Path(folder) / "data")


if __name__ == "__main__":
    main()
