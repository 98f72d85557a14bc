"""Limit the memory that a node uses for answers in transit."""

import trio

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024


class AnswerMemory:
    """Reserve memory for answers; the oldest never waits, the others wait for room."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._waits = 0
        self._open = 0
        # Only reservations that have requested bytes, oldest first.
        self._holdings: dict[Holding, None] = {}
        self._changed = trio.Event()

    @property
    def used_bytes(self) -> int:
        """Return the number of bytes reserved now."""
        return self._used_bytes

    @property
    def waits(self) -> int:
        """Return how often an answer had to wait for memory."""
        return self._waits

    def open(self) -> "Holding":
        """Open the reservation of one answer; the caller must close it."""
        self._open += 1
        return Holding(self)

    async def wait_idle(self) -> None:
        """Wait until no reservation is open."""
        while self._open:
            await self._changed.wait()

    async def lend(self, holding: "Holding", size: int) -> None:
        """Wait until the bytes fit the limit, then reserve them."""
        self._holdings.setdefault(holding)
        if not self._has_room(holding, size):
            self._waits += 1
        while not self._has_room(holding, size):
            await self._changed.wait()
        self._used_bytes += size

    def take_back(self, holding: "Holding", size: int) -> None:
        """Release all bytes of a reservation."""
        self._used_bytes -= size
        self._holdings.pop(holding, None)
        self._wake()

    def close(self) -> None:
        """Decrease the number of open reservations."""
        self._open -= 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _has_room(self, holding: "Holding", size: int) -> bool:
        # At least one answer must always be able to complete, however large it is.
        is_oldest = next(iter(self._holdings)) is holding
        return is_oldest or self._used_bytes + size <= self._limit_bytes


class Holding:
    """Track the bytes reserved for one answer."""

    def __init__(self, memory: AnswerMemory):
        self._memory = memory
        self._size = 0
        self._closed = False

    async def grow_to(self, size: int) -> None:
        """Reserve up to a total size; wait until it fits the limit."""
        more = size - self._size
        if more <= 0:
            return
        await self._memory.lend(self, more)
        self._size = size

    def clear(self) -> None:
        """Release all bytes before another attempt."""
        self._memory.take_back(self, self._size)
        self._size = 0

    def close(self) -> None:
        """Release all bytes and close the reservation; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        self.clear()
        self._memory.close()
