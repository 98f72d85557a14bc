"""Hold back messages until the writes that they rest on are synced."""

from collections import deque
from dataclasses import dataclass

from persimmonhall.ids import LogIndex, ReplicaId
from persimmonhall.raft.messages import Entry, HardState, Message, Snapshot


@dataclass(frozen=True)
class Persist:
    """Ask storage to write; the entries replace all from the first one on.

    With a snapshot, the entries are the whole log that follows it.
    """

    sequence: int
    state: HardState
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True)
class Outgoing:
    """Address a message."""

    to: ReplicaId
    message: Message


@dataclass(frozen=True)
class ReadReady:
    """Tell that a read may be served once an index is applied."""

    number: int
    index: LogIndex


@dataclass(frozen=True)
class Ready:
    """Collect what the caller has to write, send and apply, in order."""

    persists: tuple[Persist, ...]
    messages: tuple[Outgoing, ...]
    committed: tuple[Entry | Snapshot, ...]
    reads: tuple[ReadReady, ...]


class Outbox:
    """Number the writes and release messages as they are synced."""

    def __init__(self):
        self._sequence = 0
        self._synced = 0
        self._persists: list[Persist] = []
        self._messages: list[Outgoing] = []
        self._held: deque[tuple[int, Outgoing]] = deque()

    @property
    def sequence(self) -> int:
        """Return the number of the newest write."""
        return self._sequence

    @property
    def synced_sequence(self) -> int:
        """Return the number of the newest write that is synced."""
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
        """Send a message that promises nothing."""
        self._messages.append(Outgoing(to, message))

    def send_after_sync(self, to: ReplicaId, message: Message) -> None:
        """Send a message once every write so far is synced."""
        if self._synced == self._sequence:
            self.send(to, message)
        else:
            self._held.append((self._sequence, Outgoing(to, message)))

    def synced(self, sequence: int) -> None:
        """Release the messages that rested on writes up to a number."""
        self._synced = max(self._synced, sequence)
        while self._held and self._held[0][0] <= self._synced:
            self._messages.append(self._held.popleft()[1])

    def take_persists(self) -> tuple[Persist, ...]:
        """Return the writes not yet handed out."""
        taken, self._persists = tuple(self._persists), []
        return taken

    def take_messages(self) -> tuple[Outgoing, ...]:
        """Return the messages that may go out."""
        taken, self._messages = tuple(self._messages), []
        return taken
