"""Write the frames of concurrent exchanges to one connection."""

from collections import deque

import trio

from persimmonhall.wire.direct_stream import DirectStream
from persimmonhall.wire.flow_control import SendCredit
from persimmonhall.wire.frames import (
    CREDIT_PAYLOAD,
    Channel,
    Frame,
    FrameKind,
    encode_frame,
)

CHUNK_BYTES = 64 * 1024
MAX_QUEUED_FRAMES = 16


class FrameWriter:
    """Write queued frames in order; a cancelled caller leaves no partial frame."""

    def __init__(self, stream: DirectStream):
        self._stream = stream
        self._frames: deque[bytes] = deque()
        self._frame_queued = trio.Event()
        self._space_available = trio.Event()
        self._is_closed = False

    async def run(self) -> None:
        """Write until the connection ends."""
        while True:
            while not self._frames:
                self._frame_queued = trio.Event()
                await self._frame_queued.wait()
            await self._stream.send_all(self._frames[0])
            self._frames.popleft()
            self._space_available.set()

    def close(self) -> None:
        """Fail the messages that wait for space in the queue."""
        self._is_closed = True
        self._space_available.set()

    async def write(
        self,
        part_kind: FrameKind,
        end_kind: FrameKind,
        channel: Channel,
        exchange: int,
        payload: bytes,
        credit: SendCredit | None = None,
    ) -> None:
        """Queue a message in chunks; raise ClosedResourceError if the link ends."""
        last_number = max(0, (len(payload) - 1) // CHUNK_BYTES)
        for number in range(last_number + 1):
            chunk = payload[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES]
            kind = end_kind if number == last_number else part_kind
            if credit is not None:
                await credit.consume(len(chunk))
            await self._wait_for_space()
            frame = Frame(kind, channel, exchange, chunk)
            # Chunks of a long message are interleaved with other messages.
            self._write_or_queue(frame, can_write_directly=last_number == 0)

    async def _wait_for_space(self) -> None:
        while len(self._frames) >= MAX_QUEUED_FRAMES and not self._is_closed:
            if self._space_available.is_set():
                self._space_available = trio.Event()
            await self._space_available.wait()
        if self._is_closed:
            raise trio.ClosedResourceError("the connection has ended")

    def send_credit(self, channel: Channel, exchange: int, size: int) -> None:
        """Grant the peer credit to send more bytes of its reply."""
        self._write_or_queue(
            Frame(FrameKind.CREDIT, channel, exchange, CREDIT_PAYLOAD.pack(size))
        )

    def send_cancel(self, channel: Channel, exchange: int) -> None:
        """Notify the peer that the exchange is cancelled."""
        self._write_or_queue(Frame(FrameKind.CANCEL, channel, exchange))

    def _write_or_queue(self, frame: Frame, *, can_write_directly: bool = True) -> None:
        data = encode_frame(frame)
        if can_write_directly and not self._frames:
            # Write directly: switching to the writer task costs more than the write.
            data = data[self._stream.write_nowait(data) :]
        if data:
            self._frames.append(data)
            self._frame_queued.set()
