"""Apply what is committed, and write and restore snapshots in slices."""

import gc
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio
from absl import logging

from persimmonhall.control.machine import StateMachine
from persimmonhall.control.messages import COMMANDS
from persimmonhall.control.waiting import Waiters
from persimmonhall.ids import LogIndex
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.messages import Entry, EntryKind, Snapshot

ENTRIES_A_TURN = 64
SLICE_PAUSE_S = 0.002
SNAPSHOT_BYTES = 16 * 1024 * 1024
ROWS_AN_ENTRY = 4
SNAPSHOT_BYTES_A_LOG_BYTE = 2


@contextmanager
def _no_collection() -> Iterator[None]:
    """Keep the garbage collector from walking all rows again while they are made."""
    gc.disable()
    try:
        yield
        # Rows hold no cycles: they are freed without the collector too.
        gc.freeze()
    finally:
        gc.enable()


class Applier:
    """Keep the state machine; no turn of the loop takes more than a slice of work."""

    def __init__(
        self,
        core: RaftCore,
        waiters: Waiters,
        wake: Callable[[], None],
        stage: Callable[[Snapshot], Awaitable[None]],
        snapshot_entries: int,
    ):
        self._core = core
        self._waiters = waiters
        self._wake = wake
        self._stage = stage
        self._snapshot_entries = snapshot_entries
        self._machine = StateMachine()
        self._waiting: deque[Entry | Snapshot] = deque()
        self._waits = trio.Event()
        self._snapshot_due = trio.Event()
        self._snapshot_bytes = 0
        self._bytes_since_snapshot = 0

    @property
    def machine(self) -> StateMachine:
        """Return the replicated state."""
        return self._machine

    @property
    def behind(self) -> bool:
        """Tell whether committed entries or a snapshot wait to be applied."""
        return bool(self._waiting)

    def apply(self, items: tuple[Entry | Snapshot, ...]) -> None:
        """Apply committed items, or queue them if they are too many for one turn."""
        for item in items:
            if isinstance(item, Snapshot):
                # It stands for everything before it.
                self._waiting.clear()
            self._waiting.append(item)
        if len(self._waiting) <= ENTRIES_A_TURN:
            self._apply_entries()
        if self._waiting:
            self._waits.set()

    def begin_snapshot(self) -> None:
        """Write a snapshot of the state, unless one is being written."""
        self._snapshot_due.set()

    async def run(self) -> None:
        """Restore, catch up and write snapshots until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._catch_up_forever)
            nursery.start_soon(self._write_snapshots_forever)

    async def _catch_up_forever(self) -> None:
        while True:
            await self._waits.wait()
            self._waits = trio.Event()
            while self._waiting:
                first = self._waiting[0]
                if isinstance(first, Snapshot):
                    await self._restore(first)
                self._apply_entries()
                self._wake()
                await trio.lowlevel.checkpoint()

    def _apply_entries(self) -> None:
        """Apply entries that wait, up to a snapshot or the end of the turn."""
        for _ in range(min(ENTRIES_A_TURN, len(self._waiting))):
            if isinstance(self._waiting[0], Snapshot):
                return
            self._apply_entry(self._waiting.popleft())

    def _apply_entry(self, entry: Entry) -> None:
        reply = None
        if entry.kind is EntryKind.COMMAND:
            reply = self._machine.apply(COMMANDS.decode(entry.data), entry.index)
        else:
            self._machine.skip(entry.index)
        self._waiters.applied(entry.index, entry.term, reply)
        self._bytes_since_snapshot += len(entry.data)
        if self._is_snapshot_due(entry.index):
            self.begin_snapshot()

    def _is_snapshot_due(self, index: LogIndex) -> bool:
        entries = max(self._snapshot_entries, self._machine.size // ROWS_AN_ENTRY)
        size = max(SNAPSHOT_BYTES, self._snapshot_bytes // SNAPSHOT_BYTES_A_LOG_BYTE)
        since = index - self._core.snapshot_index
        return since >= entries or self._bytes_since_snapshot >= size

    async def _restore(self, snapshot: Snapshot) -> None:
        """Build the state of a snapshot beside the present one, then swap."""
        machine = StateMachine(snapshot.index)
        with _no_collection():
            for part in snapshot.parts:
                machine.restore(part)
                await trio.lowlevel.checkpoint()
                if self._waiting[0] is not snapshot:
                    return
        self._waiting.popleft()
        replaced, self._machine = self._machine, machine
        self._snapshot_bytes = sum(map(len, snapshot.parts))
        self._waiters.skipped(snapshot.index)
        logging.info(
            "snapshot restored index=%d bytes=%d", snapshot.index, self._snapshot_bytes
        )
        while replaced.claims.discard_block():
            await trio.lowlevel.checkpoint()

    async def _write_snapshots_forever(self) -> None:
        while True:
            await self._snapshot_due.wait()
            await self._write_snapshot()
            self._snapshot_due = trio.Event()

    async def _write_snapshot(self) -> None:
        index = self._machine.index
        self._bytes_since_snapshot = 0
        parts = []
        for block in self._machine.blocks():
            parts.append(block)
            await trio.sleep(SLICE_PAUSE_S)
        self._snapshot_bytes = sum(map(len, parts))
        snapshot = self._core.make_snapshot(index, tuple(parts))
        if snapshot is None:
            return
        await self._stage(snapshot)
        self._core.compact(snapshot)
        self._wake()
