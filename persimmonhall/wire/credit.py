"""Bound how much of a reply is sent before its receiver has room for it."""

import trio

WINDOW_BYTES = 256 * 1024
GRANT_BYTES = 128 * 1024


class Credit:
    """Count the bytes of a reply that may still be sent."""

    def __init__(self):
        self._left_bytes = WINDOW_BYTES
        self._granted = trio.Event()

    def grant(self, size: int) -> None:
        """Allow more bytes."""
        self._left_bytes += size
        self._granted.set()
        self._granted = trio.Event()

    async def spend(self, size: int) -> None:
        """Wait until that many bytes are allowed, and count them as sent."""
        while self._left_bytes < size:
            await self._granted.wait()
        self._left_bytes -= size


class ReplyParts:
    """Collect the parts of a reply and tell when its sender needs credit."""

    def __init__(self):
        self._parts: list[bytes] = []
        self._size = 0
        self._credited_bytes = WINDOW_BYTES

    @property
    def payload(self) -> bytes:
        """Return all that has arrived."""
        return b"".join(self._parts)

    @property
    def due_bytes(self) -> int:
        """Return how much credit to grant now; none while enough is left."""
        left = self._credited_bytes - self._size
        return GRANT_BYTES if left <= WINDOW_BYTES - GRANT_BYTES else 0

    @property
    def credited_bytes(self) -> int:
        """Return how long the reply may be so far."""
        return self._credited_bytes

    def add(self, part: bytes) -> None:
        """Take in the next part."""
        self._parts.append(part)
        self._size += len(part)

    def grant(self, size: int) -> None:
        """Count credit that was granted."""
        self._credited_bytes += size
