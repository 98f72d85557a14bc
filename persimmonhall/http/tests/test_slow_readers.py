"""Check that answers are sent for as long as their callers go on reading."""

import socket as sockets

import pytest
import trio

from persimmonhall.http import caller_server
from persimmonhall.http.tests.test_caller_server import CallerServerFixture

TIMEOUT_S = 0.4
ANSWER = bytes(24 * 1024 * 1024)
READ_BYTES = 256 * 1024
# With this pause, reading the answer takes several times the timeout.
PAUSE_S = 0.02


@pytest.fixture
async def fixture(nursery, monkeypatch):
    """Start a server that soon gives up callers that do not read."""
    monkeypatch.setattr(caller_server, "SLOW_READER_TIMEOUT_S", TIMEOUT_S)
    return CallerServerFixture(nursery)


async def request_answer(fixture, *headers):
    """Send a request on a connection of small windows and answer it."""
    stream = await fixture.connect()
    stream.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, READ_BYTES)
    lines = ["GET / HTTP/1.1", "Host: a", *headers, "", ""]
    await stream.send_all("\r\n".join(lines).encode())
    await fixture.wait_for_requests(1)
    fixture.handler.exchanges[0].answer(200, b"", ANSWER)
    assert not fixture.server.is_idle
    return stream


async def read_slowly(stream):
    """Read until the end and return the number of bytes."""
    size = 0
    with trio.fail_after(20):
        while part := await stream.receive_some(READ_BYTES):
            size += len(part)
            await trio.sleep(PAUSE_S)
            if size >= len(ANSWER):
                return size
    return size


# Answers were cut 10 s after they were ready, though their callers were reading them.
@pytest.mark.parametrize("headers", [(), ("Connection: close",)], ids=["kept", "last"])
async def test_answer_of_a_slow_reader_is_sent_whole(fixture, headers):
    """Count the time from the last progress on, not from the answer."""
    stream = await request_answer(fixture, *headers)
    assert await read_slowly(stream) > len(ANSWER)


# A planned stop closed connections whose answers were still being read.
async def test_stop_does_not_close_a_connection_with_unsent_bytes(fixture):
    """Treat it as idle only once all has been sent."""
    stream = await request_answer(fixture)
    fixture.server.is_draining = True
    fixture.server.close_idle()
    assert fixture.server.has_unsent_answers
    assert await read_slowly(stream) > len(ANSWER)
    with trio.fail_after(2):
        while fixture.server.has_unsent_answers:
            await trio.sleep(0.01)
    assert fixture.server.is_idle


@pytest.mark.parametrize("headers", [(), ("Connection: close",)], ids=["kept", "last"])
async def test_connection_of_a_caller_that_does_not_read_is_closed(fixture, headers):
    """Bound the time for which its answer is held."""
    stream = await request_answer(fixture, *headers)
    with trio.fail_after(5):
        while fixture.server.connection_count:
            await trio.sleep(0.01)
    await stream.aclose()
