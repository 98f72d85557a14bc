"""Drive a Raft core: timers, storage and message delivery."""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging
from hdrh.histogram import HdrHistogram

from persimmonhall.ids import LogIndex, ReplicaId, Term
from persimmonhall.raft.core import Core
from persimmonhall.raft.messages import Entry, Message, Snapshot
from persimmonhall.raft.outbox import Persist
from persimmonhall.raft.role import Role
from persimmonhall.raft.storage import NoSpaceError, Storage

SPACE_RETRY_S = 0.5

SendMessage = Callable[[ReplicaId, Message], None]
ApplyItems = Callable[[tuple[Entry | Snapshot, ...]], None]


@dataclass(frozen=True)
class _Seen:
    """Record the role, term and leader, whose changes are logged."""

    role: Role
    term: Term
    leader: ReplicaId | None

    @classmethod
    def of(cls, core: Core) -> "_Seen":
        return cls(core.role, core.term, core.leader_id)


class Driver:
    """Write, send and apply what the core returns after each input."""

    def __init__(
        self, core: Core, storage: Storage, send: SendMessage, apply: ApplyItems
    ):
        self._core = core
        self._storage = storage
        self._send = send
        self._apply = apply
        self._persists: list[Persist] = []
        self._wake = trio.Event()
        self._written = trio.Event()
        self._full = ""
        self._elections = 0
        self._leader_known_at = trio.current_time()
        self._seen = _Seen.of(core)
        self._reads: dict[int, LogIndex | None] = {}
        self.changed = trio.Event()

    @property
    def full(self) -> str:
        """Return why the disk accepts no writes; empty if it does."""
        return self._full

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
        if self._core.leader_id is not None or self._seen.leader is not None:
            return trio.current_time()
        return self._leader_known_at

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
                self._take()

    async def stage(self, snapshot: Snapshot) -> None:
        """Write a snapshot file in the background; `compact` makes it current later."""
        try:
            await trio.to_thread.run_sync(self._storage.stage, snapshot)
        except NoSpaceError as error:
            logging.warning("snapshot not staged: %s", error)

    async def read_index(self, number: int) -> LogIndex | None:
        """Return the index that a read must wait for, or None if this is no leader."""
        if not self._core.read(number):
            return None
        self._reads[number] = None
        self.wake()
        try:
            while self._core.role is Role.LEADER:
                index = self._reads[number]
                if index is not None:
                    return index
                await self.changed.wait()
        finally:
            del self._reads[number]
        return None

    def _take(self) -> None:
        now = trio.current_time()
        if now >= self._core.next_tick:
            self._core.tick(now)
        ready = self._core.take(now)
        if ready.persists:
            self._persists.extend(ready.persists)
            self._written.set()
        for outgoing in ready.messages:
            self._send(outgoing.to, outgoing.message)
        self._apply(ready.committed)
        for read in ready.reads:
            if read.number in self._reads:
                self._reads[read.number] = read.index
        self._note_role()
        self.changed.set()
        self.changed = trio.Event()

    def _note_role(self) -> None:
        # Messages can change the role too, so compare with the last known state.
        core = self._core
        before, self._seen = self._seen, _Seen.of(core)
        if self._seen == before:
            return
        if before.leader is not None and core.leader_id is None:
            self._leader_known_at = trio.current_time()
        if core.role is Role.CANDIDATE:
            self._elections += 1
        logging.info(
            "replica role=%s term=%d leader=%s commit=%d",
            core.role.value,
            core.term,
            core.leader_id or "none",
            core.commit,
        )

    async def _write_forever(self) -> None:
        while True:
            await self._written.wait()
            self._written = trio.Event()
            batch, self._persists = tuple(self._persists), []
            if not batch:
                continue
            await self._write(batch)
            self._core.synced(batch[-1].sequence, trio.current_time())
            self.wake()

    async def _write(self, batch: tuple[Persist, ...]) -> None:
        while True:
            try:
                # A sync can take long; running it in a thread lets heartbeats continue.
                await trio.to_thread.run_sync(self._storage.write, batch)
            except NoSpaceError as error:
                self._refuse_changes(str(error))
                await trio.sleep(SPACE_RETRY_S)
                continue
            if self._full:
                logging.info("storage has free space again; accepting changes")
                self._full = ""
            return

    def _refuse_changes(self, reason: str) -> None:
        if not self._full:
            logging.error("storage full; refusing changes: %s", reason)
        self._full = reason
        if self._core.transfer(trio.current_time()):
            self.wake()
