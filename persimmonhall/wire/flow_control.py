"""Limit the unread bytes of replies by credit-based flow control."""

import trio

WINDOW_BYTES = 256 * 1024
CREDIT_GRANT_BYTES = 128 * 1024


class SendCredit:
    """Track how many bytes of a reply the sender may still send."""

    def __init__(self):
        self._available_bytes = WINDOW_BYTES
        self._credit_added = trio.Event()

    def add(self, size: int) -> None:
        """Add credit from the receiver."""
        self._available_bytes += size
        self._credit_added.set()
        self._credit_added = trio.Event()

    async def consume(self, size: int) -> None:
        """Wait for enough credit to send that many bytes, and consume it."""
        while self._available_bytes < size:
            await self._credit_added.wait()
        self._available_bytes -= size


class ReplyBuffer:
    """Collect the parts of a reply and determine when to grant its sender credit."""

    def __init__(self):
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self._granted_bytes = WINDOW_BYTES

    @property
    def payload(self) -> bytes:
        """Return the bytes received so far."""
        return b"".join(self._parts)

    @property
    def due_credit_bytes(self) -> int:
        """Return how many bytes to grant now; 0 while enough credit is left."""
        remaining_bytes = self._granted_bytes - self._received_bytes
        return (
            CREDIT_GRANT_BYTES
            if remaining_bytes <= WINDOW_BYTES - CREDIT_GRANT_BYTES
            else 0
        )

    @property
    def granted_bytes(self) -> int:
        """Return the total size of the reply that has been granted."""
        return self._granted_bytes

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self._parts.append(part)
        self._received_bytes += len(part)

    def record_grant(self, size: int) -> None:
        """Record credit that was granted to the sender."""
        self._granted_bytes += size
