"""Bound the memory of the answers that a node holds."""

import trio

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024


class AnswerMemory:
    """Lend bytes to answers; the oldest may always go on, the others wait."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._waits = 0
        self._open = 0
        # Only holdings that asked for bytes, oldest first.
        self._holdings: dict[Holding, None] = {}
        self._changed = trio.Event()

    @property
    def used_bytes(self) -> int:
        """Return the bytes lent now."""
        return self._used_bytes

    @property
    def waits(self) -> int:
        """Return how often an answer had to wait for bytes."""
        return self._waits

    def open(self) -> "Holding":
        """Open the holding of one answer; it must be closed."""
        self._open += 1
        return Holding(self)

    async def wait_idle(self) -> None:
        """Wait until no holding is open."""
        while self._open:
            await self._changed.wait()

    async def lend(self, holding: "Holding", size: int) -> None:
        """Lend bytes as soon as there is room for them."""
        self._holdings.setdefault(holding)
        if not self._has_room(holding, size):
            self._waits += 1
        while not self._has_room(holding, size):
            await self._changed.wait()
        self._used_bytes += size

    def take_back(self, holding: "Holding", size: int) -> None:
        """Take back all bytes of a holding."""
        self._used_bytes -= size
        self._holdings.pop(holding, None)
        self._wake()

    def close(self) -> None:
        """Count one holding less."""
        self._open -= 1
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _has_room(self, holding: "Holding", size: int) -> bool:
        # One answer must always get to its end, however large it is.
        is_oldest = next(iter(self._holdings)) is holding
        return is_oldest or self._used_bytes + size <= self._limit_bytes


class Holding:
    """Count the bytes of one answer on its way."""

    def __init__(self, memory: AnswerMemory):
        self._memory = memory
        self._size = 0
        self._closed = False

    async def grow_to(self, size: int) -> None:
        """Wait until the answer may take that many bytes."""
        more = size - self._size
        if more <= 0:
            return
        await self._memory.lend(self, more)
        self._size = size

    def clear(self) -> None:
        """Give back all bytes, for another try at the answer."""
        self._memory.take_back(self, self._size)
        self._size = 0

    def close(self) -> None:
        """Give back all bytes for good; more than once does no harm."""
        if self._closed:
            return
        self._closed = True
        self.clear()
        self._memory.close()
