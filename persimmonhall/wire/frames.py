"""Read and write length-prefixed frames on a TCP connection."""

import struct
from dataclasses import dataclass
from enum import Enum

import trio

from persimmonhall.wire.direct_stream import DirectStream

PREAMBLE = b"PSH1"
HEADER = struct.Struct("<IBBQ")
CREDIT_PAYLOAD = struct.Struct("<I")
MAX_FRAME_BYTES = 128 * 1024
RECEIVE_BYTES = 64 * 1024


class FrameKind(Enum):
    """Identify the role of a frame in its exchange."""

    REQUEST = 1
    REQUEST_END = 2
    REPLY = 3
    REPLY_END = 4
    CANCEL = 5
    CREDIT = 6


class Channel(Enum):
    """Identify the component that an exchange belongs to."""

    CALL = 1
    LEDGER = 2
    MEMBERSHIP = 3
    DOCUMENT = 4
    CONTROL = 5
    REPLICA = 6
    ONCE = 7


FRAME_KINDS_BY_VALUE = {kind.value: kind for kind in FrameKind}
CHANNELS_BY_VALUE = {channel.value: channel for channel in Channel}


class FrameError(Exception):
    """Signal bytes that are not a valid frame."""


CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, FrameError)


@dataclass(frozen=True)
class Frame:
    """Represent one frame of an exchange."""

    kind: FrameKind
    channel: Channel
    exchange: int
    payload: bytes = b""


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its header."""
    header = HEADER.pack(
        len(frame.payload), frame.kind.value, frame.channel.value, frame.exchange
    )
    return header + frame.payload


class FrameReader:
    """Read frames from a stream."""

    def __init__(self, stream: DirectStream):
        self._stream = stream
        self._buffer = bytearray()

    async def read_preamble(self) -> None:
        """Read and check the preamble of a connection."""
        if await self._read_exactly(len(PREAMBLE)) != PREAMBLE:
            raise FrameError("the connection does not start with a frame preamble")

    async def read(self) -> Frame | None:
        """Return the next frame, or None if the connection ends between frames."""
        header = await self._read_exactly(HEADER.size)
        if header is None:
            return None
        length, kind, channel, exchange = HEADER.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}")
        if kind not in FRAME_KINDS_BY_VALUE or channel not in CHANNELS_BY_VALUE:
            raise FrameError(f"unknown frame kind {kind} or channel {channel}")
        payload = await self._read_exactly(length)
        if payload is None:
            raise FrameError("the connection ended inside a frame")
        return Frame(
            FRAME_KINDS_BY_VALUE[kind], CHANNELS_BY_VALUE[channel], exchange, payload
        )

    async def _read_exactly(self, size: int) -> bytes | None:
        while len(self._buffer) < size:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                if self._buffer:
                    raise FrameError("the connection ended inside a frame")
                return None
            self._buffer += data
        result = bytes(self._buffer[:size])
        del self._buffer[:size]
        return result
