"""Check a gate against truncated, stalled and malformed backend answers."""

import re
from contextlib import asynccontextmanager

import pytest
import trio

from persimmonhall.address import Address
from persimmonhall.call.backend import Backend
from persimmonhall.call.gate import Gate
from persimmonhall.call.messages import Answered
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.ids import ServiceName
from persimmonhall.wire.answer_memory import AnswerMemory
from tests.builders import make_call

TIMEOUT_S = 5.0
REMAINING_MS = 300
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

TRUNCATED_ANSWERS = {
    "nothing": b"",
    "half a status line": b"HTTP/1.1 2",
    "half a head": OK + b"Content-Le",
    "no body": OK + b"Content-Length: 5\r\n\r\n",
    "half a body": OK + b"Content-Length: 5\r\n\r\nab",
    "half a chunk": CHUNKED + b"5\r\nab",
    "no last chunk": CHUNKED + b"5\r\nabcde\r\n",
    "no length": OK + b"Connection: close\r\n\r\nhalf of it",
    "an old protocol without length": b"HTTP/1.0 200 OK\r\n\r\nhalf of it",
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 4\r\n\r\nabcde",
    "a bad length": OK + b"Content-Length: -1\r\n\r\nabcde",
    "a bad chunk size": CHUNKED + b"zz\r\nabcde\r\n0\r\n\r\n",
    "garbage": b"\x00\x01\x02\r\n\r\n",
    "only an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n",
}
STALLED_ANSWERS = [
    "nothing",
    "half a head",
    "half a body",
    "half a chunk",
    "no last chunk",
]


@asynccontextmanager
async def _open_gate(script):
    """Serve a script to each connection; yield the gate in front of it."""
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, script, [listener])
        port = listener.socket.getsockname()[1]
        with trio.fail_after(TIMEOUT_S):
            yield _make_gate(port)
        nursery.cancel_scope.cancel()


def _make_gate(port: int) -> Gate:
    gate = Gate()
    address = Address("127.0.0.1", port)
    gate.set_backend(Backend(ServiceName("cue"), address, slots=2, connections=4))
    return gate


@pytest.mark.parametrize("name", TRUNCATED_ANSWERS)
async def test_truncated_answer_is_never_passed_on(name):
    async def script(stream):
        await stream.receive_some()
        await stream.send_all(TRUNCATED_ANSWERS[name])
        await stream.aclose()

    async with _open_gate(script) as gate:
        reply = await gate.run(make_call(remaining_ms=REMAINING_MS))
    assert not isinstance(reply, Answered)
    assert reply.ran is not Ran.NO


@pytest.mark.parametrize("name", STALLED_ANSWERS)
async def test_stalled_answer_ends_at_the_deadline(name):
    async def script(stream):
        await stream.receive_some()
        await stream.send_all(TRUNCATED_ANSWERS[name])
        await trio.sleep_forever()

    async with _open_gate(script) as gate:
        reply = await gate.run(make_call(remaining_ms=REMAINING_MS))
    assert (reply.kind, reply.ran) == (ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)


async def test_run_stopped_at_its_deadline_is_marked_cancelled():
    heads = []

    async def script(stream):
        heads.append(await stream.receive_some())
        await trio.sleep_forever()

    async with _open_gate(script) as gate:
        await gate.run(make_call(remaining_ms=REMAINING_MS))
    [execution] = re.findall(rb"execution=([0-9a-f]+)", heads[0])
    assert gate.executions.remaining_ms(execution.decode(), trio.current_time()) == 0


@pytest.mark.parametrize("received", [0, 1, 100_000])
async def test_connection_lost_during_the_request_may_have_run(received):
    async def script(stream):
        size = 0
        while size < received:
            size += len(await stream.receive_some(received - size))
        await trio.aclose_forcefully(stream)

    async with _open_gate(script) as gate:
        call = make_call(method="POST", body=b"x" * 4_000_000)
        reply = await gate.run(call)
    assert (reply.kind, reply.ran) == (ErrorKind.CONNECTION_LOST, Ran.UNKNOWN)


async def test_backend_that_accepts_no_connection_did_not_run():
    [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    reply = await _make_gate(port).run(make_call())
    assert (reply.kind, reply.ran) == (ErrorKind.CONNECT_FAILED, Ran.NO)


async def test_body_longer_than_its_length_does_not_reach_the_next_answer():
    async def script(stream):
        while await stream.receive_some():
            head = b"Content-Length: 2\r\n\r\n"
            await stream.send_all(OK + head + b"ok" + OK + head + b"no")

    async with _open_gate(script) as gate:
        for _ in range(3):
            reply = await gate.run(make_call(remaining_ms=REMAINING_MS))
            assert not isinstance(reply, Answered) or reply.body == b"ok"


async def test_answer_waits_until_the_gate_has_memory_for_it():
    async def script(stream):
        await stream.receive_some()
        await stream.send_all(OK + b"Content-Length: 1000\r\n\r\n" + b"a" * 1000)

    memory = AnswerMemory(1000)
    first = memory.open_reservation()
    await first.grow_to(1)
    replies = []
    async with _open_gate(script) as gate, trio.open_nursery() as nursery:

        async def run() -> None:
            replies.append(await gate.run(make_call(), memory.open_reservation()))

        nursery.start_soon(run)
        with trio.fail_after(TIMEOUT_S):
            while not memory.wait_count:
                await trio.sleep(0.001)
        assert replies == []
        first.close()
    assert isinstance(replies[0], Answered)
    assert memory.used_bytes == 1000


async def test_answer_over_its_limit_is_refused_whole():
    async def script(stream):
        await stream.receive_some()
        await stream.send_all(OK + b"Content-Length: 1001\r\n\r\n" + b"a" * 1001)

    async with _open_gate(script) as gate:
        reply = await gate.run(make_call(max_answer_bytes=1000))
    assert (reply.kind, reply.ran) == (ErrorKind.ANSWER_TOO_LARGE, Ran.YES)
