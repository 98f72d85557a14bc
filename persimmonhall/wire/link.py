"""Multiplex exchanges over one TCP connection per pair of processes."""

import itertools
from collections.abc import Callable

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.errors import Ran
from persimmonhall.wire.answer_memory import AnswerReservation
from persimmonhall.wire.direct_stream import DirectStream
from persimmonhall.wire.flow_control import ReplyBuffer
from persimmonhall.wire.frame_writer import FrameWriter
from persimmonhall.wire.frames import (
    CONNECTION_ERRORS,
    PREAMBLE,
    Channel,
    FrameKind,
    FrameReader,
)

CONNECT_TIMEOUT_S = 1.0


class LinkError:
    """Explain why an exchange got no reply and whether its request was sent."""

    def __init__(self, detail: str, *, is_sent: bool):
        self.detail = detail
        self.is_sent = is_sent

    @property
    def ran(self) -> Ran:
        """Return whether the peer may have run the request."""
        return Ran.UNKNOWN if self.is_sent else Ran.NO

    def __str__(self) -> str:
        """Return the reason."""
        return self.detail


class _Exchange:
    """Wait for the reply of one exchange."""

    def __init__(self):
        self.buffer = ReplyBuffer()
        self.reply: Result[bytes, LinkError] | None = None
        self._changed = trio.Event()

    def add_part(self, part: bytes) -> None:
        self.buffer.add(part)
        if self.buffer.due_credit_bytes:
            self._changed.set()

    def finish(self, reply: Result[bytes, LinkError]) -> None:
        self.reply = reply
        self._changed.set()

    async def wait_until_credit_due(self) -> bool:
        """Wait until the peer needs credit; return False once there is a reply."""
        while self.reply is None and not self.buffer.due_credit_bytes:
            await self._changed.wait()
            self._changed = trio.Event()
        return self.reply is None


class Link:
    """Send requests to a peer over one connection and match replies by exchange."""

    def __init__(self, address: Address, local_host: str | None = None):
        self._address = address
        self._local_host = local_host
        self._exchanges: dict[int, _Exchange] = {}
        self._exchange_numbers = itertools.count(1)
        self._writer: FrameWriter | None = None
        self._close_reason: str | None = None
        self._connect_finished = trio.Event()
        self._cancel_scope = trio.CancelScope()
        self._is_draining = False

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._close_reason is not None

    @property
    def is_connected(self) -> bool:
        """Return whether the connection is open."""
        return self._connect_finished.is_set() and not self.is_closed

    @property
    def is_closed_by_peer(self) -> bool:
        """Return whether the connection was open and was not closed by this side."""
        return self._writer is not None and not self._cancel_scope.cancel_called

    def drop(self) -> None:
        """Close the connection; a peer that is cut off silently never closes it."""
        self._cancel_scope.cancel()

    async def run(self) -> None:
        """Connect and read replies until the connection ends."""
        with self._cancel_scope:
            await self._run_connection()

    async def _run_connection(self) -> None:
        stream = await self._connect()
        if stream is None:
            self._close(f"connecting to {self._address} failed")
            return
        self._writer = FrameWriter(stream)
        reason = "closed"
        try:
            await self._run_stream(stream)
        except* CONNECTION_ERRORS as group:
            reason = str(group.exceptions[0]) or "broken"
        finally:
            self._close(f"the connection to {self._address} ended: {reason}")
            await stream.aclose()

    def drain(self) -> None:
        """Close the connection once no exchange is pending."""
        self._is_draining = True
        if not self._exchanges:
            self._cancel_scope.cancel()

    async def _run_stream(self, stream: DirectStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            self._connect_finished.set()
            await self._read_replies(FrameReader(stream))
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

    async def _read_replies(self, reader: FrameReader) -> None:
        while (frame := await reader.read()) is not None:
            exchange = self._exchanges.get(frame.exchange)
            if exchange is None:
                continue
            exchange.add_part(frame.payload)
            if frame.kind is FrameKind.REPLY_END:
                exchange.finish(Success(exchange.buffer.payload))

    def _close(self, reason: str) -> None:
        self._close_reason = reason
        self._connect_finished.set()
        if self._writer is not None:
            self._writer.close()
        for exchange in self._exchanges.values():
            exchange.finish(Failure(LinkError(reason, is_sent=True)))

    async def request(
        self,
        channel: Channel,
        payload: bytes,
        reservation: AnswerReservation | None = None,
    ) -> Result[bytes, LinkError]:
        """Send a request and return its reply; reserve memory, then grant credit."""
        await self._connect_finished.wait()
        if self._close_reason is not None or self._writer is None:
            return Failure(LinkError(self._close_reason or "closed", is_sent=False))
        number = next(self._exchange_numbers)
        exchange = self._exchanges[number] = _Exchange()
        try:
            await self._writer.write(
                FrameKind.REQUEST, FrameKind.REQUEST_END, channel, number, payload
            )
            while await exchange.wait_until_credit_due():
                await self._grant_credit(channel, number, exchange.buffer, reservation)
        except trio.ClosedResourceError as error:
            return Failure(LinkError(str(error), is_sent=True))
        except trio.Cancelled:
            if not self.is_closed:
                self._writer.send_cancel(channel, number)
            raise
        finally:
            del self._exchanges[number]
            if self._is_draining:
                self.drain()
        return exchange.reply

    async def _grant_credit(
        self,
        channel: Channel,
        number: int,
        buffer: ReplyBuffer,
        reservation: AnswerReservation | None,
    ) -> None:
        size = buffer.due_credit_bytes
        if reservation is not None:
            await reservation.grow_to(buffer.granted_bytes + size)
        buffer.record_grant(size)
        self._writer.send_credit(channel, number, size)


class LinkPool:
    """Keep one link per peer and reopen it after it has ended."""

    def __init__(self, nursery: trio.Nursery, local_host: str | None = None):
        self._nursery = nursery
        self._local_host = local_host
        self._links: dict[Address, Link] = {}
        self._on_link_ended: Callable[[Address], None] = lambda _: None

    def set_end_callback(self, on_link_ended: Callable[[Address], None]) -> None:
        """Set the callback for connections that a peer has ended."""
        self._on_link_ended = on_link_ended

    async def request(
        self,
        address: Address,
        channel: Channel,
        payload: bytes,
        reservation: AnswerReservation | None = None,
    ) -> Result[bytes, LinkError]:
        """Send a request to a peer and return its reply."""
        link = self._links.get(address)
        if link is None or link.is_closed:
            link = self._links[address] = Link(address, self._local_host)
            self._nursery.start_soon(self._run_link, address, link)
        return await link.request(channel, payload, reservation)

    async def _run_link(self, address: Address, link: Link) -> None:
        await link.run()
        if link.is_closed_by_peer:
            self._on_link_ended(address)

    def reconnect(self, address: Address) -> None:
        """Use a new connection to a peer for further requests."""
        # After a network partition, the old connection may deliver nothing for minutes.
        link = self._links.get(address)
        if link is not None and link.is_connected:
            del self._links[address]
            link.drain()

    def reset(self, address: Address) -> None:
        """Close the link to a peer that no longer replies."""
        link = self._links.pop(address, None)
        if link is not None:
            link.drop()
