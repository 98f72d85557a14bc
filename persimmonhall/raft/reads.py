"""Track reads until a round of heartbeats confirms leadership."""

from collections import deque

from persimmonhall.ids import LogIndex


class ReadRounds:
    """Group pending reads by the heartbeat round that a quorum must acknowledge."""

    def __init__(self):
        self._round = 0
        self._waiting: list[int] = []
        self._open: deque[tuple[int, int, LogIndex]] = deque()

    @property
    def round(self) -> int:
        """Return the number of the latest round."""
        return self._round

    @property
    def waiting(self) -> bool:
        """Return whether any read is not assigned to a round yet."""
        return bool(self._waiting)

    def add(self, number: int) -> None:
        """Add a read."""
        self._waiting.append(number)

    def open_round(self, commit: LogIndex) -> None:
        """Start a round for the unassigned reads."""
        self._round += 1
        for number in self._waiting:
            self._open.append((self._round, number, commit))
        self._waiting = []

    def take(self, upto: int) -> tuple[tuple[int, LogIndex], ...]:
        """Return and remove the reads whose round was acknowledged."""
        taken = []
        while self._open and self._open[0][0] <= upto:
            _, number, index = self._open.popleft()
            taken.append((number, index))
        return tuple(taken)
