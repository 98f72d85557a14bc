"""Check the HTTP/1.1 server."""

import os
import socket
from functools import partial

import trio
import trio.testing

from persimmonhall.address import Address
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.http.server import serve_http

ANY_PORT = Address("127.0.0.1", 0)
MANY_FILES = 1100
LIMIT = 1000


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
        await idle.send(address, HttpRequest("GET", "/", ()), LIMIT)

        async def call_slowly():
            request = HttpRequest("GET", "/slow", ())
            answers.append(await busy.send(address, request, LIMIT))

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
        # Its answer shows that the connection before it was accepted too.
        later = PooledClient(1)
        await later.send(address, HttpRequest("GET", "/", ()), LIMIT)
        stop.set()
        await trio.testing.wait_all_tasks_blocked()
        await fresh.send_all(b"GET / HTTP/1.1\r\nhost: cue\r\n\r\n")
        with trio.fail_after(5):
            answer = await fresh.receive_some()
    assert answer.startswith(b"HTTP/1.1 200")


async def test_fault_of_one_request_leaves_the_server_running():
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
            (await client.send(address, HttpRequest("GET", target, ()), LIMIT)).unwrap()
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
        # Without a turn of the loop the server stands still, as after a SIGSTOP.
        with socket.create_connection((address.host, address.port)) as caller:
            caller.sendall(b"GET /dead HTTP/1.1\r\nhost: cue\r\n\r\n")
        request = HttpRequest("GET", "/last", ())
        await PooledClient(1).send(address, request, LIMIT)
        nursery.cancel_scope.cancel()
    assert ran == ["/last"]


async def test_client_works_with_more_open_files_than_select_takes():
    async def handler(request: HttpRequest) -> HttpAnswer:
        return HttpAnswer(200, ())

    async with trio.open_nursery() as nursery:
        serve = partial(serve_http, write_refusal=None)
        address = await nursery.start(serve, handler, ANY_PORT, trio.Event())
        files = [os.open(os.devnull, os.O_RDONLY) for _ in range(MANY_FILES)]
        try:
            answer = await PooledClient(1).send(
                address, HttpRequest("GET", "/", ()), LIMIT
            )
        finally:
            for file in files:
                os.close(file)
        nursery.cancel_scope.cancel()
    assert answer.unwrap().status == 200
