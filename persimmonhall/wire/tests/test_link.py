"""Test exchanges over one connection."""

from functools import partial

import pytest
import trio
import trio.testing
from returns.result import Success

from persimmonhall.address import Address
from persimmonhall.wire.answer_memory import AnswerMemory, AnswerReservation
from persimmonhall.wire.flow_control import WINDOW_BYTES
from persimmonhall.wire.frame_writer import CHUNK_BYTES, MAX_QUEUED_FRAMES
from persimmonhall.wire.frames import PREAMBLE, Channel, Frame, FrameKind, encode_frame
from persimmonhall.wire.link import LinkPool
from persimmonhall.wire.link_server import ReplyWithCallback, serve_links

ANY_PORT = Address("127.0.0.1", 0)
EXCHANGES = MAX_QUEUED_FRAMES * 20
TIMEOUT_S = 10.0


async def _open(nursery, handler):
    handlers = {Channel.CALL: handler}
    address = await nursery.start(serve_links, handlers, ANY_PORT)
    return address, LinkPool(nursery)


async def test_more_exchanges_than_the_queue_holds_all_get_their_own_reply():
    async def echo(payload: bytes) -> bytes:
        return payload

    replies = {}

    async with trio.open_nursery() as nursery:
        address, links = await _open(nursery, echo)

        async def send_request(number: int) -> None:
            payload = b"%d" % number * 1000
            replies[number] = await links.request(address, Channel.CALL, payload)

        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as asking:
                for number in range(EXCHANGES):
                    asking.start_soon(send_request, number)
        nursery.cancel_scope.cancel()
    assert replies == {n: Success(b"%d" % n * 1000) for n in range(EXCHANGES)}


async def test_long_message_does_not_delay_a_short_one():
    order = []
    arrived = trio.Event()

    async def reply(payload: bytes) -> bytes:
        arrived.set()
        return b"x" * int(payload)

    async with trio.open_nursery() as nursery:
        address, links = await _open(nursery, reply)

        async def send_request(size: int) -> None:
            reply = await links.request(address, Channel.CALL, b"%d" % size)
            assert len(reply.unwrap()) == size
            order.append(size)

        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as asking:
                asking.start_soon(send_request, 32_000_000)
                await arrived.wait()
                asking.start_soon(send_request, 10)
        nursery.cancel_scope.cancel()
    assert order == [10, 32_000_000]


