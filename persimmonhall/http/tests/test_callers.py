"""Test the caller server: answer order, connection close and limits."""

import socket

import trio

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.http.callers import CallerServer
from persimmonhall.release.schema import CallerLimits
from persimmonhall.timers import Timers
from persimmonhall.wire.readiness import Readiness

ANY_PORT = Address("127.0.0.1", 0)


class Handler:
    """Record exchanges until the test answers them."""

    def __init__(self):
        self.exchanges = []
        self.messages = []
        self.abandoned = []

    def begin(self, message, exchange):
        """Record a request."""
        self.messages.append(message)
        self.exchanges.append(exchange)

    def abandon(self, exchange):
        """Record a request whose caller has disconnected."""
        self.abandoned.append(exchange)


class Scene:
    """Run a server with a recording handler and connect to it."""

    def __init__(self, nursery, limits=CallerLimits):
        self.nursery = nursery
        self.handler = Handler()
        readiness, timers = Readiness(), Timers()
        nursery.start_soon(readiness.run)
        nursery.start_soon(timers.run)
        self.server = CallerServer(self.handler, ANY_PORT, readiness, timers, limits)
        self.address = None

    async def connect(self):
        """Open a connection."""
        if self.address is None:
            self.address = await self.nursery.start(self.server.run)
            self.nursery.start_soon(self._step)
        return await trio.open_tcp_stream(self.address.host, self.address.port)

    async def _step(self):
        while True:
            await trio.sleep(0.05)
            self.server.step(trio.current_time())

    async def wait_for(self, count):
        """Wait until a number of requests has arrived."""
        with trio.fail_after(2):
            while len(self.handler.exchanges) < count:
                await trio.sleep(0.005)


def get(path, *headers):
    """Encode a GET request."""
    lines = [f"GET {path} HTTP/1.1", "Host: a", *headers, "", ""]
    return "\r\n".join(lines).encode()


async def read(stream, size=65536):
    """Read what has arrived."""
    with trio.fail_after(2):
        return await stream.receive_some(size)


async def read_to_end(stream):
    """Read until the server closes."""
    data = b""
    with trio.fail_after(5):
        while part := await stream.receive_some(65536):
            data += part
    return data


async def test_pipelined_answers_keep_the_order_of_their_requests(nursery):
    """Handle both at once and delay the second answer until the first is sent."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/slow") + get("/fast"))
    await scene.wait_for(2)
    slow, fast = scene.handler.exchanges
    fast.answer(200, b"", b"fast")
    await trio.sleep(0.02)
    slow.answer(200, b"", b"slow")
    data = b""
    while data.count(b"HTTP/1.1") < 2 or not data.endswith(b"fast"):
        data += await read(stream)
    assert data.index(b"slow") < data.index(b"fast")


async def test_request_behind_a_closing_answer_is_not_answered(nursery):
    """Close the connection after the answer to a request with "connection: close"."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/last", "Connection: close") + get("/behind"))
    await scene.wait_for(1)
    scene.handler.exchanges[0].answer(200, b"", b"bye")
    data = await read_to_end(stream)
    assert data.endswith(b"bye")
    assert b"connection: close" in data
    assert len(scene.handler.exchanges) == 1


async def test_caller_that_goes_abandons_its_requests(nursery):
    """Abandon every request that has no answer yet."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/1") + get("/2"))
    await scene.wait_for(2)
    await stream.aclose()
    with trio.fail_after(2):
        while len(scene.handler.abandoned) < 2:
            await trio.sleep(0.005)
    scene.handler.exchanges[0].answer(200, b"", b"too late")


async def test_request_of_a_caller_who_left_before_it_was_read_is_not_begun(nursery):
    """Start no request whose caller disconnected before a slow node read it."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/first"))
    await scene.wait_for(1)
    stream.socket._sock.send(get("/second"))
    stream.socket._sock.shutdown(socket.SHUT_RDWR)
    await trio.sleep(0.05)
    assert len(scene.handler.exchanges) == 1
    assert len(scene.handler.abandoned) == 1


