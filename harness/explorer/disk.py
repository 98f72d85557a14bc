"""Model a disk on which only synced writes survive a crash."""

import random

from persimmonhall.ids import LogIndex
from persimmonhall.raft.outbox import WriteRequest
from persimmonhall.raft.state import PersistedState


class Disk:
    """Store the synced state and pending writes."""

    def __init__(self, stored: PersistedState):
        self._stored = stored
        self._unsynced: list[WriteRequest] = []

    def write(self, requests: tuple[WriteRequest, ...]) -> None:
        """Queue writes until the next sync."""
        self._unsynced.extend(requests)

    def sync(self) -> int | None:
        """Apply all pending writes and return the sequence number of the last one."""
        if not self._unsynced:
            return None
        for request in self._unsynced:
            self._stored = apply_write(self._stored, request)
        sequence = self._unsynced[-1].sequence
        self._unsynced = []
        return sequence

    def crash(self, rng: random.Random) -> PersistedState:
        """Drop a random number of the newest unsynced writes."""
        kept = rng.randint(0, len(self._unsynced))
        for request in self._unsynced[:kept]:
            self._stored = apply_write(self._stored, request)
        self._unsynced = []
        return self._stored


class FalseSyncDisk(Disk):
    """Report writes as synced although a crash can still lose them."""

    def sync(self) -> int | None:
        """Return the sequence number of the last write without applying any."""
        return self._unsynced[-1].sequence if self._unsynced else None

    def crash(self, rng: random.Random) -> PersistedState:
        """Lose 1 to 5 of the newest writes that were reported as synced."""
        for request in self._unsynced[: -rng.randint(1, 5)]:
            self._stored = apply_write(self._stored, request)
        self._unsynced = []
        return self._stored


def apply_write(stored: PersistedState, request: WriteRequest) -> PersistedState:
    """Return the persisted state after a write."""
    if request.snapshot is not None:
        return PersistedState(request.hard_state, request.snapshot, request.entries)
    if not request.entries:
        return PersistedState(request.hard_state, stored.snapshot, stored.entries)
    start = stored.snapshot.index if stored.snapshot else LogIndex(0)
    kept = stored.entries[: request.entries[0].index - start - 1]
    return PersistedState(request.hard_state, stored.snapshot, kept + request.entries)
