"""Test the backend connection pool."""

import pytest
import trio

from persimmonhall.address import Address
from persimmonhall.http.backends import (
    BackendAnswer,
    BackendFailure,
    BackendPool,
    BackendRequest,
    SendFault,
)
from persimmonhall.timers import Timers
from persimmonhall.wire.readiness import Readiness

ID = b"x-id"


def answer(attempt, body=b"whole", *, length=None, extra=b""):
    """Encode an answer that echoes the attempt id."""
    size = len(body) if length is None else length
    head = b"HTTP/1.1 200 OK\r\nx-id: %s\r\n%scontent-length: %d\r\n\r\n"
    return head % (attempt, extra, size) + body


class Server:
    """Send scripted bytes for each request; None closes, "reset" resets."""

    def __init__(self, *script):
        self.script = list(script)
        self.connections = 0
        self.requests = 0

    async def serve(self, stream):
        """Serve one connection."""
        self.connections += 1
        while await stream.receive_some(65536):
            self.requests += 1
            for step in self.script.pop(0):
                if step is None:
                    await stream.aclose()
                    return
                if step == "reset":
                    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                    stream.setsockopt(
                        trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger
                    )
                    stream.socket.close()
                    return
                await stream.send_all(step)


class Scene:
    """Send requests to a scripted server and collect the results."""

    def __init__(self, nursery, server):
        self.nursery = nursery
        self.server = server
        self.pool = None
        self.results = []

    async def start(self):
        """Start the server."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.nursery.start_soon(trio.serve_listeners, self.server.serve, [listener])
        address = Address(*listener.socket.getsockname()[:2])
        readiness, timers = Readiness(), Timers()
        self.nursery.start_soon(readiness.run)
        self.nursery.start_soon(timers.run)
        self.pool = BackendPool(address, readiness, timers, ID, 10)

    async def ask(self, attempt=b"a1", *, may_repeat=True):
        """Send one request and return its result."""
        count = len(self.results)
        data = b"GET / HTTP/1.1\r\nhost: a\r\nx-id: %s\r\n\r\n" % attempt
        self.pool.send(
            BackendRequest(
                data, attempt, self.results.append, is_head=False, may_repeat=may_repeat
            )
        )
        with trio.fail_after(2):
            while len(self.results) == count:
                await trio.sleep(0.005)
        return self.results[-1]


async def start(nursery, *script):
    """Start a fixture; the script has a list of steps for each request."""
    scene = Scene(nursery, Server(*script))
    await scene.start()
    return scene


async def test_connection_is_kept_for_the_next_request(nursery):
    """Send a second request on the same connection."""
    scene = await start(nursery, [answer(b"a1")], [answer(b"a2", b"two")])
    assert (await scene.ask()).body == b"whole"
    assert (await scene.ask(b"a2")).body == b"two"
    assert scene.server.connections == 1


async def test_late_answer_to_an_earlier_request_is_passed_over(nursery):
    """Match answers to requests by attempt id."""
    late = answer(b"old", b"not yours")
    scene = await start(nursery, [late + answer(b"a1", b"mine")])
    assert (await scene.ask()).body == b"mine"


async def test_extra_answer_spoils_the_connection(nursery):
    """Don't reuse a connection after data that belongs to no request."""
    extra = answer(b"a1") + answer(b"a1", b"again")
    scene = await start(nursery, [extra], [answer(b"a2", b"two")])
    await scene.ask()
    assert (await scene.ask(b"a2")).body == b"two"
    assert scene.server.connections == 2


@pytest.mark.parametrize(
    ("steps", "fault"),
    [
        ([answer(b"a1", b"half", length=9), None], SendFault.CUT),
        ([b"HTTP/1.1 200", None], SendFault.LOST),
        ([None], SendFault.LOST),
        (["reset"], SendFault.LOST),
        ([b"garbage that is no answer\r\n\r\n"], SendFault.UNREADABLE),
        ([answer(b"other"), None], SendFault.LOST),
        ([b"HTTP/1.1 200 OK\r\nx-id: a1\r\n\r\nhalf", "reset"], SendFault.CUT),
    ],
)
async def test_broken_answer_is_a_failure_that_may_have_run(nursery, steps, fault):
    """Deliver no part of an incomplete answer."""
    scene = await start(nursery, steps)
    result = await scene.ask()
    assert isinstance(result, BackendFailure)
    assert (result.fault, result.was_sent) == (fault, True)


async def test_answer_without_length_ends_with_its_connection(nursery):
    """Deliver an answer without length that ends with an orderly close."""
    steps = [b"HTTP/1.1 200 OK\r\nx-id: a1\r\n\r\nall of it", None]
    scene = await start(nursery, steps)
    result = await scene.ask()
    assert isinstance(result, BackendAnswer)
    assert result.body == b"all of it"


async def test_server_that_closes_gets_no_second_request_there(nursery):
    """Open a new connection after an answer with "connection: close"."""
    closing = answer(b"a1", extra=b"connection: close\r\n")
    scene = await start(nursery, [closing], [answer(b"a2")])
    await scene.ask()
    await scene.ask(b"a2")
    assert scene.server.connections == 2


async def test_connection_is_not_used_up_to_the_servers_timeout(nursery):
    """Stop using a connection before the timeout of its Keep-Alive header."""
    short = answer(b"a1", extra=b"keep-alive: timeout=0\r\n")
    scene = await start(nursery, [short], [answer(b"a2")])
    await scene.ask()
    await scene.ask(b"a2")
    assert scene.server.connections == 2


async def test_closed_port_is_proof_of_no_run(nursery):
    """Distinguish a refused connection from a lost one."""
    scene = await start(nursery)
    scene.pool.address = Address("127.0.0.1", 1)
    result = await scene.ask()
    assert (result.fault, result.was_sent) == (SendFault.NOT_LISTENING, False)


async def test_aborted_request_closes_its_connection(nursery):
    """Close the connection of an aborted request and run no callback."""
    scene = await start(nursery, [])
    request = BackendRequest(
        b"GET / HTTP/1.1\r\n\r\n",
        b"a1",
        scene.results.append,
        is_head=False,
        may_repeat=True,
    )
    scene.pool.send(request)
    with trio.fail_after(2):
        while not scene.server.requests:
            await trio.sleep(0.005)
    scene.pool.abort(request)
    await trio.sleep(0.05)
    assert scene.results == []
