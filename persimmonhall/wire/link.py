"""Run many exchanges at once over one TCP connection a pair of processes."""

import itertools
from collections import deque
from collections.abc import Awaitable, Callable, Mapping

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.wire.direct_stream import DirectStream
from persimmonhall.wire.frames import (
    PREAMBLE,
    Channel,
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    encode_frame,
)

CHUNK_BYTES = 64 * 1024
MAX_QUEUED_FRAMES = 16
MAX_MESSAGE_BYTES = 96 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
ENDINGS = (trio.BrokenResourceError, trio.ClosedResourceError, FrameError)

LinkHandler = Callable[[bytes], Awaitable[bytes]]
Handlers = Mapping[Channel, LinkHandler]


class LinkError:
    """Say why an exchange got no reply and whether anything was sent."""

    def __init__(self, detail: str, *, sent: bool):
        self.detail = detail
        self.sent = sent

    def __str__(self) -> str:
        """Write the reason."""
        return self.detail


class _Writer:
    """Write whole frames in turn, whoever is cancelled meanwhile."""

    def __init__(self, stream: DirectStream):
        self._stream = stream
        self._frames: deque[bytes] = deque()
        self._work = trio.Event()
        self._room = trio.Event()

    async def run(self) -> None:
        """Write until the connection ends."""
        while True:
            while not self._frames:
                self._work = trio.Event()
                await self._work.wait()
            await self._stream.send_all(self._frames[0])
            self._frames.popleft()
            self._room.set()

    async def write(
        self,
        part: FrameKind,
        end: FrameKind,
        channel: Channel,
        exchange: int,
        payload: bytes,
    ) -> None:
        """Queue one message, chunk by chunk as room comes free."""
        last = max(0, (len(payload) - 1) // CHUNK_BYTES)
        for number in range(last + 1):
            chunk = payload[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES]
            kind = end if number == last else part
            while len(self._frames) >= MAX_QUEUED_FRAMES:
                if self._room.is_set():
                    self._room = trio.Event()
                await self._room.wait()
            self._queue(Frame(kind, channel, exchange, chunk))

    def cancel(self, channel: Channel, exchange: int) -> None:
        """Tell the peer that nobody waits for the exchange."""
        self._queue(Frame(FrameKind.CANCEL, channel, exchange))

    def _queue(self, frame: Frame) -> None:
        self._frames.append(encode_frame(frame))
        self._work.set()


class _Exchange:
    """Wait for the reply of one exchange."""

    def __init__(self):
        self.parts: list[bytes] = []
        self.done = trio.Event()
        self.reply: Result[bytes, LinkError] | None = None

    def finish(self, reply: Result[bytes, LinkError]) -> None:
        self.reply = reply
        self.done.set()


class Link:
    """Ask a peer over one connection and match replies by exchange."""

    def __init__(self, address: Address, local_host: str | None = None):
        self._address = address
        self._local_host = local_host
        self._exchanges: dict[int, _Exchange] = {}
        self._ids = itertools.count(1)
        self._writer: _Writer | None = None
        self._closed: str | None = None
        self._ready = trio.Event()
        self._scope = trio.CancelScope()
        self._retired = False

    @property
    def closed(self) -> bool:
        """Tell whether the connection has ended."""
        return self._closed is not None

    @property
    def connected(self) -> bool:
        """Tell whether the connection is open."""
        return self._ready.is_set() and not self.closed

    def drop(self) -> None:
        """End the connection, as a peer that is cut off silently never does."""
        self._scope.cancel()

    async def run(self) -> None:
        """Connect and read replies until the connection ends."""
        with self._scope:
            await self._run()

    async def _run(self) -> None:
        stream = await self._connect()
        if stream is None:
            self._close(f"{self._address} does not accept a connection")
            return
        self._writer = _Writer(stream)
        reason = "closed"
        try:
            await self._serve(stream)
        except* ENDINGS as group:
            reason = str(group.exceptions[0]) or "broken"
        finally:
            self._close(f"the connection to {self._address} ended: {reason}")
            await stream.aclose()

    def retire(self) -> None:
        """Close the connection as soon as no exchange waits on it."""
        self._retired = True
        if not self._exchanges:
            self._scope.cancel()

    async def _serve(self, stream: DirectStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            self._ready.set()
            await self._read(FrameReader(stream))
            nursery.cancel_scope.cancel()

    async def _connect(self) -> DirectStream | None:
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await trio.open_tcp_stream(
                    self._address.host,
                    self._address.port,
                    local_address=self._local_host,
                )
                await stream.send_all(PREAMBLE)
                return DirectStream(stream)
            except (OSError, trio.BrokenResourceError):
                return None
        return None

    async def _read(self, reader: FrameReader) -> None:
        while (frame := await reader.read()) is not None:
            exchange = self._exchanges.get(frame.exchange)
            if exchange is None:
                continue
            exchange.parts.append(frame.payload)
            if frame.kind is FrameKind.REPLY_END:
                exchange.finish(Success(b"".join(exchange.parts)))

    def _close(self, reason: str) -> None:
        self._closed = reason
        self._ready.set()
        for exchange in self._exchanges.values():
            exchange.finish(Failure(LinkError(reason, sent=True)))

    async def ask(self, channel: Channel, payload: bytes) -> Result[bytes, LinkError]:
        """Send one message and return its reply."""
        await self._ready.wait()
        if self._closed is not None or self._writer is None:
            return Failure(LinkError(self._closed or "closed", sent=False))
        number = next(self._ids)
        exchange = self._exchanges[number] = _Exchange()
        try:
            await self._writer.write(
                FrameKind.ASK, FrameKind.ASK_END, channel, number, payload
            )
            await exchange.done.wait()
        except trio.Cancelled:
            if not self.closed:
                self._writer.cancel(channel, number)
            raise
        finally:
            del self._exchanges[number]
            if self._retired:
                self.retire()
        return exchange.reply


class LinkPool:
    """Keep one link to each peer and open it anew when it has ended."""

    def __init__(self, nursery: trio.Nursery, local_host: str | None = None):
        self._nursery = nursery
        self._local_host = local_host
        self._links: dict[Address, Link] = {}

    async def ask(
        self, address: Address, channel: Channel, payload: bytes
    ) -> Result[bytes, LinkError]:
        """Send one message to a peer and return its reply."""
        link = self._links.get(address)
        if link is None or link.closed:
            link = self._links[address] = Link(address, self._local_host)
            self._nursery.start_soon(link.run)
        return await link.ask(channel, payload)

    def retire(self, address: Address) -> None:
        """Use a new connection to a peer from now on."""
        # One that a cut made silent may stay so for minutes after the heal.
        link = self._links.get(address)
        if link is not None and link.connected:
            del self._links[address]
            link.retire()

    def reset(self, address: Address) -> None:
        """Drop the link to a peer that no longer replies."""
        link = self._links.pop(address, None)
        if link is not None:
            link.drop()


class _LinkServer:
    """Answer the exchanges of one incoming connection."""

    def __init__(self, stream: DirectStream, handlers: Handlers):
        self._stream = stream
        self._handlers = handlers
        self._writer = _Writer(stream)
        self._parts: dict[int, list[bytes]] = {}
        self._scopes: dict[int, trio.CancelScope] = {}

    async def run(self) -> None:
        """Serve exchanges until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._writer.run)
                await self._read(nursery)
                nursery.cancel_scope.cancel()
        except* ENDINGS as group:
            logging.warning("frame connection closed: %s", group.exceptions[0])
        finally:
            await self._stream.aclose()

    async def _read(self, nursery: trio.Nursery) -> None:
        reader = FrameReader(self._stream)
        await reader.read_preamble()
        while (frame := await reader.read()) is not None:
            if frame.kind is FrameKind.CANCEL:
                self._cancel(frame.exchange)
            elif frame.kind is FrameKind.ASK:
                self._keep(frame)
            elif frame.kind is FrameKind.ASK_END:
                self._keep(frame)
                payload = b"".join(self._parts.pop(frame.exchange))
                nursery.start_soon(self._serve, frame, payload)

    def _keep(self, frame: Frame) -> None:
        parts = self._parts.setdefault(frame.exchange, [])
        parts.append(frame.payload)
        if sum(map(len, parts)) > MAX_MESSAGE_BYTES:
            raise FrameError(f"a message is over {MAX_MESSAGE_BYTES} bytes")

    def _cancel(self, exchange: int) -> None:
        self._parts.pop(exchange, None)
        scope = self._scopes.get(exchange)
        if scope is not None:
            scope.cancel()

    async def _serve(self, frame: Frame, payload: bytes) -> None:
        handler = self._handlers.get(frame.channel)
        if handler is None:
            raise FrameError(f"no handler for channel {frame.channel.name}")
        with trio.CancelScope() as scope:
            self._scopes[frame.exchange] = scope
            try:
                reply = await handler(payload)
                await self._writer.write(
                    FrameKind.REPLY,
                    FrameKind.REPLY_END,
                    frame.channel,
                    frame.exchange,
                    reply,
                )
            except Exception as error:
                # A fault met by one exchange must not end the process.
                if not isinstance(error, ValueError):
                    logging.exception("exchange failed channel=%s", frame.channel.name)
                raise FrameError(str(error)) from error
            finally:
                del self._scopes[frame.exchange]


async def serve_links(
    handlers: Handlers,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer frame connections on an address."""

    async def serve(stream: trio.SocketStream) -> None:
        await _LinkServer(DirectStream(stream), handlers).run()

    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    host, port = listeners[0].socket.getsockname()[:2]
    task_status.started(Address(host, port))
    await trio.serve_listeners(serve, listeners)
