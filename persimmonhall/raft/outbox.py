"""Delay messages until the writes that they depend on are synced."""

from collections import deque
from dataclasses import dataclass

from persimmonhall.ids import LogIndex, ReplicaId
from persimmonhall.raft.messages import Entry, HardState, Message, Snapshot


@dataclass(frozen=True)
class WriteRequest:
    """Request a write; the entries replace all from the first one's index on.

    With a snapshot, the entries are the entire log after it.
    """

    sequence: int
    hard_state: HardState
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True)
class OutgoingMessage:
    """Hold a message and its recipient."""

    to: ReplicaId
    message: Message


@dataclass(frozen=True)
class ConfirmedRead:
    """Report that a read can be served once an index is applied."""

    read_id: int
    index: LogIndex


@dataclass(frozen=True)
class Ready:
    """Hold what the caller must write, send and apply, each in order."""

    writes: tuple[WriteRequest, ...]
    messages: tuple[OutgoingMessage, ...]
    committed: tuple[Entry | Snapshot, ...]
    reads: tuple[ConfirmedRead, ...]


class Outbox:
    """Number the writes and release messages once the writes are synced."""

    def __init__(self):
        self._sequence = 0
        self._synced_sequence = 0
        self._writes: list[WriteRequest] = []
        self._messages: list[OutgoingMessage] = []
        self._awaiting_sync: deque[tuple[int, OutgoingMessage]] = deque()

    @property
    def sequence(self) -> int:
        """Return the sequence number of the last write."""
        return self._sequence

    @property
    def synced_sequence(self) -> int:
        """Return the sequence number of the last synced write."""
        return self._synced_sequence

    def add_write(
        self,
        hard_state: HardState,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Add a write."""
        self._sequence += 1
        self._writes.append(WriteRequest(self._sequence, hard_state, entries, snapshot))

    def send(self, to: ReplicaId, message: Message) -> None:
        """Send a message that does not depend on unsynced writes."""
        self._messages.append(OutgoingMessage(to, message))

    def send_after_sync(self, to: ReplicaId, message: Message) -> None:
        """Send a message once all writes so far are synced."""
        if self._synced_sequence == self._sequence:
            self.send(to, message)
        else:
            self._awaiting_sync.append((self._sequence, OutgoingMessage(to, message)))

    def mark_synced(self, sequence: int) -> None:
        """Release the messages that depend on writes up to a sequence number."""
        self._synced_sequence = max(self._synced_sequence, sequence)
        while (
            self._awaiting_sync and self._awaiting_sync[0][0] <= self._synced_sequence
        ):
            self._messages.append(self._awaiting_sync.popleft()[1])

    def take_writes(self) -> tuple[WriteRequest, ...]:
        """Return and clear the pending writes."""
        taken, self._writes = tuple(self._writes), []
        return taken

    def take_messages(self) -> tuple[OutgoingMessage, ...]:
        """Return and clear the messages that are ready to send."""
        taken, self._messages = tuple(self._messages), []
        return taken
