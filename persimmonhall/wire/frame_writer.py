"""Write the frames of concurrent exchanges to one connection."""

from collections import deque

import trio

from persimmonhall.wire.credit import Credit
from persimmonhall.wire.direct_stream import DirectStream
from persimmonhall.wire.frames import CREDIT, Channel, Frame, FrameKind, encode_frame

CHUNK_BYTES = 64 * 1024
MAX_QUEUED_FRAMES = 16


class FrameWriter:
    """Write queued frames in order; a cancelled caller leaves no partial frame."""

    def __init__(self, stream: DirectStream):
        self._stream = stream
        self._frames: deque[bytes] = deque()
        self._work = trio.Event()
        self._room = trio.Event()
        self._closed = False

    async def run(self) -> None:
        """Write until the connection ends."""
        while True:
            while not self._frames:
                self._work = trio.Event()
                await self._work.wait()
            await self._stream.send_all(self._frames[0])
            self._frames.popleft()
            self._room.set()

    def close(self) -> None:
        """Fail the messages that wait for space in the queue."""
        self._closed = True
        self._room.set()

    async def write(
        self,
        part: FrameKind,
        end: FrameKind,
        channel: Channel,
        exchange: int,
        payload: bytes,
        credit: Credit | None = None,
    ) -> None:
        """Queue a message in chunks; raise ClosedResourceError if the link ends."""
        last = max(0, (len(payload) - 1) // CHUNK_BYTES)
        for number in range(last + 1):
            chunk = payload[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES]
            kind = end if number == last else part
            if credit is not None:
                await credit.spend(len(chunk))
            await self._wait_for_room()
            frame = Frame(kind, channel, exchange, chunk)
            # Chunks of a long message are interleaved with other messages.
            self._queue(frame, may_write=last == 0)

    async def _wait_for_room(self) -> None:
        while len(self._frames) >= MAX_QUEUED_FRAMES and not self._closed:
            if self._room.is_set():
                self._room = trio.Event()
            await self._room.wait()
        if self._closed:
            raise trio.ClosedResourceError("the connection has ended")

    def grant(self, channel: Channel, exchange: int, size: int) -> None:
        """Grant the peer credit to send more bytes of its reply."""
        self._queue(Frame(FrameKind.CREDIT, channel, exchange, CREDIT.pack(size)))

    def cancel(self, channel: Channel, exchange: int) -> None:
        """Notify the peer that the exchange is cancelled."""
        self._queue(Frame(FrameKind.CANCEL, channel, exchange))

    def _queue(self, frame: Frame, *, may_write: bool = True) -> None:
        data = encode_frame(frame)
        if may_write and not self._frames:
            # Write directly: switching to the writer task costs more than the write.
            data = data[self._stream.write_now(data) :]
        if data:
            self._frames.append(data)
            self._work.set()
