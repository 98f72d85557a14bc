"""Write the frames of many exchanges to one connection."""

from collections import deque

import trio

from persimmonhall.wire.credit import Credit
from persimmonhall.wire.direct_stream import DirectStream
from persimmonhall.wire.frames import CREDIT, Channel, Frame, FrameKind, encode_frame

CHUNK_BYTES = 64 * 1024
MAX_QUEUED_FRAMES = 16


class FrameWriter:
    """Write whole frames in turn, whoever is cancelled meanwhile."""

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
        """End the messages that wait for room."""
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
        """Queue one message, chunk by chunk; raise ClosedResourceError at the end."""
        last = max(0, (len(payload) - 1) // CHUNK_BYTES)
        for number in range(last + 1):
            chunk = payload[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES]
            kind = end if number == last else part
            if credit is not None:
                await credit.spend(len(chunk))
            await self._wait_for_room()
            frame = Frame(kind, channel, exchange, chunk)
            # The parts of a long message take turns with other messages.
            self._queue(frame, may_write=last == 0)

    async def _wait_for_room(self) -> None:
        while len(self._frames) >= MAX_QUEUED_FRAMES and not self._closed:
            if self._room.is_set():
                self._room = trio.Event()
            await self._room.wait()
        if self._closed:
            raise trio.ClosedResourceError("the connection has ended")

    def grant(self, channel: Channel, exchange: int, size: int) -> None:
        """Let the peer send more bytes of its reply."""
        self._queue(Frame(FrameKind.CREDIT, channel, exchange, CREDIT.pack(size)))

    def cancel(self, channel: Channel, exchange: int) -> None:
        """Tell the peer that nobody waits for the exchange."""
        self._queue(Frame(FrameKind.CANCEL, channel, exchange))

    def _queue(self, frame: Frame, *, may_write: bool = True) -> None:
        data = encode_frame(frame)
        if may_write and not self._frames:
            # At once, for the turn of another task costs more than the write.
            data = data[self._stream.write_now(data) :]
        if data:
            self._frames.append(data)
            self._work.set()
