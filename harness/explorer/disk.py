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

    def write(self, persists: tuple[WriteRequest, ...]) -> None:
        """Queue writes until the next sync."""
        self._unsynced.extend(persists)

    def sync(self) -> int | None:
        """Apply all pending writes and return the sequence number of the last one."""
        if not self._unsynced:
            return None
        for persist in self._unsynced:
            self._stored = written(self._stored, persist)
        sequence = self._unsynced[-1].sequence
        self._unsynced = []
        return sequence

    def crash(self, rng: random.Random) -> PersistedState:
        """Drop a random number of the newest unsynced writes."""
        kept = rng.randint(0, len(self._unsynced))
        for persist in self._unsynced[:kept]:
            self._stored = written(self._stored, persist)
        self._unsynced = []
        return self._stored


class ForgetfulDisk(Disk):
    """Report writes as synced although a crash can still lose them."""

    def sync(self) -> int | None:
        """Return the sequence number of the last write without applying any."""
        return self._unsynced[-1].sequence if self._unsynced else None

    def crash(self, rng: random.Random) -> PersistedState:
        """Lose 1 to 5 of the newest writes that were reported as synced."""
        for persist in self._unsynced[: -rng.randint(1, 5)]:
            self._stored = written(self._stored, persist)
        self._unsynced = []
        return self._stored


def written(stored: PersistedState, persist: WriteRequest) -> PersistedState:
    """Return the persisted state after a write."""
    if persist.snapshot is not None:
        return PersistedState(persist.hard_state, persist.snapshot, persist.entries)
    if not persist.entries:
        return PersistedState(persist.hard_state, stored.snapshot, stored.entries)
    start = stored.snapshot.index if stored.snapshot else LogIndex(0)
    kept = stored.entries[: persist.entries[0].index - start - 1]
    return PersistedState(persist.hard_state, stored.snapshot, kept + persist.entries)