async def test_large_reply_waits_for_memory_and_a_small_one_does_not():
    async def reply(payload: bytes) -> bytes:
        return b"x" * int(payload)

    memory = AnswerMemory(1)
    first, second = memory.open_reservation(), memory.open_reservation()
    await first.grow_to(1)
    replies = []

    async with trio.open_nursery() as nursery:
        address, links = await _open(nursery, reply)

        async def send_request(size: int, reservation: AnswerReservation) -> None:
            payload = b"%d" % size
            replies.append(
                await links.request(address, Channel.CALL, payload, reservation)
            )

        with trio.fail_after(TIMEOUT_S):
            nursery.start_soon(send_request, 1_000_000, second)
            while not memory.wait_count:
                await trio.sleep(0.01)
            await send_request(WINDOW_BYTES // 2, memory.open_reservation())
            assert [len(reply.unwrap()) for reply in replies] == [WINDOW_BYTES // 2]
            first.close()
            while len(replies) < 2:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert len(replies[1].unwrap()) == 1_000_000
    assert memory.used_bytes >= 1_000_000 - WINDOW_BYTES


@pytest.mark.parametrize("end", ["written", "cancelled", "connection lost"])
async def test_reply_callback_is_called_however_its_exchange_ends(end):
    arrived, closed = trio.Event(), trio.Event()

    async def reply(payload: bytes) -> ReplyWithCallback:
        arrived.set()
        return ReplyWithCallback(b"x" * 10_000_000, closed.set)

    async with trio.open_nursery() as nursery:
        address, links = await _open(nursery, reply)
        memory = AnswerMemory(1)
        await memory.open_reservation().grow_to(1)
        reservation = None if end == "written" else memory.open_reservation()
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as asking:
                asking.start_soon(
                    links.request, address, Channel.CALL, b"", reservation
                )
                await arrived.wait()
                if end == "cancelled":
                    asking.cancel_scope.cancel()
                if end == "connection lost":
                    links.reset(address)
                    asking.cancel_scope.cancel()
            await closed.wait()
        nursery.cancel_scope.cancel()


async def test_malformed_credit_ends_its_connection_only():
    async def echo(payload: bytes) -> bytes:
        return payload

    async with trio.open_nursery() as nursery:
        address, links = await _open(nursery, echo)
        stream = await trio.open_tcp_stream(address.host, address.port)
        credit = Frame(FrameKind.CREDIT, Channel.CALL, 1, b"123")
        await stream.send_all(PREAMBLE + encode_frame(credit))
        with trio.fail_after(TIMEOUT_S):
            assert await stream.receive_some() == b""
            assert await links.request(address, Channel.CALL, b"x") == Success(b"x")
        nursery.cancel_scope.cancel()


async def test_cancelled_exchange_is_cancelled_at_the_peer():
    arrived, cancelled = trio.Event(), trio.Event()

    async def wait_for_ever(payload: bytes) -> bytes:
        arrived.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()
        return b""

    async with trio.open_nursery() as nursery:
        address, links = await _open(nursery, wait_for_ever)
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as asking:
                asking.start_soon(links.request, address, Channel.CALL, b"")
                await arrived.wait()
                asking.cancel_scope.cancel()
            await cancelled.wait()
        nursery.cancel_scope.cancel()


async def test_exchange_cancelled_before_it_was_read_does_not_run():
    ran: list[bytes] = []
    last = trio.Event()

    async def run(payload: bytes) -> bytes:
        ran.append(payload)
        if payload == b"last":
            last.set()
        await trio.sleep_forever()

    frames = (
        Frame(FrameKind.REQUEST_END, Channel.CALL, 1, b"dead"),
        Frame(FrameKind.CANCEL, Channel.CALL, 1),
        Frame(FrameKind.REQUEST_END, Channel.CALL, 2, b"last"),
    )
    async with trio.open_nursery() as nursery:
        address, _ = await _open(nursery, run)
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(PREAMBLE + b"".join(map(encode_frame, frames)))
            with trio.fail_after(TIMEOUT_S):
                await last.wait()
        nursery.cancel_scope.cancel()
    assert ran == [b"last"]


async def test_replaced_connection_closes_after_its_exchanges():
    ended: list[int] = []
    accepted = 0

    async def hold(stream: trio.SocketStream) -> None:
        nonlocal accepted
        accepted += 1
        number = accepted
        while await stream.receive_some():
            pass
        ended.append(number)

    async def wait_until(condition) -> None:
        with trio.fail_after(TIMEOUT_S):
            while not condition():
                await trio.sleep(0.01)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=ANY_PORT.host)
        nursery.start_soon(trio.serve_listeners, hold, listeners)
        address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        links = LinkPool(nursery)
        async with trio.open_nursery() as asking:
            asking.start_soon(links.request, address, Channel.CALL, b"")
            await wait_until(lambda: accepted == 1)
            links.reconnect(address)
            nursery.start_soon(links.request, address, Channel.CALL, b"")
            await wait_until(lambda: accepted == 2)
            assert ended == []
            asking.cancel_scope.cancel()
        await wait_until(lambda: ended == [1])
        nursery.cancel_scope.cancel()


async def test_end_of_the_connection_ends_a_message_that_waits_for_room():
    arrived, end = trio.Event(), trio.Event()

    async def read_nothing(stream: trio.SocketStream) -> None:
        arrived.set()
        await end.wait()
        await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, host="127.0.0.1")
        listeners = await nursery.start(serve, read_nothing, 0)
        port = listeners[0].socket.getsockname()[1]
        links = LinkPool(nursery)
        replies = []

        async def send_request() -> None:
            payload = b"x" * CHUNK_BYTES * MAX_QUEUED_FRAMES * 10
            address = Address("127.0.0.1", port)
            replies.append(await links.request(address, Channel.CALL, payload))

        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as asking:
                asking.start_soon(send_request)
                asking.start_soon(send_request)
                await arrived.wait()
                await trio.testing.wait_all_tasks_blocked()
                end.set()
        nursery.cancel_scope.cancel()
    assert [reply.failure().is_sent for reply in replies] == [True, True]
