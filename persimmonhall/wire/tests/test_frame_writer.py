"""Test the order in which frames are written."""

import socket

import pytest
import trio

from persimmonhall.wire.direct_stream import DirectStream
from persimmonhall.wire.frame_writer import CHUNK_BYTES, FrameWriter
from persimmonhall.wire.frames import Channel, FrameKind, FrameReader

TIMEOUT_S = 5.0
LONG = b"l" * (CHUNK_BYTES + 1)


@pytest.fixture
async def ends():
    """Return the two ends of a connection."""
    pair = [trio.socket.from_stdlib_socket(end) for end in socket.socketpair()]
    streams = [trio.SocketStream(end) for end in pair]
    yield [DirectStream(stream) for stream in streams]
    for stream in streams:
        await trio.aclose_forcefully(stream)


async def _write(writer: FrameWriter, exchange: int, payload: bytes) -> None:
    await writer.write(
        FrameKind.REQUEST, FrameKind.REQUEST_END, Channel.CALL, exchange, payload
    )


async def _read(reader: FrameReader, count: int) -> list[tuple[int, int]]:
    with trio.fail_after(TIMEOUT_S):
        frames = [await reader.read() for _ in range(count)]
    return [(frame.exchange, len(frame.payload)) for frame in frames]


async def test_short_message_is_written_before_another_task_runs(ends):
    near, far = ends
    await _write(FrameWriter(near), 1, b"short")
    assert far.is_readable
    assert await _read(FrameReader(far), 1) == [(1, 5)]


async def test_short_message_is_written_after_a_queued_frame(ends):
    near, far = ends
    writer = FrameWriter(near)
    await _write(writer, 1, LONG)
    await _write(writer, 2, b"short")
    writer.send_cancel(Channel.CALL, 1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        read = await _read(FrameReader(far), 4)
        nursery.cancel_scope.cancel()
    assert read == [(1, CHUNK_BYTES), (1, 1), (2, 5), (1, 0)]


async def test_rest_of_a_partly_written_frame_is_queued(ends):
    near, far = ends
    writer = FrameWriter(near)
    size = CHUNK_BYTES
    count = 16
    for number in range(1, count):
        await _write(writer, number, b"s" * size)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        read = await _read(FrameReader(far), count - 1)
        nursery.cancel_scope.cancel()
    assert read == [(number, size) for number in range(1, count)]
