"""Test connection reuse by the client and the encoding of heads."""

import pytest
import trio

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.http.client import PooledClient
from persimmonhall.http.head_encoder import encode_answer_head, encode_request_head
from persimmonhall.http.messages import HttpRequest

TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1000
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
COMPLETE_ANSWER = OK_STATUS_LINE + b"Content-Length: 2\r\n\r\nab"
CHUNKED_ANSWER = (
    OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
)
REUSABLE = {
    "length": ("GET", COMPLETE_ANSWER),
    "chunks": ("GET", CHUNKED_ANSWER),
    "no content": ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
    "head with a length": ("HEAD", OK_STATUS_LINE + b"Content-Length: 9\r\n\r\n"),
    "after information": ("GET", b"HTTP/1.1 103 Early\r\n\r\n" + COMPLETE_ANSWER),
}
NOT_REUSABLE = {
    "close": (
        "GET",
        OK_STATUS_LINE + b"Connection: close\r\nContent-Length: 0\r\n\r\n",
    ),
    "old version": ("GET", b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
    "surplus": ("GET", COMPLETE_ANSWER + b"HTTP"),
    "surplus after chunks": ("GET", CHUNKED_ANSWER + b"HTTP"),
    "body of a head": ("HEAD", COMPLETE_ANSWER),
    "chunks of a head": ("HEAD", CHUNKED_ANSWER),
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
                (await client.send(address, request, MAX_ANSWER_BYTES)).unwrap()
        nursery.cancel_scope.cancel()
    return accepted


@pytest.mark.parametrize(("method", "answer"), REUSABLE.values(), ids=REUSABLE)
async def test_connection_with_a_complete_answer_is_reused(method: str, answer: bytes):
    assert await _count_connections(method, answer) == 1


@pytest.mark.parametrize(("method", "answer"), NOT_REUSABLE.values(), ids=NOT_REUSABLE)
async def test_connection_with_possible_surplus_data_is_closed(
    method: str, answer: bytes
):
    assert await _count_connections(method, answer) == 3


async def test_protocol_upgrade_is_a_lost_connection():
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
            result = await PooledClient(1).send(address, request, MAX_ANSWER_BYTES)
        nursery.cancel_scope.cancel()
    assert result.failure().kind is ErrorKind.CONNECTION_LOST


async def test_ambiguous_request_is_refused_unsent():
    request = HttpRequest("GET", "/", ((b"a", b"b\r\nc: d"),))
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, trio.aclose_forcefully, [listener])
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        result = await PooledClient(1).send(address, request, MAX_ANSWER_BYTES)
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
def test_ambiguous_request_head_is_not_encoded(method, target, header):
    with pytest.raises(ValueError, match="illegal"):
        encode_request_head(method, target, [header])


def test_ambiguous_answer_head_is_not_encoded():
    with pytest.raises(ValueError, match="illegal"):
        encode_answer_head(200, [(b"a", b"b\r\n\r\nc")])


async def test_late_copy_of_an_answer_never_reaches_the_next_caller():
    """Use a new connection for each request to a server that repeats an answer."""
    requests = 0

    def answer(number: int) -> bytes:
        return OK_STATUS_LINE + b"Content-Length: 1\r\n\r\n%d" % number

    async def serve(stream: trio.SocketStream) -> None:
        try:
            await answer_requests(stream)
        except trio.BrokenResourceError:
            # The client closes a connection with a copy unread.
            pass

    async def answer_requests(stream: trio.SocketStream) -> None:
        nonlocal requests
        previous = None
        while await stream.receive_some():
            requests += 1
            # The copy may come at any time: here after the next request has come.
            if previous is not None:
                await stream.send_all(answer(previous))
            previous = requests
            await stream.send_all(answer(previous))
            if requests == 1:
                await stream.send_all(answer(previous))

    bodies = []
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        address = Address(*listener.socket.getsockname()[:2])
        client = PooledClient(10)
        with trio.fail_after(TIMEOUT_S):
            for _ in range(4):
                request = HttpRequest("GET", "/", (), b"")
                result = await client.send(address, request, MAX_ANSWER_BYTES)
                bodies.append(result.unwrap().body)
                await trio.sleep(0.2)
        nursery.cancel_scope.cancel()
    assert bodies == [b"1", b"2", b"3", b"4"]


async def test_late_answer_to_a_request_given_up_is_no_surplus():
    """Go on reusing connections to a server that answers after the caller has left."""
    accepted = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal accepted
        accepted += 1
        while await stream.receive_some():
            if accepted == 1:
                await trio.sleep(0.05)
            await stream.send_all(COMPLETE_ANSWER)

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        address = Address(*listener.socket.getsockname()[:2])
        client = PooledClient(10)
        request = HttpRequest("GET", "/", (), b"")
        with trio.move_on_after(0.02):
            await client.send(address, request, MAX_ANSWER_BYTES)
        for _ in range(3):
            await client.send(address, request, MAX_ANSWER_BYTES)
        nursery.cancel_scope.cancel()
    assert accepted == 2
