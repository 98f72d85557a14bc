"""Bound the bytes of large messages that a process holds in one of its roles."""

from collections import deque
from collections.abc import Callable

MAX_HELD_BYTES = 16 * 1024 * 1024
# Smaller messages are neither split nor counted: a grant costs a round trip.
LARGE_BYTES = 512 * 1024


class Reservation:
    """Hold room for one message from its grant until it is released."""

    __slots__ = ("_budget", "_on_granted", "is_granted", "size")

    def __init__(
        self, budget: "TransferBudget", size: int, on_granted: Callable[[], None]
    ):
        self._budget = budget
        self._on_granted = on_granted
        self.size = size
        self.is_granted = False

    def grant(self) -> None:
        """Tell the owner that there is room now."""
        self.is_granted = True
        self._on_granted()

    def grow(self, size: int) -> None:
        """Count a message that turns out to be larger; it has room at once."""
        if self.is_granted and size > self.size:
            self._budget.add(size - self.size)
            self.size = size

    def release(self) -> None:
        """Give the room to others, or wait for it no longer."""
        budget, self._budget = self._budget, None
        self._on_granted = _ignore
        if budget is not None:
            budget.remove(self)


class TransferBudget:
    """Grant room in the order of the requests; any message fits alone.

    What has left the reservations but is still held, such as answers that callers have
    not read, is counted by a function.
    """

    def __init__(
        self,
        max_bytes: int = MAX_HELD_BYTES,
        count_others: Callable[[], int] = lambda: 0,
    ):
        self._max_bytes = max_bytes
        self._count_others = count_others
        self._held_bytes = 0
        self._waiting: deque[Reservation] = deque()

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all reservations that were granted."""
        return self._held_bytes

    @property
    def waiting_count(self) -> int:
        """Return the number of messages that wait for room."""
        return len(self._waiting)

    def reserve(self, size: int, on_granted: Callable[[], None]) -> Reservation:
        """Reserve room; the function is called once there is some, maybe at once."""
        reservation = Reservation(self, size, on_granted)
        self._waiting.append(reservation)
        self.step()
        return reservation

    def step(self) -> None:
        """Grant what has room; call regularly, as others free theirs unnoticed."""
        while self._waiting and self._has_room(self._waiting[0].size):
            reservation = self._waiting.popleft()
            self._held_bytes += reservation.size
            reservation.grant()

    def add(self, size: int) -> None:
        """Count more bytes of a message that has room."""
        self._held_bytes += size

    def remove(self, reservation: Reservation) -> None:
        """Remove a reservation."""
        if reservation.is_granted:
            self._held_bytes -= reservation.size
            self.step()
        elif reservation in self._waiting:
            self._waiting.remove(reservation)

    def _has_room(self, size: int) -> bool:
        held_bytes = self._held_bytes + self._count_others()
        return not held_bytes or held_bytes + size <= self._max_bytes


def _ignore() -> None:
    """Take the place of the callback of a reservation that was released."""
