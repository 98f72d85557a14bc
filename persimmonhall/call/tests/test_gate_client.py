"""Check lost, late, reordered and duplicated replies of a scripted peer."""

from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
import trio

from persimmonhall.call.gate import Gate
from persimmonhall.call.gate_client import NO_LOAD, GateClient
from persimmonhall.call.messages import REPLIES, Answered, decode_call
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.ids import NodeName
from persimmonhall.wire.frames import Frame, FrameKind, FrameReader, encode_frame
from persimmonhall.wire.link import LinkPool
from tests.builders import make_call, make_member

TIMEOUT_S = 5.0


def _reply(frame: Frame, body: bytes, kind=FrameKind.REPLY_END) -> bytes:
    payload = REPLIES.encode(Answered(200, (), body, NO_LOAD))
    return encode_frame(replace(frame, kind=kind, payload=payload))


class _Peer:
    """Receive the calls of one connection and send replies."""

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream
        self._reader = FrameReader(stream)

    async def start(self) -> None:
        await self._reader.read_preamble()

    async def next(self) -> Frame:
        frame = await self._reader.read()
        assert frame is not None
        return frame

    async def write(self, data: bytes) -> None:
        await self._stream.send_all(data)

    async def close(self) -> None:
        await self._stream.aclose()


@asynccontextmanager
async def _open_peer(script):
    """Serve one script to each connection; yield a gate client and the peer."""

    async def serve(stream):
        peer = _Peer(stream)
        await peer.start()
        await script(peer)

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        port = listener.socket.getsockname()[1]
        gate_client = GateClient(NodeName("own"), Gate(), LinkPool(nursery))
        with trio.fail_after(TIMEOUT_S):
            yield gate_client, make_member(1, frames=f"127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


async def _hang_up(peer):
    await peer.next()
    await peer.close()


async def _cut_frame(peer):
    frame = await peer.next()
    await peer.write(_reply(frame, b"whole")[:-3])
    await peer.close()


async def _half_message(peer):
    frame = await peer.next()
    await peer.write(_reply(frame, b"first half", FrameKind.REPLY))
    await peer.close()


async def _garbage(peer):
    frame = await peer.next()
    kind = FrameKind.REPLY_END
    await peer.write(encode_frame(replace(frame, kind=kind, payload=b"\xff" * 64)))
    await trio.sleep_forever()


async def _no_frame(peer):
    await peer.next()
    await peer.write(b"HTTP/1.1 200 OK\r\n\r\nnot a frame at all")
    await trio.sleep_forever()


async def _silent(peer):
    await trio.sleep_forever()


LOST = (ErrorKind.CONNECTION_LOST, Ran.UNKNOWN)
PEER_FAULTS = {
    "hangs up": (_hang_up, LOST),
    "cuts a frame": (_cut_frame, LOST),
    "ends after half a message": (_half_message, LOST),
    "replies garbage": (_garbage, LOST),
    "replies no frame": (_no_frame, LOST),
    "is silent": (_silent, (ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)),
}


@pytest.mark.parametrize("name", PEER_FAULTS)
async def test_lost_reply_is_never_an_answer(name):
    script, expected = PEER_FAULTS[name]
    async with _open_peer(script) as (gate_client, member):
        reply = await gate_client.call(member, make_call(remaining_ms=200))
        assert (reply.kind, reply.ran) == expected


@pytest.mark.parametrize("frames", ["127.0.0.1:1", "nonsense"])
async def test_call_that_reached_no_gate_did_not_run(frames, nursery):
    gate_client = GateClient(NodeName("own"), Gate(), LinkPool(nursery))
    reply = await gate_client.call(make_member(1, frames=frames), make_call())
    assert (reply.kind, reply.ran) == (ErrorKind.CONNECT_FAILED, Ran.NO)


async def test_duplicated_replies_out_of_order_reach_their_own_calls():
    count = 5

    async def script(peer):
        frames = [await peer.next() for _ in range(count)]
        data = b""
        for frame in reversed(frames):
            reply = _reply(frame, decode_call(frame.payload).target.encode())
            data += reply + reply
        await peer.write(data)
        await trio.sleep_forever()

    bodies = {}
    async with _open_peer(script) as (gate_client, member):

        async def call_gate(number):
            target = f"/{number}"
            reply = await gate_client.call(member, make_call(target=target))
            bodies[target] = reply.body

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(call_gate, number)
    assert bodies == {f"/{n}": f"/{n}".encode() for n in range(count)}


async def test_late_reply_is_not_matched_to_the_next_call():
    async def script(peer):
        first = await peer.next()
        while (frame := await peer.next()).kind is not FrameKind.REQUEST_END:
            pass
        await peer.write(_reply(first, b"late") + _reply(frame, b"own"))
        await trio.sleep_forever()

    async with _open_peer(script) as (gate_client, member):
        late = await gate_client.call(member, make_call(remaining_ms=50))
        reply = await gate_client.call(member, make_call())
    assert late.kind is ErrorKind.DEADLINE_EXCEEDED
    assert reply.body == b"own"
