"""Track reads until a round of heartbeats confirms leadership."""

from collections import deque

from persimmonhall.ids import LogIndex


class PendingReads:
    """Group pending reads by the heartbeat round that a quorum must acknowledge."""

    def __init__(self):
        self._round = 0
        self._unassigned: list[int] = []
        self._awaiting_quorum: deque[tuple[int, int, LogIndex]] = deque()

    @property
    def round(self) -> int:
        """Return the number of the latest round."""
        return self._round

    @property
    def has_unassigned(self) -> bool:
        """Return whether any read is not assigned to a round yet."""
        return bool(self._unassigned)

    def add(self, read_id: int) -> None:
        """Add a read."""
        self._unassigned.append(read_id)

    def start_round(self, commit_index: LogIndex) -> None:
        """Start a round for the unassigned reads."""
        self._round += 1
        for read_id in self._unassigned:
            self._awaiting_quorum.append((self._round, read_id, commit_index))
        self._unassigned = []

    def take_confirmed(
        self, acknowledged_round: int
    ) -> tuple[tuple[int, LogIndex], ...]:
        """Return and remove the reads whose round was acknowledged."""
        taken = []
        while (
            self._awaiting_quorum and self._awaiting_quorum[0][0] <= acknowledged_round
        ):
            _, read_id, index = self._awaiting_quorum.popleft()
            taken.append((read_id, index))
        return tuple(taken)
