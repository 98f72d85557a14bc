"""Limit the memory that a node uses for answers in transit."""

import trio

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024


class AnswerMemory:
    """Reserve memory for answers; the oldest never waits, the others wait for room."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._wait_count = 0
        self._open_count = 0
        # Only reservations that have requested bytes, oldest first.
        self._reservations: dict[AnswerReservation, None] = {}
        self._changed = trio.Event()

    @property
    def used_bytes(self) -> int:
        """Return the number of bytes reserved now."""
        return self._used_bytes

    @property
    def wait_count(self) -> int:
        """Return how often an answer had to wait for memory."""
        return self._wait_count

    def open_reservation(self) -> "AnswerReservation":
        """Open the reservation of one answer; the caller must close it."""
        self._open_count += 1
        return AnswerReservation(self)

    async def wait_idle(self) -> None:
        """Wait until no reservation is open."""
        while self._open_count:
            await self._changed.wait()

    async def reserve(self, reservation: "AnswerReservation", size: int) -> None:
        """Wait until the bytes fit the limit, then reserve them."""
        self._reservations.setdefault(reservation)
        if not self._fits_limit(reservation, size):
            self._wait_count += 1
        while not self._fits_limit(reservation, size):
            await self._changed.wait()
        self._used_bytes += size

    def release(self, reservation: "AnswerReservation", size: int) -> None:
        """Release all bytes of a reservation."""
        self._used_bytes -= size
        self._reservations.pop(reservation, None)
        self._notify_waiters()

    def end_reservation(self) -> None:
        """Decrease the number of open reservations."""
        self._open_count -= 1
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _fits_limit(self, reservation: "AnswerReservation", size: int) -> bool:
        # At least one answer must always be able to complete, however large it is.
        is_oldest = next(iter(self._reservations)) is reservation
        return is_oldest or self._used_bytes + size <= self._limit_bytes


class AnswerReservation:
    """Track the bytes reserved for one answer."""

    def __init__(self, memory: AnswerMemory):
        self._memory = memory
        self._reserved_bytes = 0
        self._is_closed = False

    async def grow_to(self, size: int) -> None:
        """Reserve up to a total size; wait until it fits the limit."""
        additional_bytes = size - self._reserved_bytes
        if additional_bytes <= 0:
            return
        await self._memory.reserve(self, additional_bytes)
        self._reserved_bytes = size

    def clear(self) -> None:
        """Release all bytes before another attempt."""
        self._memory.release(self, self._reserved_bytes)
        self._reserved_bytes = 0

    def close(self) -> None:
        """Release all bytes and close the reservation; further calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        self.clear()
        self._memory.end_reservation()
