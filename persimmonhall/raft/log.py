"""Keep the Raft log of one replica in memory."""

from persimmonhall.ids import LogIndex, Term
from persimmonhall.raft.messages import SCHEMA, Entry, EntryKind, ReplicaSet, Snapshot
from persimmonhall.wire.codec import decode, encode

TRAILING_ENTRIES = 500
# Entries of releases have megabytes; a follower that lacks them gets the snapshot.
TRAILING_BYTES = 4 * 1024 * 1024
# For a replica that is sent a snapshot, the entries after it are kept up to this size.
RETAINED_ENTRIES = 20_000
RETAINED_BYTES = 16 * 1024 * 1024
EMPTY_SNAPSHOT = Snapshot(LogIndex(0), Term(0), ReplicaSet(), ())


def encode_replicas(replicas: ReplicaSet) -> bytes:
    """Encode a replica set as the data of a log entry."""
    return encode(SCHEMA.ReplicaSet, replicas)


def decode_replicas(data: bytes) -> ReplicaSet:
    """Decode a replica set from the data of a log entry."""
    return decode(SCHEMA.ReplicaSet, ReplicaSet, data)


class Log:
    """Store the entries after a snapshot, and some before it for slow followers."""

    def __init__(self, snapshot: Snapshot | None, entries: tuple[Entry, ...]):
        self._snapshot = snapshot or EMPTY_SNAPSHOT
        self._base_index = self._snapshot.index
        self._base_term = self._snapshot.term
        self._entries: list[Entry] = []
        self._replica_sets = [(self._snapshot.index, self._snapshot.replicas)]
        self.append(entries)

    @property
    def snapshot(self) -> Snapshot:
        """Return the latest snapshot."""
        return self._snapshot

    @property
    def first_index(self) -> LogIndex:
        """Return the index of the oldest stored entry."""
        return LogIndex(self._base_index + 1)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry."""
        return LogIndex(self._base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def replicas(self) -> ReplicaSet:
        """Return the latest replica set, committed or not."""
        return self._replica_sets[-1][1]

    @property
    def replicas_index(self) -> LogIndex:
        """Return the log index of the latest replica set."""
        return self._replica_sets[-1][0]

    @property
    def previous_replicas(self) -> ReplicaSet:
        """Return the replica set before the latest one, or the latest if alone."""
        return self._replica_sets[-2:][0][1]

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, or None if it is not stored."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def replicas_at(self, index: LogIndex) -> ReplicaSet:
        """Return the replica set that is active at an index."""
        return next(s for at, s in reversed(self._replica_sets) if at <= index)

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries, replacing all existing ones from the first one's index on."""
        if not entries:
            return
        before = LogIndex(entries[0].index - 1)
        del self._entries[before - self._base_index :]
        while self._replica_sets[-1][0] > before:
            self._replica_sets.pop()
        for entry in entries:
            self._entries.append(entry)
            if entry.kind is EntryKind.REPLICAS:
                self._replica_sets.append((entry.index, decode_replicas(entry.data)))

    def entries_after(self, index: LogIndex, max_bytes: int) -> tuple[Entry, ...]:
        """Return the entries after an index, at least one, up to a size in bytes."""
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[index - self._base_index :]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def entries_between(self, after: LogIndex, up_to: LogIndex) -> tuple[Entry, ...]:
        """Return the entries after one index, up to and including another."""
        return tuple(self._entries[after - self._base_index : up_to - self._base_index])

    def compact(
        self, snapshot: Snapshot, retained_index: LogIndex | None = None
    ) -> None:
        """Set a snapshot of local entries; drop all but some trailing entries.

        Entries after the retained index are kept within larger bounds.
        """
        self._snapshot = snapshot
        end = snapshot.index
        start = self._first_kept_index(end, TRAILING_ENTRIES, TRAILING_BYTES)
        if retained_index is not None and retained_index < start:
            first = self._first_kept_index(end, RETAINED_ENTRIES, RETAINED_BYTES)
            if first <= retained_index:
                start = retained_index
        term = self.term_at(start)
        del self._entries[: start - self._base_index]
        self._base_index, self._base_term = start, term
        later = [pair for pair in self._replica_sets if pair[0] > snapshot.index]
        self._replica_sets = [(snapshot.index, snapshot.replicas), *later]

    def _first_kept_index(
        self, end: LogIndex, max_entries: int, max_bytes: int
    ) -> LogIndex:
        """Return the index after which the entries up to an end keep both bounds."""
        start = max(self._base_index, end - max_entries)
        size = 0
        for index in range(end, start, -1):
            size += len(self._entries[index - self._base_index - 1].data)
            if size > max_bytes:
                return LogIndex(index)
        return LogIndex(start)

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the entire log by a snapshot."""
        self.__init__(snapshot, ())
