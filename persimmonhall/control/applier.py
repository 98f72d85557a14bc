"""Apply committed entries, and write and restore snapshots block by block."""

import gc
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio
from absl import logging

from persimmonhall.control.messages import COMMANDS, Command
from persimmonhall.control.pending_commands import PendingCommands
from persimmonhall.control.state_machine import StateMachine
from persimmonhall.ids import LogIndex
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.messages import Entry, EntryKind, Snapshot

MAX_ENTRIES_PER_BATCH = 64
SNAPSHOT_BLOCK_INTERVAL_S = 0.002
# After a full disk had no room for one.
SNAPSHOT_RETRY_S = 1.0
MIN_LOG_BYTES_PER_SNAPSHOT = 4 * 1024 * 1024
# Limit the cost of snapshots: a larger state is written less often.
SNAPSHOT_ROWS_PER_LOG_ENTRY = 4
SNAPSHOT_BYTES_PER_LOG_BYTE = 2


@contextmanager
def _gc_disabled() -> Iterator[None]:
    """Disable garbage collection, which would scan all new rows repeatedly."""
    gc.disable()
    try:
        yield
        # Rows hold no reference cycles, so they are freed without the collector.
        gc.freeze()
    finally:
        gc.enable()


class Applier:
    """Update the state machine in steps that don't block the event loop for long."""

    def __init__(
        self,
        core: RaftCore,
        pending_commands: PendingCommands,
        wake_driver: Callable[[], None],
        stage_snapshot: Callable[[Snapshot], Awaitable[bool]],
        snapshot_entries: int,
    ):
        self._core = core
        self._pending_commands = pending_commands
        self._wake_driver = wake_driver
        self._stage_snapshot = stage_snapshot
        self._snapshot_entries = snapshot_entries
        self._machine = StateMachine()
        self._pending_items: deque[Entry | Snapshot] = deque()
        self._items_pending = trio.Event()
        self._snapshot_requested = trio.Event()
        self._last_snapshot_bytes = 0
        self._log_bytes_since_snapshot = 0

    @property
    def machine(self) -> StateMachine:
        """Return the replicated state."""
        return self._machine

    @property
    def has_pending_items(self) -> bool:
        """Return whether committed entries or a snapshot are still to be applied."""
        return bool(self._pending_items)

    def apply(self, items: tuple[Entry | Snapshot, ...]) -> None:
        """Apply committed items, or queue them if they are too many for one batch."""
        for item in items:
            if isinstance(item, Snapshot):
                # A snapshot replaces everything before it.
                self._pending_items.clear()
            self._pending_items.append(item)
        if len(self._pending_items) <= MAX_ENTRIES_PER_BATCH:
            self._apply_batch()
        if self._pending_items:
            self._items_pending.set()

    def request_snapshot(self) -> None:
        """Start to write a snapshot unless one is being written."""
        self._snapshot_requested.set()

    async def run(self) -> None:
        """Apply queued items and write snapshots until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply_forever)
            nursery.start_soon(self._write_snapshots_forever)

    async def _apply_forever(self) -> None:
        while True:
            await self._items_pending.wait()
            self._items_pending = trio.Event()
            while self._pending_items:
                first = self._pending_items[0]
                if isinstance(first, Snapshot):
                    await self._restore(first)
                self._apply_batch()
                self._wake_driver()
                await trio.lowlevel.checkpoint()

    def _apply_batch(self) -> None:
        """Apply one batch of queued entries, stopping at a snapshot."""
        for _ in range(min(MAX_ENTRIES_PER_BATCH, len(self._pending_items))):
            if isinstance(self._pending_items[0], Snapshot):
                return
            self._apply_entry(self._pending_items.popleft())

    def _apply_entry(self, entry: Entry) -> None:
        reply = None
        command = _decode_command(entry)
        if command is not None:
            reply = self._machine.apply(command, entry.index)
        else:
            self._machine.skip(entry.index)
        self._pending_commands.on_applied(entry.index, entry.term, reply)
        self._log_bytes_since_snapshot += len(entry.data)
        if self._is_snapshot_due(entry.index):
            self.request_snapshot()

    def _is_snapshot_due(self, index: LogIndex) -> bool:
        min_entries = max(
            self._snapshot_entries,
            self._machine.row_count // SNAPSHOT_ROWS_PER_LOG_ENTRY,
        )
        min_log_bytes = max(
            MIN_LOG_BYTES_PER_SNAPSHOT,
            self._last_snapshot_bytes // SNAPSHOT_BYTES_PER_LOG_BYTE,
        )
        entries_since_snapshot = index - self._core.snapshot_index
        return (
            entries_since_snapshot >= min_entries
            or self._log_bytes_since_snapshot >= min_log_bytes
        )

    async def _restore(self, snapshot: Snapshot) -> None:
        """Build the state of a snapshot separately, then replace the current state."""
        machine = StateMachine(snapshot.index)
        with _gc_disabled():
            for part in snapshot.parts:
                machine.restore(part)
                await trio.lowlevel.checkpoint()
                if self._pending_items[0] is not snapshot:
                    return
        self._pending_items.popleft()
        previous, self._machine = self._machine, machine
        self._last_snapshot_bytes = sum(map(len, snapshot.parts))
        self._pending_commands.on_snapshot_restored(snapshot.index)
        logging.info(
            "snapshot restored index=%d bytes=%d",
            snapshot.index,
            self._last_snapshot_bytes,
        )
        while previous.claims.discard_block():
            await trio.lowlevel.checkpoint()

    async def _write_snapshots_forever(self) -> None:
        while True:
            await self._snapshot_requested.wait()
            await self._write_snapshot()
            self._snapshot_requested = trio.Event()

    async def _write_snapshot(self) -> None:
        index = self._machine.index
        log_bytes, self._log_bytes_since_snapshot = self._log_bytes_since_snapshot, 0
        parts = []
        for block in self._machine.blocks():
            parts.append(block)
            await trio.sleep(SNAPSHOT_BLOCK_INTERVAL_S)
        self._last_snapshot_bytes = sum(map(len, parts))
        snapshot = self._core.make_snapshot(index, tuple(parts))
        if snapshot is None:
            return
        if not await self._stage_snapshot(snapshot):
            # Written with the log, it would hold up entries that still fit.
            self._log_bytes_since_snapshot += log_bytes
            await trio.sleep(SNAPSHOT_RETRY_S)
            return
        self._core.compact(snapshot)
        self._wake_driver()


def _decode_command(entry: Entry) -> Command | None:
    """Return the command of an entry, None if it has none that can be decoded.

    A committed entry is applied again after every restart: if it ended the process,
    no control VM could start any more.
    """
    if entry.kind is not EntryKind.COMMAND:
        return None
    try:
        return COMMANDS.decode(entry.data)
    except ValueError as error:
        logging.error("entry skipped index=%d: %s", entry.index, error)
        return None
