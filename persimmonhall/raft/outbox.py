"""Delay messages until the writes that they depend on are synced."""

from collections import deque
from dataclasses import dataclass

from persimmonhall.ids import LogIndex, ReplicaId
from persimmonhall.raft.messages import Entry, HardState, Message, Snapshot


@dataclass(frozen=True)
class Persist:
    """Request a write; the entries replace all from the first one's index on.

    With a snapshot, the entries are the entire log after it.
    """

    sequence: int
    state: HardState
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True)
class Outgoing:
    """Hold a message and its recipient."""

    to: ReplicaId
    message: Message


@dataclass(frozen=True)
class ReadReady:
    """Report that a read can be served once an index is applied."""

    number: int
    index: LogIndex


@dataclass(frozen=True)
class Ready:
    """Hold what the caller must write, send and apply, each in order."""

    persists: tuple[Persist, ...]
    messages: tuple[Outgoing, ...]
    committed: tuple[Entry | Snapshot, ...]
    reads: tuple[ReadReady, ...]


class Outbox:
    """Number the writes and release messages once the writes are synced."""

    def __init__(self):
        self._sequence = 0
        self._synced = 0
        self._persists: list[Persist] = []
        self._messages: list[Outgoing] = []
        self._held: deque[tuple[int, Outgoing]] = deque()

    @property
    def sequence(self) -> int:
        """Return the sequence number of the last write."""
        return self._sequence

    @property
    def synced_sequence(self) -> int:
        """Return the sequence number of the last synced write."""
        return self._synced

    def persist(
        self,
        state: HardState,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Add a write."""
        self._sequence += 1
        self._persists.append(Persist(self._sequence, state, entries, snapshot))

    def send(self, to: ReplicaId, message: Message) -> None:
        """Send a message that does not depend on unsynced writes."""
        self._messages.append(Outgoing(to, message))

    def send_after_sync(self, to: ReplicaId, message: Message) -> None:
        """Send a message once all writes so far are synced."""
        if self._synced == self._sequence:
            self.send(to, message)
        else:
            self._held.append((self._sequence, Outgoing(to, message)))

    def synced(self, sequence: int) -> None:
        """Release the messages that depend on writes up to a sequence number."""
        self._synced = max(self._synced, sequence)
        while self._held and self._held[0][0] <= self._synced:
            self._messages.append(self._held.popleft()[1])

    def take_persists(self) -> tuple[Persist, ...]:
        """Return and clear the pending writes."""
        taken, self._persists = tuple(self._persists), []
        return taken

    def take_messages(self) -> tuple[Outgoing, ...]:
        """Return and clear the messages that are ready to send."""
        taken, self._messages = tuple(self._messages), []
        return taken
