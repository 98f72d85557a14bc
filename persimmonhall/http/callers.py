"""Serve callers over HTTP/1.1 with pipelining."""

import socket as sockets
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import trio
from absl import logging

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.messages import NO_BODY_STATUSES, HttpAnswer
from persimmonhall.http.reading import BadMessageError, Message, RequestReader
from persimmonhall.http.refusals import refusal_answer
from persimmonhall.http.writing import GO_AHEAD
from persimmonhall.release.schema import CallerLimits
from persimmonhall.timers import Timers
from persimmonhall.wire.connecting import Listening
from persimmonhall.wire.duplex import Duplex
from persimmonhall.wire.readiness import Readiness

BACKLOG = 1024
# Further requests of a connection stay unread, which bounds its memory.
MAX_PIPELINED = 64
MAX_UNSENT_BYTES = 1024 * 1024
CHECK_S = 0.5
# The connection is closed if the caller reads nothing of its answer for this long.
SLOW_READER_S = 10.0
BODY_TIMEOUT_S = 20.0
# Closing at once with unread input would reset the connection and lose the answer.
LINGER_S = 1.0
LINGER_STEP_S = 0.02
HEAD_END = b"\r\n\r\n"
LAST_HEAD_END = b"\r\nconnection: close\r\n\r\n"

STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


class Exchange:
    """Represent one request of a connection and its answer."""

    __slots__ = ("_connection", "_is_head", "closes", "data", "context", "end_reason")

    def __init__(self, connection: "CallerConnection", *, is_head: bool, closes: bool):
        self._connection = connection
        self._is_head = is_head
        self.closes = closes
        self.data: bytes | None = None
        self.context: object = None
        self.end_reason = ""

    def answer(self, status: int, head: bytes, body: bytes) -> None:
        """Send an answer in request order; each line of the head ends in CRLF."""
        if self.data is not None:
            return
        line = STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status
        if self._is_head or status in NO_BODY_STATUSES:
            self.data = b"%s%s\r\n" % (line, head)
        else:
            size = len(body)
            self.data = b"%s%scontent-length: %d\r\n\r\n%s" % (line, head, size, body)
        self._connection.flush()

    def answer_whole(self, answer: HttpAnswer) -> None:
        """Send an answer given as an HttpAnswer."""
        head = b"".join(b"%s: %s\r\n" % pair for pair in answer.headers)
        self.answer(answer.status, head, answer.body)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the answer."""
        self.answer_whole(refusal_answer(refusal))


class RequestHandler(Protocol):
    """Answer requests at once or later."""

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Start to handle a complete request."""

    def abandon(self, exchange: Exchange) -> None:
        """Stop handling a request whose caller has disconnected."""


