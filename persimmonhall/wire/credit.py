"""Limit the unread bytes of replies by credit-based flow control."""

import trio

WINDOW_BYTES = 256 * 1024
GRANT_BYTES = 128 * 1024


class Credit:
    """Track how many bytes of a reply the sender may still send."""

    def __init__(self):
        self._left_bytes = WINDOW_BYTES
        self._granted = trio.Event()

    def grant(self, size: int) -> None:
        """Add credit from the receiver."""
        self._left_bytes += size
        self._granted.set()
        self._granted = trio.Event()

    async def spend(self, size: int) -> None:
        """Wait for enough credit to send that many bytes, and consume it."""
        while self._left_bytes < size:
            await self._granted.wait()
        self._left_bytes -= size


class ReplyParts:
    """Collect the parts of a reply and determine when to grant its sender credit."""

    def __init__(self):
        self._parts: list[bytes] = []
        self._size = 0
        self._credited_bytes = WINDOW_BYTES

    @property
    def payload(self) -> bytes:
        """Return the bytes received so far."""
        return b"".join(self._parts)

    @property
    def due_bytes(self) -> int:
        """Return how many bytes to grant now; 0 while enough credit is left."""
        left = self._credited_bytes - self._size
        return GRANT_BYTES if left <= WINDOW_BYTES - GRANT_BYTES else 0

    @property
    def credited_bytes(self) -> int:
        """Return the total size of the reply that has been granted."""
        return self._credited_bytes

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self._parts.append(part)
        self._size += len(part)

    def grant(self, size: int) -> None:
        """Record credit that was granted to the sender."""
        self._credited_bytes += size
