"""Test connection reuse by the client and the encoding of heads."""

import pytest
import trio

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpRequest
from persimmonhall.http.writing import encode_answer_head, encode_request_head

TIMEOUT_S = 5.0
LIMIT = 1000
OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\nab"
CHUNKS = OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
REUSED = {
    "length": ("GET", WHOLE),
    "chunks": ("GET", CHUNKS),
    "no content": ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
    "head with a length": ("HEAD", OK + b"Content-Length: 9\r\n\r\n"),
    "after information": ("GET", b"HTTP/1.1 103 Early\r\n\r\n" + WHOLE),
}
NOT_REUSED = {
    "close": ("GET", OK + b"Connection: close\r\nContent-Length: 0\r\n\r\n"),
    "old version": ("GET", b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
    "surplus": ("GET", WHOLE + b"HTTP"),
    "surplus after chunks": ("GET", CHUNKS + b"HTTP"),
    "body of a head": ("HEAD", WHOLE),
    "chunks of a head": ("HEAD", CHUNKS),
    "body of no content": ("GET", b"HTTP/1.1 204 No Content\r\n\r\nab"),
}


async def _count_connections(method: str, answer: bytes) -> int:
    accepted = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal accepted
        accepted += 1
        while await stream.receive_some():
            await stream.send_all(answer)

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        client = PooledClient(1)
        with trio.fail_after(TIMEOUT_S):
            for _ in range(3):
                request = HttpRequest(method, "/", ())
                (await client.send(address, request, LIMIT)).unwrap()
        nursery.cancel_scope.cancel()
    return accepted


@pytest.mark.parametrize(("method", "answer"), REUSED.values(), ids=REUSED)
async def test_connection_read_to_the_end_is_used_again(method: str, answer: bytes):
    assert await _count_connections(method, answer) == 1


@pytest.mark.parametrize(("method", "answer"), NOT_REUSED.values(), ids=NOT_REUSED)
async def test_connection_that_may_hold_more_is_closed(method: str, answer: bytes):
    assert await _count_connections(method, answer) == 3


async def test_change_of_protocol_is_a_lost_connection():
    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(
            b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n"
        )
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        with trio.fail_after(TIMEOUT_S):
            request = HttpRequest("GET", "/", ())
            result = await PooledClient(1).send(address, request, LIMIT)
        nursery.cancel_scope.cancel()
    assert result.failure().kind is ErrorKind.CONNECTION_LOST


async def test_request_that_could_be_misread_is_refused_unsent():
    request = HttpRequest("GET", "/", ((b"a", b"b\r\nc: d"),))
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, trio.aclose_forcefully, [listener])
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        result = await PooledClient(1).send(address, request, LIMIT)
        nursery.cancel_scope.cancel()
    refusal = result.failure()
    assert (refusal.kind, refusal.ran) == (ErrorKind.BAD_REQUEST, Ran.NO)


@pytest.mark.parametrize(
    ("method", "target", "header"),
    [
        ("GET", "/a b", (b"a", b"b")),
        ("GET", "/\r\n", (b"a", b"b")),
        ("G T", "/", (b"a", b"b")),
        ("GET", "/", (b"a", b"b\r\nc: d")),
        ("GET", "/", (b"a", b"\x00")),
        ("GET", "/", (b"a: b\r\nc", b"d")),
        ("GET", "/", (b"", b"d")),
    ],
)
def test_head_that_could_be_misread_is_not_written(method, target, header):
    with pytest.raises(ValueError, match="illegal"):
        encode_request_head(method, target, [header])


def test_answer_that_could_be_misread_is_not_written():
    with pytest.raises(ValueError, match="illegal"):
        encode_answer_head(200, [(b"a", b"b\r\n\r\nc")])