async def test_draining_server_closes_with_the_newest_answer_only(nursery):
    """Close only after the last pending answer, so that no request is dropped."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/1") + get("/2"))
    await scene.wait_for(2)
    scene.server.draining = True
    first, second = scene.handler.exchanges
    first.answer(200, b"", b"one")
    second.answer(200, b"", b"two")
    data = await read_to_end(stream)
    assert data.count(b"connection: close") == 1
    assert data.index(b"one") < data.index(b"connection: close")


async def test_chunked_body_arrives_whole(nursery):
    """Start a request only when its body is complete."""
    scene = Scene(nursery)
    stream = await scene.connect()
    head = b"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    await stream.send_all(head + b"3\r\nabc\r\n")
    await trio.sleep(0.03)
    assert scene.handler.exchanges == []
    await stream.send_all(b"2\r\nde\r\n0\r\n\r\n")
    await scene.wait_for(1)
    assert scene.handler.messages[0].body == b"abcde"


async def test_too_large_body_is_refused_before_it_arrives(nursery):
    """Answer 413 on the Content-Length alone and close."""
    scene = Scene(nursery, lambda: CallerLimits(max_body_bytes=10))
    stream = await scene.connect()
    await stream.send_all(b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n")
    assert (await read_to_end(stream)).startswith(b"HTTP/1.1 413 ")


async def test_unreadable_request_gets_its_answer_after_those_before_it(nursery):
    """Answer the valid request first, then refuse the malformed one."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/good") + b"BAD\r\n\r\n")
    await scene.wait_for(1)
    scene.handler.exchanges[0].answer(200, b"", b"good")
    data = await read_to_end(stream)
    assert data.index(b"good") < data.index(b"HTTP/1.1 400 ")


async def test_idle_connection_is_closed_after_the_limit(nursery):
    """Close a connection after the idle timeout of the caller limits."""
    scene = Scene(nursery, lambda: CallerLimits(idle_timeout_ms=300))
    stream = await scene.connect()
    assert await read_to_end(stream) == b""


async def test_refusal_says_when_to_come_back_in_fractions(nursery):
    """Send Retry-After with a refusal that has not run."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/1"))
    await scene.wait_for(1)
    refusal = refuse(ErrorKind.OVERLOADED, "full", retry_after_s=0.35)
    scene.handler.exchanges[0].refuse(refusal)
    data = await read(stream)
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 0.350\r\n" in data


async def test_large_answer_waits_for_a_slow_reader(nursery):
    """Deliver an answer in full that does not fit the socket buffer."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/1"))
    await scene.wait_for(1)
    body = b"x" * 8_000_000
    scene.handler.exchanges[0].answer(200, b"", body)
    size = 0
    while size < len(body):
        size += len(await read(stream, 300_000))
    assert size > len(body)


async def test_draining_server_closes_behind_no_request_that_it_has_begun(nursery):
    """Decide to close only when an answer is sent; requests may arrive until then."""
    scene = Scene(nursery)
    stream = await scene.connect()
    await stream.send_all(get("/slow") + get("/fast"))
    await scene.wait_for(2)
    scene.server.draining = True
    slow, fast = scene.handler.exchanges
    fast.answer(200, b"", b"fast")
    await stream.send_all(get("/late"))
    await scene.wait_for(3)
    slow.answer(200, b"", b"slow")
    await trio.sleep(0.02)
    assert scene.handler.abandoned == []
    scene.handler.exchanges[2].answer(200, b"x: y\r\n", b"late")
    data = await read_to_end(stream)
    assert [part in data for part in (b"slow", b"fast", b"late")] == [True] * 3
    assert data.lower().count(b"connection: close") == 1
    assert data.endswith(b"\r\nconnection: close\r\n\r\nlate")


async def test_request_behind_the_last_answer_of_a_stop_is_not_begun(nursery):
    """Start no request that can no longer be answered on its connection."""
    scene = Scene(nursery)
    stream = await scene.connect()
    scene.server.draining = True
    begin = scene.handler.begin

    def refuse_at_once(message, exchange):
        begin(message, exchange)
        exchange.refuse(refuse(ErrorKind.OVERLOADED, "full"))

    scene.handler.begin = refuse_at_once
    await stream.send_all(get("/1") + get("/2"))
    data = await read_to_end(stream)
    assert data.count(b"HTTP/1.1 503") == 1
    assert len(scene.handler.messages) == 1
