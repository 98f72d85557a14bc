"""Test the HTTP/1.1 server."""

import os
import socket
from functools import partial

import pytest
import trio
import trio.testing

from persimmonhall.address import Address
from persimmonhall.errors import ERROR_ANSWERS
from persimmonhall.http import server_connection
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.http.server import serve_http
from persimmonhall.http.server_connection import ServerLimits
from persimmonhall.wire.answer_memory import AnswerMemory

ANY_PORT = Address("127.0.0.1", 0)
OPEN_FILE_COUNT = 1100
LIMIT_BYTES = 1000
LARGE_BODY_BYTES = 32 * 1024 * 1024


async def test_stop_closes_idle_connections_and_finishes_requests_in_flight():
    stop, arrived, release = trio.Event(), trio.Event(), trio.Event()

    async def handler(request: HttpRequest) -> HttpAnswer:
        if request.target == "/slow":
            arrived.set()
            await release.wait()
        return HttpAnswer(200, (), b"whole")

    async def serve(task_status):
        await serve_http(
            handler, ANY_PORT, stop, write_refusal=None, task_status=task_status
        )
        ended.set()

    ended = trio.Event()
    answers = []
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve)
        idle, busy = PooledClient(1), PooledClient(1)
        await idle.send(address, HttpRequest("GET", "/", ()), LIMIT_BYTES)

        async def call_slowly():
            request = HttpRequest("GET", "/slow", ())
            answers.append(await busy.send(address, request, LIMIT_BYTES))

        nursery.start_soon(call_slowly)
        await arrived.wait()
        stop.set()
        release.set()
        with trio.fail_after(5):
            await ended.wait()
    assert answers[0].unwrap().body == b"whole"


async def test_connection_opened_before_the_stop_gets_its_first_answer():
    async def handler(request: HttpRequest) -> HttpAnswer:
        return HttpAnswer(200, (), b"whole")

    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            partial(serve_http, write_refusal=None), handler, ANY_PORT, stop
        )
        fresh = await trio.open_tcp_stream(address.host, address.port)
        # Its answer shows that the earlier connection was accepted too.
        later = PooledClient(1)
        await later.send(address, HttpRequest("GET", "/", ()), LIMIT_BYTES)
        stop.set()
        await trio.testing.wait_all_tasks_blocked()
        await fresh.send_all(b"GET / HTTP/1.1\r\nhost: cue\r\n\r\n")
        with trio.fail_after(5):
            answer = await fresh.receive_some()
    assert answer.startswith(b"HTTP/1.1 200")


async def test_answer_releases_its_memory_once_written_or_lost(nursery):
    memory = AnswerMemory(LIMIT_BYTES)

    async def handler(request: HttpRequest) -> HttpAnswer:
        reservation = memory.open_reservation()
        await reservation.grow_to(LARGE_BODY_BYTES)
        return HttpAnswer(200, (), b"a" * LARGE_BODY_BYTES, reservation)

    serve = partial(serve_http, write_refusal=None)
    address = await nursery.start(serve, handler, ANY_PORT, trio.Event())
    reader = PooledClient(1)
    answer = await reader.send(address, HttpRequest("GET", "/", ()), LARGE_BODY_BYTES)
    assert len(answer.unwrap().body) == LARGE_BODY_BYTES
    lost = await trio.open_tcp_stream(address.host, address.port)
    with trio.fail_after(5):
        await lost.send_all(b"GET / HTTP/1.1\r\nhost: cue\r\n\r\n")
        await lost.receive_some(1)
        assert memory.used_bytes == LARGE_BODY_BYTES
        await lost.aclose()
        await memory.wait_idle()
    assert memory.used_bytes == 0


async def test_answer_to_a_stalled_caller_is_released(nursery, monkeypatch):
    monkeypatch.setattr(server_connection, "WRITE_TIMEOUT_S", 0.01)
    memory = AnswerMemory(LIMIT_BYTES)

    async def handler(request: HttpRequest) -> HttpAnswer:
        return HttpAnswer(200, (), b"a" * LARGE_BODY_BYTES, memory.open_reservation())

    serve = partial(serve_http, write_refusal=None)
    address = await nursery.start(serve, handler, ANY_PORT, trio.Event())
    caller = await trio.open_tcp_stream(address.host, address.port)
    await caller.send_all(b"GET / HTTP/1.1\r\nhost: cue\r\n\r\n")
    await caller.receive_some(1)
    with trio.fail_after(5):
        await memory.wait_idle()


async def test_handler_error_leaves_the_server_running():
    async def handler(request: HttpRequest) -> HttpAnswer:
        if request.target == "/fault":
            raise KeyError(request.target)
        return HttpAnswer(200, (), b"whole")

    def write_refusal(refusal):
        return HttpAnswer(500, (), refusal.kind.value.encode())

    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            partial(serve_http, write_refusal=write_refusal),
            handler,
            ANY_PORT,
            trio.Event(),
        )
        client = PooledClient(1)
        answers = [
            (
                await client.send(address, HttpRequest("GET", target, ()), LIMIT_BYTES)
            ).unwrap()
            for target in ("/fault", "/whole")
        ]
        nursery.cancel_scope.cancel()
    assert [(a.status, a.body) for a in answers] == [
        (500, b"internal"),
        (200, b"whole"),
    ]


