"""Multiplex exchanges over one TCP connection per pair of processes."""

import itertools
from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.errors import Ran
from persimmonhall.wire.answer_memory import Holding
from persimmonhall.wire.credit import ReplyParts
from persimmonhall.wire.direct_stream import DirectStream
from persimmonhall.wire.frame_writer import FrameWriter
from persimmonhall.wire.frames import (
    ENDINGS,
    PREAMBLE,
    Channel,
    FrameKind,
    FrameReader,
)

CONNECT_TIMEOUT_S = 1.0


class LinkError:
    """Explain why an exchange got no reply and whether its request was sent."""

    def __init__(self, detail: str, *, sent: bool):
        self.detail = detail
        self.sent = sent

    @property
    def ran(self) -> Ran:
        """Return whether the peer may have run the request."""
        return Ran.UNKNOWN if self.sent else Ran.NO

    def __str__(self) -> str:
        """Return the reason."""
        return self.detail


class _Exchange:
    """Wait for the reply of one exchange."""

    def __init__(self):
        self.parts = ReplyParts()
        self.reply: Result[bytes, LinkError] | None = None
        self._changed = trio.Event()

    def add(self, part: bytes) -> None:
        self.parts.add(part)
        if self.parts.due_bytes:
            self._changed.set()

    def finish(self, reply: Result[bytes, LinkError]) -> None:
        self.reply = reply
        self._changed.set()

    async def wait_credit_due(self) -> bool:
        """Wait until the peer needs credit; return False once there is a reply."""
        while self.reply is None and not self.parts.due_bytes:
            await self._changed.wait()
            self._changed = trio.Event()
        return self.reply is None


class Link:
    """Send requests to a peer over one connection and match replies by exchange."""

    def __init__(self, address: Address, local_host: str | None = None):
        self._address = address
        self._local_host = local_host
        self._exchanges: dict[int, _Exchange] = {}
        self._ids = itertools.count(1)
        self._writer: FrameWriter | None = None
        self._closed: str | None = None
        self._ready = trio.Event()
        self._scope = trio.CancelScope()
        self._retired = False

    @property
    def closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._closed is not None

    @property
    def connected(self) -> bool:
        """Return whether the connection is open."""
        return self._ready.is_set() and not self.closed

    @property
    def ended_by_peer(self) -> bool:
        """Return whether the connection was open and was not closed by this side."""
        return self._writer is not None and not self._scope.cancel_called

    def drop(self) -> None:
        """Close the connection; a peer that is cut off silently never closes it."""
        self._scope.cancel()

    async def run(self) -> None:
        """Connect and read replies until the connection ends."""
        with self._scope:
            await self._run()

    async def _run(self) -> None:
        stream = await self._connect()
        if stream is None:
            self._close(f"connecting to {self._address} failed")
            return
        self._writer = FrameWriter(stream)
        reason = "closed"
        try:
            await self._serve(stream)
        except* ENDINGS as group:
            reason = str(group.exceptions[0]) or "broken"
        finally:
            self._close(f"the connection to {self._address} ended: {reason}")
            await stream.aclose()

    def retire(self) -> None:
        """Close the connection once no exchange is pending."""
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
            exchange.add(frame.payload)
            if frame.kind is FrameKind.REPLY_END:
                exchange.finish(Success(exchange.parts.payload))

    def _close(self, reason: str) -> None:
        self._closed = reason
        self._ready.set()
        if self._writer is not None:
            self._writer.close()
        for exchange in self._exchanges.values():
            exchange.finish(Failure(LinkError(reason, sent=True)))

    async def ask(
        self, channel: Channel, payload: bytes, holding: Holding | None = None
    ) -> Result[bytes, LinkError]:
        """Send a request and return its reply; reserve memory, then grant credit."""
        await self._ready.wait()
        if self._closed is not None or self._writer is None:
            return Failure(LinkError(self._closed or "closed", sent=False))
        number = next(self._ids)
        exchange = self._exchanges[number] = _Exchange()
        try:
            await self._writer.write(
                FrameKind.ASK, FrameKind.ASK_END, channel, number, payload
            )
            while await exchange.wait_credit_due():
                await self._grant(channel, number, exchange.parts, holding)
        except trio.ClosedResourceError as error:
            return Failure(LinkError(str(error), sent=True))
        except trio.Cancelled:
            if not self.closed:
                self._writer.cancel(channel, number)
            raise
        finally:
            del self._exchanges[number]
            if self._retired:
                self.retire()
        return exchange.reply

    async def _grant(
        self, channel: Channel, number: int, parts: ReplyParts, holding: Holding | None
    ) -> None:
        size = parts.due_bytes
        if holding is not None:
            await holding.grow_to(parts.credited_bytes + size)
        parts.grant(size)
        self._writer.grant(channel, number, size)


class LinkPool:
    """Keep one link per peer and reopen it after it has ended."""

    def __init__(self, nursery: trio.Nursery, local_host: str | None = None):
        self._nursery = nursery
        self._local_host = local_host
        self._links: dict[Address, Link] = {}
        self._on_ended: Callable[[Address], None] = lambda _: None

    def watch(self, on_ended: Callable[[Address], None]) -> None:
        """Set the callback for connections that a peer has ended."""
        self._on_ended = on_ended

    async def ask(
        self,
        address: Address,
        channel: Channel,
        payload: bytes,
        holding: Holding | None = None,
    ) -> Result[bytes, LinkError]:
        """Send a request to a peer and return its reply."""
        link = self._links.get(address)
        if link is None or link.closed:
            link = self._links[address] = Link(address, self._local_host)
            self._nursery.start_soon(self._run, address, link)
        return await link.ask(channel, payload, holding)

    async def _run(self, address: Address, link: Link) -> None:
        await link.run()
        if link.ended_by_peer:
            self._on_ended(address)

    def retire(self, address: Address) -> None:
        """Use a new connection to a peer for further requests."""
        # After a network partition, the old connection may deliver nothing for minutes.
        link = self._links.get(address)
        if link is not None and link.connected:
            del self._links[address]
            link.retire()

    def reset(self, address: Address) -> None:
        """Close the link to a peer that no longer replies."""
        link = self._links.pop(address, None)
        if link is not None:
            link.drop()
