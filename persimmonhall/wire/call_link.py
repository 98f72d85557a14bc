"""Send calls between nodes over one connection per pair of nodes and direction."""

import socket as sockets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from persimmonhall.address import Address
from persimmonhall.errors import Ran
from persimmonhall.events import Event, EventLog
from persimmonhall.ids import CallNumber
from persimmonhall.timers import Timers
from persimmonhall.wire.calls import (
    NUMBER,
    PREAMBLE,
    CallFrameError,
    CallFrameReader,
    FrameType,
    RoutedCall,
    RoutedReply,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
    frame,
)
from persimmonhall.wire.connecting import Connecting
from persimmonhall.wire.duplex import Duplex
from persimmonhall.wire.readiness import Readiness

CONNECT_TIMEOUT_S = 0.5  # 25 times the maximum latency between zones of a region
CHECK_S = 0.1
# While calls are pending, a link without received data is pinged, then closed.
PING_AFTER_S = 0.3
SILENT_AFTER_S = 0.8
# With more unsent data than this, the peer no longer reads: its calls are lost.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
RETRY_CONNECT_S = 0.25
PING = frame(FrameType.PING)
PONG = frame(FrameType.PONG)


class ReplyTaker(Protocol):
    """Handle the replies and failures of calls that were sent."""

    def handle_reply(self, reply: RoutedReply) -> None:
        """Handle a reply."""

    def handle_link_failure(self, number: CallNumber, ran: Ran, detail: str) -> None:
        """Handle a call without a reply because its link has failed."""


class CallLink:
    """Send calls to one peer and close the link when the peer stops responding."""

    def __init__(self, address: Address, taker: ReplyTaker, log: EventLog):
        self.address = address
        self._taker = taker
        self._log = log
        self._calls: set[CallNumber] = set()
        self._unsent: list[bytes] = []
        self._duplex: Duplex | None = None
        self._reader = CallFrameReader()
        self._heard_at = 0.0
        self._pinged = False
        self.closed = False
        self.reason = f"no connection within {CONNECT_TIMEOUT_S} s"

    def connect(
        self, readiness: Readiness, timers: Timers, on_connected: Callable[[], None]
    ) -> None:
        """Connect, then send the queued calls."""

        def on_open(socket: sockets.socket) -> None:
            self._open(socket, readiness)
            on_connected()

        def on_fault(error: OSError) -> None:
            self.drop(str(error))

        connecting = Connecting(self.address, readiness, on_open, on_fault)
        connecting.limit(timers, timers.now() + CONNECT_TIMEOUT_S)

    @property
    def is_connected(self) -> bool:
        """Return whether the link was ever connected."""
        return self._duplex is not None

    def send(self, call: RoutedCall) -> None:
        """Send a call, or queue it until the link is connected."""
        self._calls.add(call.number)
        data = frame(FrameType.CALL, encode_call(call))
        if self._duplex is None:
            self._unsent.append(data)
            return
        if len(self._calls) == 1:
            self._heard_at = trio.current_time()
        self._duplex.send(data)

    def cancel(self, number: CallNumber) -> None:
        """Notify the peer that a call is cancelled."""
        if number not in self._calls:
            return
        self._calls.discard(number)
        if self._duplex is not None:
            self._duplex.send(frame(FrameType.CANCEL, NUMBER.pack(number)))

    def check(self, now: float) -> None:
        """Ping a peer that sends nothing, and close the link if it stays silent."""
        if self._duplex is None or self.closed:
            return
        if self._duplex.unsent_bytes > MAX_UNSENT_BYTES:
            self.drop("the peer does not read its data")
            return
        if not self._calls:
            return
        silent_s = now - self._heard_at
        if silent_s > SILENT_AFTER_S and self._pinged:
            self.drop(f"no data from the peer for {silent_s:.2f} s")
        elif silent_s > PING_AFTER_S and not self._pinged:
            self._pinged = True
            self._duplex.send(PING)

    def forgive(self, now: float) -> None:
        """Restart the silence timeout after a pause of this process."""
        self._heard_at = now
        self._pinged = False

    def drop(self, reason: str) -> None:
        """Close the link and report its calls as failed."""
        self.reason = reason
        self._close()

    def _open(self, socket: sockets.socket, readiness: Readiness) -> None:
        if self.closed:
            socket.close()
            return
        socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        self._duplex = Duplex(socket, readiness, self._take, self.drop)
        self._heard_at = trio.current_time()
        self._duplex.send(PREAMBLE + b"".join(self._unsent))
        self._unsent.clear()

    def _take(self, data: bytes) -> None:
        self._heard_at = trio.current_time()
        self._pinged = False
        try:
            for kind, payload in self._reader.feed(data):
                if kind == FrameType.REPLY:
                    reply = decode_reply(payload)
                    if reply.number in self._calls:
                        self._calls.discard(reply.number)
                        self._taker.handle_reply(reply)
        except CallFrameError as error:
            self.drop(str(error))

    def _close(self) -> None:
        if self.closed:
            return
        self.closed = True
        ran = Ran.NO if self._duplex is None else Ran.UNKNOWN
        if self._duplex is not None:
            self._duplex.close()
        calls, self._calls = self._calls, set()
        if calls or self._duplex is None:
            self._log.emit(
                Event.LINK_LOST,
                peer=str(self.address),
                reason=self.reason,
                calls=len(calls),
                ran=ran.value,
            )
        for number in calls:
            self._taker.handle_link_failure(number, ran, self.reason)