async def test_request_whose_caller_hung_up_before_it_was_read_does_not_run():
    ran: list[str] = []

    async def handler(request: HttpRequest) -> HttpAnswer:
        ran.append(request.target)
        return HttpAnswer(200, ())

    async with trio.open_nursery() as nursery:
        serve = partial(serve_http, write_refusal=None)
        address = await nursery.start(serve, handler, ANY_PORT, trio.Event())
        # Without a checkpoint the server does not run, as in a process pause (SIGSTOP).
        with socket.create_connection((address.host, address.port)) as caller:
            caller.sendall(b"GET /dead HTTP/1.1\r\nhost: cue\r\n\r\n")
        request = HttpRequest("GET", "/last", ())
        await PooledClient(1).send(address, request, LIMIT_BYTES)
        nursery.cancel_scope.cancel()
    assert ran == ["/last"]


HOST = b"host: cue\r\n"
EXCHANGES = {
    "two in one": (
        (b"GET /1 HTTP/1.1\r\n" + HOST + b"\r\n") * 2,
        [b"HTTP/1.1 200 \r\n", b"HTTP/1.1 200 \r\n"],
    ),
    "close": (
        b"GET / HTTP/1.1\r\nconnection: close\r\n" + HOST + b"\r\n",
        [b"HTTP/1.1 200 \r\n", b"connection: close\r\n"],
    ),
    "old version": (
        b"GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
        [b"HTTP/1.1 200 \r\n", b"connection: close\r\n"],
    ),
    "change of protocol": (
        b"GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n" + HOST + b"\r\n",
        [b"HTTP/1.1 200 \r\n", b"connection: close\r\n"],
    ),
    "continue": (
        b"POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 3\r\n"
        + HOST
        + b"\r\n",
        [b"HTTP/1.1 100 \r\n", b"HTTP/1.1 400 \r\n"],
    ),
    "head": (
        b"HEAD / HTTP/1.1\r\n" + HOST + b"\r\n",
        [b"HTTP/1.1 200 \r\n", b"content-length: 5\r\n\r\n"],
    ),
    "long head": (
        b"GET / HTTP/1.1\r\na: " + b"a" * LIMIT_BYTES + b"\r\n" + HOST + b"\r\n",
        [b"HTTP/1.1 431 \r\n"],
    ),
    "long body": (
        b"POST / HTTP/1.1\r\ncontent-length: 1001\r\n" + HOST + b"\r\n" + b"a" * 1001,
        [b"HTTP/1.1 413 \r\n"],
    ),
}


INCOMPLETE_REQUESTS = {
    "half a head": (b"GET / HTTP/1.1\r\n" + HOST, [b"HTTP/1.1 400 \r\n"]),
    "half a body": (
        b"POST / HTTP/1.1\r\ncontent-length: 9\r\n" + HOST + b"\r\nabc",
        [b"HTTP/1.1 400 \r\n"],
    ),
}


@pytest.mark.parametrize(("sent", "expected"), EXCHANGES.values(), ids=EXCHANGES)
async def test_exchange_gets_the_expected_answers(sent: bytes, expected: list[bytes]):
    _check(await _exchange(sent, ends_at_once=False), expected)


@pytest.mark.parametrize(
    ("sent", "expected"), INCOMPLETE_REQUESTS.values(), ids=INCOMPLETE_REQUESTS
)
async def test_incomplete_request_is_refused(sent: bytes, expected: list[bytes]):
    _check(await _exchange(sent, ends_at_once=True), expected)


async def _exchange(sent: bytes, *, ends_at_once: bool) -> bytes:
    async def handler(request: HttpRequest) -> HttpAnswer:
        return HttpAnswer(200, (), b"whole")

    limits = ServerLimits(max_header_bytes=LIMIT_BYTES, max_body_bytes=LIMIT_BYTES)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            partial(
                serve_http,
                write_refusal=lambda r: HttpAnswer(ERROR_ANSWERS[r.kind].status, ()),
                limits=limits,
            ),
            handler,
            ANY_PORT,
            trio.Event(),
        )
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(sent)
        received = b""
        with trio.fail_after(5):
            if not ends_at_once:
                received = await stream.receive_some()
            await stream.send_eof()
            async for part in stream:
                received += part
        nursery.cancel_scope.cancel()
    return received


def _check(received: bytes, expected: list[bytes]) -> None:
    position = 0
    for part in expected:
        position = received.index(part, position) + len(part)
    assert received.count(b"HTTP/1.1 ") == sum(b"HTTP/1.1 " in e for e in expected)


async def test_client_works_with_more_open_files_than_select_supports():
    async def handler(request: HttpRequest) -> HttpAnswer:
        return HttpAnswer(200, ())

    async with trio.open_nursery() as nursery:
        serve = partial(serve_http, write_refusal=None)
        address = await nursery.start(serve, handler, ANY_PORT, trio.Event())
        files = [os.open(os.devnull, os.O_RDONLY) for _ in range(OPEN_FILE_COUNT)]
        try:
            answer = await PooledClient(1).send(
                address, HttpRequest("GET", "/", ()), LIMIT_BYTES
            )
        finally:
            for file in files:
                os.close(file)
        nursery.cancel_scope.cancel()
    assert answer.unwrap().status == 200
