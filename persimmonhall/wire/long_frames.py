"""Send large messages in parts, so that others pass between them.

The first part tells the size. The receiver grants the rest once it has room, so that a
large message waits where it is and takes no memory elsewhere.
"""

import struct
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from persimmonhall.event_time import current_time
from persimmonhall.ids import CallNumber
from persimmonhall.wire.call_frames import (
    CALL_NUMBER,
    MAX_FRAME_BYTES,
    CallFrameError,
    FrameType,
    pack_frame,
)
from persimmonhall.wire.transfer_budget import Reservation, TransferBudget

PART_BYTES = 64 * 1024
# Parts are added to the unsent bytes of a connection up to this many.
MAX_QUEUED_BYTES = 2 * PART_BYTES
PART_HEADER = struct.Struct("<BQQ")


class _OutgoingMessage:
    __slots__ = ("number", "data", "offset", "is_granted", "on_sent")

    def __init__(self, number: CallNumber, data: bytes, on_sent: Callable[[], None]):
        self.number = number
        self.data = memoryview(data)
        self.offset = 0
        self.is_granted = False
        self.on_sent = on_sent

    def take_part(self, kind: FrameType) -> bytes:
        """Encode the next part."""
        end = min(len(self.data), self.offset + PART_BYTES)
        header = PART_HEADER.pack(kind, self.number, len(self.data))
        part = header + self.data[self.offset : end]
        self.offset = end
        return pack_frame(FrameType.PART, part)


class LongFrameSender:
    """Send the parts of large messages in turn, as fast as the peer reads them."""

    def __init__(
        self,
        kind: FrameType,
        write: Callable[[bytes], None],
        count_unsent: Callable[[], int],
    ):
        self._kind = kind
        self._write = write
        self._count_unsent = count_unsent
        self._messages: dict[CallNumber, _OutgoingMessage] = {}
        self._granted: deque[_OutgoingMessage] = deque()

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of messages that are not sent in full."""
        return sum(len(message.data) for message in self._messages.values())

    def send(
        self,
        number: CallNumber,
        data: bytes,
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """Send the first part and keep the rest until it is granted."""
        message = _OutgoingMessage(number, data, on_sent)
        self._messages[number] = message
        self._write(message.take_part(self._kind))

    def grant(self, number: CallNumber) -> None:
        """Send the rest of a message, for which the peer has room."""
        message = self._messages.get(number)
        if message is not None and not message.is_granted:
            message.is_granted = True
            self._granted.append(message)
            self.pump()

    def cancel(self, number: CallNumber) -> bool:
        """Drop a message that is not sent in full; return whether there was one."""
        return self._messages.pop(number, None) is not None

    def pump(self) -> None:
        """Send parts while few bytes are unsent; call when some have been sent."""
        while self._granted and self._count_unsent() < MAX_QUEUED_BYTES:
            message = self._granted.popleft()
            if self._messages.get(message.number) is not message:
                continue
            self._write(message.take_part(self._kind))
            if message.offset < len(message.data):
                self._granted.append(message)
            else:
                del self._messages[message.number]
                message.on_sent()


class _IncomingMessage:
    __slots__ = ("size", "started_at", "data", "reservation")

    def __init__(self, size: int):
        self.size = size
        self.started_at = current_time()
        self.data = bytearray()
        self.reservation: Reservation | None = None


class LongMessage(NamedTuple):
    """Hold a large message, its room and how long its parts took to arrive."""

    number: CallNumber
    data: bytearray
    reservation: Reservation
    age_s: float


class LongFrameReceiver:
    """Put large messages together and tell the peer which it may send."""

    def __init__(
        self,
        kind: FrameType,
        write: Callable[[bytes], None],
        budget: TransferBudget,
        accepts: Callable[[CallNumber], bool] = lambda number: True,
    ):
        self._kind = kind
        self._write = write
        self._budget = budget
        self._accepts = accepts
        self._messages: dict[CallNumber, _IncomingMessage] = {}

    def add(self, payload: bytes) -> LongMessage | None:
        """Add a part; return its message once that is complete."""
        try:
            kind, number, size = PART_HEADER.unpack_from(payload)
        except struct.error as error:
            raise CallFrameError(f"damaged part: {error}") from error
        if kind != self._kind:
            raise CallFrameError(f"parts of a message of kind {kind}")
        key = CallNumber(number)
        message = self._messages.get(key)
        if message is None:
            if not self._accepts(key):
                return None
            if size > MAX_FRAME_BYTES:
                raise CallFrameError(f"a message of {size} bytes")
            message = self._messages[key] = _IncomingMessage(size)
            message.reservation = self._budget.reserve(size, lambda: self._grant(key))
        part = memoryview(payload)[PART_HEADER.size :]
        if not part or len(message.data) + len(part) > message.size:
            raise CallFrameError("parts beyond the size of their message")
        message.data += part
        if len(message.data) < message.size:
            return None
        del self._messages[key]
        age_s = current_time() - message.started_at
        return LongMessage(key, message.data, message.reservation, age_s)

    def cancel(self, number: CallNumber) -> None:
        """Drop a message that has not arrived in full."""
        message = self._messages.pop(number, None)
        if message is not None:
            message.reservation.release()

    def close(self) -> None:
        """Drop all messages that have not arrived in full."""
        for number in tuple(self._messages):
            self.cancel(number)

    def _grant(self, number: CallNumber) -> None:
        self._write(pack_frame(FrameType.GRANT, CALL_NUMBER.pack(number)))
