"""Drive a Raft core: timers, storage and message delivery."""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging
from hdrh.histogram import HdrHistogram

from persimmonhall.ids import LogIndex, ReplicaId, Term
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.messages import Entry, Message, Snapshot
from persimmonhall.raft.outbox import WriteRequest
from persimmonhall.raft.role import Role
from persimmonhall.raft.storage import NoSpaceError, Storage

DISK_FULL_RETRY_S = 0.2

SendMessage = Callable[[ReplicaId, Message], None]
ApplyItems = Callable[[tuple[Entry | Snapshot, ...]], None]


@dataclass(frozen=True)
class _RoleState:
    """Record the role, term and leader, whose changes are logged."""

    role: Role
    term: Term
    leader: ReplicaId | None

    @classmethod
    def of(cls, core: RaftCore) -> "_RoleState":
        return cls(core.role, core.term, core.leader_id)


class RaftDriver:
    """Write, send and apply what the core returns after each input."""

    def __init__(
        self, core: RaftCore, storage: Storage, send: SendMessage, apply: ApplyItems
    ):
        self._core = core
        self._storage = storage
        self._send = send
        self._apply = apply
        self._pending_writes: list[WriteRequest] = []
        self._wake = trio.Event()
        self._writes_pending = trio.Event()
        self._disk_full_reason = ""
        self._elections = 0
        self._leader_last_known_at = trio.current_time()
        self._last_role_state = _RoleState.of(core)
        self._reads: dict[int, LogIndex | None] = {}
        self.changed = trio.Event()

    @property
    def disk_full_reason(self) -> str:
        """Return why the disk accepts no writes; empty if it does."""
        return self._disk_full_reason

    @property
    def log_bytes(self) -> int:
        """Return the size of the log file in bytes."""
        return self._storage.log_bytes

    @property
    def sync_us(self) -> HdrHistogram:
        """Return the histogram of log sync durations in µs since the start."""
        return self._storage.sync_us

    @property
    def leaderless_since(self) -> float:
        """Return the time when a leader was last known; now if one is known."""
        if self._core.leader_id is not None or self._last_role_state.leader is not None:
            return trio.current_time()
        return self._leader_last_known_at

    @property
    def elections(self) -> int:
        """Return how many elections this replica has started."""
        return self._elections

    def wake(self) -> None:
        """Process the output of the core; call this after each input to it."""
        self._wake.set()

    async def run(self) -> None:
        """Run until cancelled; raise DiskFailedError if the disk fails."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_forever)
            while True:
                deadline = max(self._core.next_tick, trio.current_time())
                with trio.move_on_at(deadline):
                    await self._wake.wait()
                self._wake = trio.Event()
                self._process_ready()

    async def stage_snapshot(self, snapshot: Snapshot) -> bool:
        """Write a snapshot file in the background; return False on a full disk.

        `compact` makes it current later.
        """
        try:
            await trio.to_thread.run_sync(self._storage.stage_snapshot, snapshot)
        except NoSpaceError as error:
            logging.warning("snapshot not staged: %s", error)
            return False
        return True

    async def read_index(self, read_id: int) -> LogIndex | None:
        """Return the index that a read must wait for, or None if this is no leader."""
        if not self._core.request_read_index(read_id):
            return None
        self._reads[read_id] = None
        self.wake()
        try:
            while self._core.role is Role.LEADER:
                index = self._reads[read_id]
                if index is not None:
                    return index
                await self.changed.wait()
        finally:
            del self._reads[read_id]
        return None

    def _process_ready(self) -> None:
        now = trio.current_time()
        if now >= self._core.next_tick:
            self._core.tick(now)
        ready = self._core.take_ready(now)
        if ready.writes:
            self._pending_writes.extend(ready.writes)
            self._writes_pending.set()
        for outgoing in ready.messages:
            self._send(outgoing.to, outgoing.message)
        self._apply(ready.committed)
        for read in ready.reads:
            if read.read_id in self._reads:
                self._reads[read.read_id] = read.index
        self._track_role_changes()
        self.changed.set()
        self.changed = trio.Event()

    def _track_role_changes(self) -> None:
        # Messages can change the role too, so compare with the last known state.
        core = self._core
        before, self._last_role_state = self._last_role_state, _RoleState.of(core)
        if self._last_role_state == before:
            return
        if before.leader is not None and core.leader_id is None:
            self._leader_last_known_at = trio.current_time()
        if core.role is Role.CANDIDATE:
            self._elections += 1
        logging.info(
            "replica role=%s term=%d leader=%s commit=%d",
            core.role.value,
            core.term,
            core.leader_id or "none",
            core.commit_index,
        )

    async def _write_forever(self) -> None:
        while True:
            await self._writes_pending.wait()
            self._writes_pending = trio.Event()
            batch, self._pending_writes = tuple(self._pending_writes), []
            if not batch:
                continue
            await self._write(batch)
            self._core.mark_synced(batch[-1].sequence, trio.current_time())
            self.wake()

    async def _write(self, batch: tuple[WriteRequest, ...]) -> None:
        while True:
            try:
                # A sync can take long; running it in a thread lets heartbeats continue.
                await trio.to_thread.run_sync(self._storage.write, batch)
            except NoSpaceError as error:
                self._on_disk_full(str(error))
                await trio.sleep(DISK_FULL_RETRY_S)
                continue
            if self._disk_full_reason:
                logging.info("storage has space again")
                self._disk_full_reason = ""
            return

    def _on_disk_full(self, reason: str) -> None:
        if not self._disk_full_reason:
            logging.error("storage full, changes are refused: %s", reason)
        self._disk_full_reason = reason
        if self._core.transfer_leadership(trio.current_time()):
            self.wake()