class CallLinks:
    """Keep one link per peer and reopen it after a failure."""

    def __init__(
        self,
        taker: ReplyTaker,
        readiness: Readiness,
        timers: Timers,
        log: EventLog,
    ):
        self._taker = taker
        self._timers = timers
        self._readiness = readiness
        self._log = log
        self._links: dict[Address, CallLink] = {}
        self._failed_at: dict[Address, float] = {}
        self._lost: set[Address] = set()
        self._stepped_at = 0.0

    def send(self, address: Address, call: RoutedCall) -> None:
        """Send a call; the reply handler gets its reply or failure."""
        link = self._links.get(address)
        if link is None or link.closed:
            now = trio.current_time()
            if link is not None:
                self._forget(link, now)
            if now - self._failed_at.get(address, -RETRY_CONNECT_S) < RETRY_CONNECT_S:
                detail = f"a recent connection attempt to {address} failed"
                self._taker.handle_link_failure(call.number, Ran.NO, detail)
                return
            link = self._links[address] = CallLink(address, self._taker, self._log)
            link.connect(
                self._readiness, self._timers, lambda: self._note_connected(address)
            )
        link.send(call)

    def cancel(self, address: Address, number: CallNumber) -> None:
        """Notify a peer that a call is cancelled."""
        link = self._links.get(address)
        if link is not None and not link.closed:
            link.cancel(number)

    def _note_connected(self, address: Address) -> None:
        if address in self._lost:
            self._lost.discard(address)
            self._log.emit(Event.LINK_REGAINED, peer=str(address))

    def _forget(self, link: CallLink, now: float) -> None:
        if self._links.get(link.address) is not link:
            # Retried calls of another lost link have already opened a new link here.
            return
        del self._links[link.address]
        self._lost.add(link.address)
        if not link.is_connected:
            self._failed_at[link.address] = now

    def step(self, now: float) -> None:
        """Check for peers that stopped responding; call every CHECK_INTERVAL_S."""
        # After a pause of this process, data received meanwhile is still unread.
        is_late = now - self._stepped_at > 2 * CHECK_S
        self._stepped_at = now
        for link in tuple(self._links.values()):
            if link.closed:
                self._forget(link, now)
            elif is_late:
                link.forgive(now)
            else:
                link.check(now)


class CallHandler(Protocol):
    """Run the calls of other nodes."""

    def begin(
        self,
        origin: object,
        call: RoutedCall,
        reply: Callable[[RoutedReply], None],
    ) -> None:
        """Start a call; origin and number identify it."""

    def cancel(self, origin: object, number: CallNumber) -> None:
        """Cancel a call whose reply is no longer needed."""

    def cancel_all(self, origin: object) -> None:
        """Cancel all calls of an origin whose connection has ended."""


class CallServerConnection:
    """Pass the calls of one incoming link to the handler and send its replies."""

    def __init__(
        self,
        socket: sockets.socket,
        readiness: Readiness,
        handler: CallHandler,
    ):
        self._handler = handler
        self._reader = CallFrameReader()
        self._duplex = Duplex(socket, readiness, self._on_data, self._on_end)

    def _on_data(self, data: bytes) -> None:
        try:
            for kind, payload in self._reader.feed(data):
                self._take(kind, payload)
        except CallFrameError as error:
            self._duplex.close()
            self._on_end(str(error))

    def _on_end(self, reason: str) -> None:
        self._handler.cancel_all(self)

    def _take(self, kind: int, payload: bytes) -> None:
        if kind == FrameType.CALL:
            self._handler.begin(self, decode_call(payload), self._reply)
        elif kind == FrameType.CANCEL:
            self._handler.cancel(self, NUMBER.unpack(payload)[0])
        elif kind == FrameType.PING:
            self._duplex.send(PONG)

    def _reply(self, reply: RoutedReply) -> None:
        self._duplex.send(frame(FrameType.REPLY, encode_reply(reply)))


@dataclass(frozen=True)
class CallService:
    """Serve calls on incoming connections."""

    readiness: Readiness
    handler: CallHandler

    def take(self, socket: sockets.socket) -> None:
        """Serve a connection whose preamble has been read."""
        socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        CallServerConnection(socket, self.readiness, self.handler)
