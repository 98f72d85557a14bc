"""Serve exchanges on incoming connections."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import trio
from absl import logging

from persimmonhall.address import Address
from persimmonhall.wire.call_frames import PREAMBLE as CALL_PREAMBLE
from persimmonhall.wire.call_server import CallServer
from persimmonhall.wire.direct_stream import DirectStream
from persimmonhall.wire.flow_control import SendCredit
from persimmonhall.wire.frame_writer import FrameWriter
from persimmonhall.wire.frames import (
    CONNECTION_ERRORS,
    CREDIT_PAYLOAD,
    Channel,
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
)

MAX_MESSAGE_BYTES = 96 * 1024 * 1024
PREAMBLE_POLL_INTERVAL_S = 0.01


@dataclass(frozen=True)
class ReplyWithCallback:
    """Carry a reply and a callback for when it was sent or could not be sent."""

    payload: bytes
    on_finished: Callable[[], None]


LinkHandler = Callable[[bytes], Awaitable[bytes | ReplyWithCallback]]
HandlersByChannel = Mapping[Channel, LinkHandler]


class _LinkServer:
    """Serve the exchanges of one incoming connection."""

    def __init__(self, stream: DirectStream, handlers: HandlersByChannel):
        self._stream = stream
        self._handlers = handlers
        self._writer = FrameWriter(stream)
        self._request_parts: dict[int, list[bytes]] = {}
        self._cancel_scopes: dict[int, trio.CancelScope] = {}
        self._credits: dict[int, SendCredit] = {}

    async def run(self) -> None:
        """Serve exchanges until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._writer.run)
                await self._read_frames(nursery)
                nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS as group:
            logging.warning("frame connection closed: %s", group.exceptions[0])
        finally:
            await self._stream.aclose()

    async def _read_frames(self, nursery: trio.Nursery) -> None:
        reader = FrameReader(self._stream)
        await reader.read_preamble()
        while (frame := await reader.read()) is not None:
            if frame.kind is FrameKind.CANCEL:
                self._cancel(frame.exchange)
            elif frame.kind is FrameKind.CREDIT:
                self._add_credit(frame)
            elif frame.kind is FrameKind.REQUEST:
                self._add_part(frame)
            elif frame.kind is FrameKind.REQUEST_END:
                self._add_part(frame)
                payload = b"".join(self._request_parts.pop(frame.exchange))
                if frame.exchange in self._cancel_scopes:
                    raise FrameError(f"exchange {frame.exchange} is still open")
                scope = self._cancel_scopes[frame.exchange] = trio.CancelScope()
                nursery.start_soon(self._serve_exchange, frame, payload, scope)

    def _add_part(self, frame: Frame) -> None:
        parts = self._request_parts.setdefault(frame.exchange, [])
        parts.append(frame.payload)
        if sum(map(len, parts)) > MAX_MESSAGE_BYTES:
            raise FrameError(f"message exceeds {MAX_MESSAGE_BYTES} bytes")

    def _cancel(self, exchange: int) -> None:
        self._request_parts.pop(exchange, None)
        scope = self._cancel_scopes.get(exchange)
        if scope is not None:
            scope.cancel()

    def _add_credit(self, frame: Frame) -> None:
        if len(frame.payload) != CREDIT_PAYLOAD.size:
            raise FrameError(
                f"credit frame has an invalid size of {len(frame.payload)} bytes"
            )
        credit = self._credits.get(frame.exchange)
        if credit is not None:
            credit.add(*CREDIT_PAYLOAD.unpack(frame.payload))

    async def _serve_exchange(
        self, frame: Frame, payload: bytes, scope: trio.CancelScope
    ) -> None:
        handler = self._handlers.get(frame.channel)
        if handler is None:
            raise FrameError(f"no handler for channel {frame.channel.name}")
        self._credits[frame.exchange] = SendCredit()
        with scope:
            try:
                # The cancel frame may have been received together with the request.
                if scope.cancel_called:
                    return
                await self._send_reply(frame, await handler(payload))
            except Exception as error:
                # An error in one exchange must not end the process.
                if not isinstance(error, ValueError):
                    logging.exception("exchange failed channel=%s", frame.channel.name)
                raise FrameError(str(error)) from error
            finally:
                del self._cancel_scopes[frame.exchange]
                del self._credits[frame.exchange]

    async def _send_reply(self, frame: Frame, reply: bytes | ReplyWithCallback) -> None:
        if isinstance(reply, ReplyWithCallback):
            try:
                await self._write(frame, reply.payload)
            finally:
                reply.on_finished()
        else:
            await self._write(frame, reply)

    async def _write(self, frame: Frame, payload: bytes) -> None:
        await self._writer.write(
            FrameKind.REPLY,
            FrameKind.REPLY_END,
            frame.channel,
            frame.exchange,
            payload,
            self._credits[frame.exchange],
        )


async def _is_call_connection(stream: trio.SocketStream) -> bool:
    """Return whether a connection starts with the call preamble; consume only that."""
    size = len(CALL_PREAMBLE)
    while True:
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            peeked = await stream.socket.recv(size, trio.socket.MSG_PEEK)
        except OSError:
            # The link server gets the same error and logs it.
            return False
        if peeked == CALL_PREAMBLE:
            await stream.socket.recv(size)
            return True
        if not peeked or not CALL_PREAMBLE.startswith(peeked):
            return False
        await trio.sleep(PREAMBLE_POLL_INTERVAL_S)


async def serve_links(
    handlers: HandlersByChannel,
    address: Address,
    call_server: CallServer | None = None,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve connections on an address; those with calls go to the call server."""

    async def serve(stream: trio.SocketStream) -> None:
        try:
            if call_server is not None and await _is_call_connection(stream):
                # Duplicated because trio closes this socket when its task ends.
                call_server.serve_connection(stream.socket.dup())
            else:
                await _LinkServer(DirectStream(stream), handlers).run()
        except Exception:
            # An error in one connection must not end the process.
            logging.exception("unexpected error on a frame connection")

    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    host, port = listeners[0].socket.getsockname()[:2]
    task_status.started(Address(host, port))
    await trio.serve_listeners(serve, listeners)