class CallerConnection:
    """Read the requests of one connection and send their answers in order."""

    def __init__(
        self,
        socket: sockets.socket,
        server: "CallerServer",
        readiness: Readiness,
    ):
        self._server = server
        self._limits = server.limits()
        self._reader = RequestReader(self._limits.max_header_bytes)
        self._incoming: Message | None = None
        self._pending: deque[Exchange] = deque()
        self._answered_last = False
        self._reads_on = True
        self._since = trio.current_time()
        self._unsent_before = 0
        self._duplex = Duplex(
            socket, readiness, self._take, self._end, drops_at_end=True
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or arriving."""
        return not self._pending and not self._reader.is_inside

    def flush(self) -> None:
        """Send the answers that are ready, in the order of their requests."""
        parts = []
        while self._pending and self._pending[0].data is not None:
            exchange = self._pending.popleft()
            if exchange.closes or self._is_last_of_stop():
                exchange.closes = True
                parts.append(_with_close(exchange.data))
                self._answered_last = True
                self._drop_pending()
                break
            parts.append(exchange.data)
        if parts:
            self._since = trio.current_time()
            self._duplex.send(b"".join(parts) if len(parts) > 1 else parts[0])
        if self._answered_last:
            self._server.linger(self)
        elif not self._is_full():
            self._duplex.resume()

    def _is_last_of_stop(self) -> bool:
        """Return whether the server drains and no request follows this answer."""
        return self._server.draining and not self._pending and self._incoming is None

    async def linger(self) -> None:
        """Send the last answer, shut down sending and close after LINGER_S."""
        with trio.move_on_after(SLOW_READER_S):
            while self._duplex.unsent_bytes:
                await trio.sleep(LINGER_STEP_S)
        if not self._duplex.is_closed:
            self._duplex.shut_down_sending()
            await trio.sleep(LINGER_S)
        self.close()

    def check(self, now: float) -> None:
        """Close the connection if it exceeds an idle, read or write timeout."""
        idle_s = now - self._since
        limits = self._limits = self._server.limits()
        if self._duplex.unsent_bytes:
            is_stuck = self._duplex.unsent_bytes == self._unsent_before
            if is_stuck and idle_s > SLOW_READER_S:
                self.close()
        elif self._incoming is not None:
            if idle_s > BODY_TIMEOUT_S:
                self.close()
        elif self._reader.is_inside:
            if idle_s > limits.header_timeout_ms / 1000:
                self.close()
        elif not self._pending and idle_s > limits.idle_timeout_ms / 1000:
            self.close()
        self._unsent_before = self._duplex.unsent_bytes
        if not self._is_full():
            self._duplex.resume()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or arriving."""
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close the connection and abandon its pending requests."""
        if not self._duplex.is_closed:
            self._duplex.close()
            self._end("closed by this node")

    def _end(self, reason: str) -> None:
        pending, self._pending = self._pending, deque()
        for exchange in pending:
            if exchange.data is None:
                exchange.data = b""
                exchange.end_reason = reason
                self._server.handler.abandon(exchange)
        self._server.forget(self)

    def _take(self, data: bytes) -> None:
        if self._answered_last or not self._reads_on:
            return
        self._since = trio.current_time()
        self._reader.feed(data)
        try:
            self._take_requests()
        except BadMessageError as error:
            kind = ErrorKind.BAD_REQUEST
            if error.too_long:
                kind = ErrorKind.HEADER_TOO_LARGE
            self._refuse_rest(refuse(kind, str(error)))
        if self._is_full():
            self._duplex.pause()

    def _is_full(self) -> bool:
        unsent = self._duplex.unsent_bytes > MAX_UNSENT_BYTES
        return unsent or len(self._pending) >= MAX_PIPELINED

    def _take_requests(self) -> None:
        while self._reads_on and not self._answered_last:
            if self._incoming is None:
                self._incoming = self._reader.take()
                if self._incoming is None:
                    return
                if self._incoming.awaits_go_ahead and not self._incoming.is_whole:
                    self._duplex.send(GO_AHEAD)
            message = self._incoming
            if max(message.size, message.announced_size) > self._limits.max_body_bytes:
                detail = f"the body is over {self._limits.max_body_bytes} bytes"
                self._refuse_rest(refuse(ErrorKind.BODY_TOO_LARGE, detail))
                return
            if not message.is_whole:
                self._reader.check()
                return
            self._incoming = None
            self._begin(message)

    def _begin(self, message: Message) -> None:
        exchange = Exchange(
            self, is_head=message.method == "HEAD", closes=not message.keeps_alive
        )
        self._reads_on = message.keeps_alive
        self._pending.append(exchange)
        try:
            self._server.handler.begin(message, exchange)
        except Exception:
            # An error in one request must not end the process.
            logging.exception("request failed target=%s", message.target)
            detail = "the request met a fault of the system"
            exchange.refuse(refuse(ErrorKind.INTERNAL, detail))

    def _refuse_rest(self, refusal: Refusal) -> None:
        self._reads_on = False
        self._incoming = None
        exchange = Exchange(self, is_head=False, closes=True)
        self._pending.append(exchange)
        exchange.refuse(refusal)

    def _drop_pending(self) -> None:
        """Drop the requests after an answer that closes; they count as not read."""
        pending, self._pending = self._pending, deque()
        for exchange in pending:
            if exchange.data is None:
                exchange.data = b""
                exchange.end_reason = "an earlier answer closed the connection"
                self._server.handler.abandon(exchange)


def _with_close(data: bytes) -> bytes:
    """Add "connection: close" to the head of an encoded answer."""
    return data.replace(HEAD_END, LAST_HEAD_END, 1)


class CallerServer:
    """Serve HTTP/1.1 on one address with one request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        address: Address,
        readiness: Readiness,
        timers: Timers,
        limits: Callable[[], CallerLimits] = CallerLimits,
    ):
        self.handler = handler
        self._readiness = readiness
        self._timers = timers
        self.limits = limits
        self.draining = False
        self._address = address
        self._connections: set[CallerConnection] = set()
        self._listening: Listening | None = None
        self._lingering: set[CallerConnection] = set()
        self._nursery: trio.Nursery | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or arriving."""
        return all(connection.is_idle for connection in self._connections)

    async def run(
        self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the owner calls step at regular intervals."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            address = self._address
            listener = sockets.create_server(
                (address.host, address.port), backlog=BACKLOG
            )
            listener.setblocking(False)
            bound = Address(*listener.getsockname()[:2])
            self._listening = Listening(
                listener, self._readiness, self._timers, self._take
            )
            task_status.started(bound)
            await trio.sleep_forever()

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        if self._listening is not None:
            self._listening.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def linger(self, connection: CallerConnection) -> None:
        """Send the last answer of a connection and close it after LINGER_S."""
        if connection not in self._lingering and self._nursery is not None:
            self._lingering.add(connection)
            self._nursery.start_soon(connection.linger)

    def forget(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._lingering.discard(connection)

    def _take(self, socket: sockets.socket) -> None:
        self._connections.add(CallerConnection(socket, self, self._readiness))

    def step(self, now: float) -> None:
        """Close connections that exceed a timeout; call every CHECK_INTERVAL_S."""
        for connection in tuple(self._connections):
            connection.check(now)
