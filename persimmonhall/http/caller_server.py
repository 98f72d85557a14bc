"""Serve callers over HTTP/1.1 with pipelining."""

import socket as sockets
from collections import deque
from collections.abc import Callable

import trio
from absl import logging

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.event_time import current_time
from persimmonhall.http.body_budget import UNCOUNTED_BYTES, BodyBudget, HeldBody
from persimmonhall.http.exchange import Exchange, RequestHandler, Screen
from persimmonhall.http.head_encoder import CONTINUE_ANSWER
from persimmonhall.http.message_reader import BadMessageError, Message, RequestReader
from persimmonhall.release.schema import CallerLimits
from persimmonhall.timers import Timers
from persimmonhall.wire.connection_setup import SocketListener
from persimmonhall.wire.duplex import Duplex
from persimmonhall.wire.poller import Poller

LISTEN_BACKLOG = 1024
# Further requests of a connection stay unread, which bounds its memory.
MAX_PIPELINED_REQUESTS = 16
# Of one connection before others have their turn.
MAX_REQUESTS_PER_TURN = 16
# Of a caller that sends more requests without reading its answers.
MAX_UNSENT_BYTES = 64 * 1024
CHECK_INTERVAL_S = 0.5
# The connection is closed if no more of its answers can be sent for this long.
SLOW_READER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 20.0
# Closing at once with unread input would reset the connection and lose the answer.
LINGER_S = 1.0
LINGER_POLL_INTERVAL_S = 0.02
HEAD_END = b"\r\n\r\n"
CLOSING_HEAD_END = b"\r\nconnection: close\r\n\r\n"


class CallerConnection:
    """Read the requests of one connection and send their answers in order."""

    def __init__(
        self,
        socket: sockets.socket,
        server: "CallerServer",
        poller: Poller,
    ):
        self._server = server
        self._reader = RequestReader(server.get_limits().max_header_bytes)
        self._incoming_message: Message | None = None
        self._incoming_body = HeldBody(server.bodies)
        self._pending_exchanges: deque[Exchange] = deque()
        self._has_sent_last_answer = False
        self._accepts_requests = True
        self._is_reading = False
        self._last_activity_at = current_time()
        self._previous_sent_bytes = 0
        self._last_progress_at = self._last_activity_at
        self._duplex = Duplex(
            socket,
            poller,
            self._on_data,
            self._on_end,
            should_discard_at_end=True,
            on_drained=self._read_on,
        )

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of answers the caller has not made room for."""
        return self._duplex.unsent_bytes

    @property
    def held_answer_bytes(self) -> int:
        """Return the bytes of answers that are ready and not sent."""
        ready = (exchange.encoded_answer or b"" for exchange in self._pending_exchanges)
        return self._duplex.unsent_bytes + sum(map(len, ready))

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress, arriving or unread, all sent."""
        return (
            not self._duplex.unsent_bytes
            and not self._pending_exchanges
            and not self._reader.is_mid_message
            and not self._has_unread_input
        )

    @property
    def _has_unread_input(self) -> bool:
        """Return whether the caller has sent bytes that were not read yet."""
        return not self._duplex.is_closed and self._duplex.has_unread_bytes

    def flush(self) -> None:
        """Send the answers that are ready, in the order of their requests."""
        parts = []
        while (
            self._pending_exchanges
            and self._pending_exchanges[0].encoded_answer is not None
        ):
            exchange = self._pending_exchanges.popleft()
            if exchange.closes_connection or self._is_last_while_draining():
                exchange.closes_connection = True
                parts.append(_with_connection_close(exchange.encoded_answer))
                self._has_sent_last_answer = True
                self._drop_pending()
                break
            parts.append(exchange.encoded_answer)
        if parts:
            self._last_activity_at = current_time()
            if not self._duplex.unsent_bytes:
                self._last_progress_at = self._last_activity_at
            self._duplex.send(b"".join(parts) if len(parts) > 1 else parts[0])
        if self._has_sent_last_answer:
            self._server.start_linger(self)
        elif not self._is_at_limit():
            self._read_on()

    def _is_last_while_draining(self) -> bool:
        """Return whether the server drains and no request follows this answer."""
        return (
            self._server.is_draining
            and not self._pending_exchanges
            and self._incoming_message is None
        )

    def linger(self, timers: Timers) -> None:
        """Send the last answer, shut down sending and close after LINGER_S."""
        if self._duplex.is_closed:
            return
        now = timers.now()
        if self._duplex.unsent_bytes:
            # The regular check closes the connection of a caller that does not read.
            when = now + LINGER_POLL_INTERVAL_S
            timers.call_at(when, lambda: self.linger(timers))
            return
        self._duplex.shut_down_sending()
        timers.call_at(now + LINGER_S, self.close)

    def check(self, now: float) -> None:
        """Close the connection if it exceeds an idle, read or write timeout."""
        if self._duplex.sent_bytes > self._previous_sent_bytes:
            self._previous_sent_bytes = self._duplex.sent_bytes
            self._last_progress_at = now
        # A caller that reads slowly has its time to send more from the last byte on.
        idle_s = now - max(self._last_activity_at, self._last_progress_at)
        limits = self._server.get_limits()
        if self._duplex.unsent_bytes:
            if now - self._last_progress_at > SLOW_READER_TIMEOUT_S:
                self.close()
        elif self._incoming_message is not None:
            if idle_s > BODY_TIMEOUT_S:
                self.close()
        elif self._reader.is_mid_message and not self._is_at_limit():
            if idle_s > limits.header_timeout_ms / 1000:
                self.close()
        elif not self._pending_exchanges and idle_s > limits.idle_timeout_ms / 1000:
            self.close()
        if not self._is_at_limit():
            self._read_on()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress, arriving or unread."""
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close the connection and abandon its pending requests."""
        if not self._duplex.is_closed:
            self._duplex.close()
            self._on_end("closed by this node")

    def _on_end(self, reason: str) -> None:
        pending, self._pending_exchanges = self._pending_exchanges, deque()
        for exchange in pending:
            if exchange.encoded_answer is None:
                exchange.encoded_answer = b""
                exchange.end_reason = reason
                exchange.release_body()
                self._server.handler.abandon(exchange)
        self._incoming_body.release()
        self._incoming_message = None
        self._reader.close()
        self._server.remove(self)

    def _on_data(self, data: bytes) -> None:
        if self._has_sent_last_answer or not self._accepts_requests:
            return
        self._last_activity_at = current_time()
        # A connection may outlast many releases.
        self._reader.max_head_bytes = self._server.get_limits().max_header_bytes
        self._reader.feed(data)
        self._handle_input()
        if self._is_at_limit():
            self._duplex.pause()

    def _read_on(self) -> None:
        """Handle what was left unread at a limit, then read further."""
        if self._reader.is_mid_message:
            self._handle_input()
        if not self._is_at_limit():
            self._duplex.resume()

    def _handle_input(self) -> None:
        """Begin the requests that have arrived; refuse what is no request."""
        if self._is_reading or self._duplex.is_closed:
            return
        # An answer that is ready at once flushes, and would read on within the loop.
        self._is_reading = True
        try:
            self._process_requests()
        except BadMessageError as error:
            kind = ErrorKind.BAD_REQUEST
            if error.is_head_too_long:
                kind = ErrorKind.HEADER_TOO_LARGE
            self._refuse_and_close(refuse(kind, str(error)))
        finally:
            self._is_reading = False

    def _is_at_limit(self) -> bool:
        unsent = self._duplex.unsent_bytes > MAX_UNSENT_BYTES
        return unsent or len(self._pending_exchanges) >= MAX_PIPELINED_REQUESTS

    def _process_requests(self) -> None:
        begun = 0
        while self._accepts_requests and not self._has_sent_last_answer:
            if self._incoming_message is None:
                if self._is_at_limit():
                    return
                if begun >= MAX_REQUESTS_PER_TURN:
                    self._duplex.pause()
                    self._server.call_soon(self._read_on)
                    return
                self._incoming_message = self._reader.next_message()
                if self._incoming_message is None:
                    self._count_incoming(self._reader.buffered_bytes, 0)
                    return
                if self._is_refused_by_head(self._incoming_message):
                    return
                if (
                    self._incoming_message.expects_continue
                    and not self._incoming_message.is_complete
                ):
                    self._duplex.send(CONTINUE_ANSWER)
            message = self._incoming_message
            max_body_bytes = self._server.get_limits().max_body_bytes
            if max(message.body_size, message.content_length) > max_body_bytes:
                detail = f"the body is over {max_body_bytes} bytes"
                self._refuse_and_close(refuse(ErrorKind.BODY_TOO_LARGE, detail))
                return
            is_long_head = message.head_size > UNCOUNTED_BYTES
            head_size = message.head_size if is_long_head else 0
            if not self._count_incoming(
                head_size + message.body_size, head_size + message.content_length
            ):
                return
            if not message.is_complete:
                self._reader.raise_if_failed()
                return
            self._incoming_message = None
            self._start_request(message)
            begun += 1

    def _count_incoming(self, size: int, declared_size: int) -> bool:
        """Count what has arrived of a request; refuse it if there is no room."""
        has_room = self._incoming_body.try_grow(size, declared_size)
        if not has_room:
            detail = "the requests in progress take all memory for them"
            self._refuse_and_close(refuse(ErrorKind.NODE_OVERLOADED, detail))
        return has_room

    def _start_request(self, message: Message) -> None:
        exchange = Exchange(
            self,
            is_head=message.method == "HEAD",
            closes_connection=not message.keeps_alive,
        )
        if self._incoming_body.size:
            exchange.body = self._incoming_body
            self._incoming_body = HeldBody(self._server.bodies)
        self._accepts_requests = message.keeps_alive
        self._pending_exchanges.append(exchange)
        try:
            self._server.handler.begin(message, exchange)
        except Exception:
            # An error in one request must not end the process.
            logging.exception("request failed target=%s", message.target)
            detail = "internal error while handling the request"
            exchange.refuse(refuse(ErrorKind.INTERNAL, detail))

    def _is_refused_by_head(self, message: Message) -> bool:
        """Answer a request that needs no body to be refused; return whether it was."""
        screen = self._server.screen
        if screen is None or message.is_complete:
            return False
        # What follows the head can't be told from further requests without reading it.
        exchange = Exchange(
            self, is_head=message.method == "HEAD", closes_connection=True
        )
        self._pending_exchanges.append(exchange)
        try:
            screen(message, exchange)
        except Exception:
            logging.exception("request failed target=%s", message.target)
        if exchange.encoded_answer is None:
            exchange.context = None
            self._pending_exchanges.pop()
            return False
        self._accepts_requests = False
        self._incoming_message = None
        return True

    def _refuse_and_close(self, refusal: Refusal) -> None:
        self._accepts_requests = False
        self._incoming_message = None
        self._incoming_body.release()
        self._server.on_unread_refusal(refusal)
        exchange = Exchange(self, is_head=False, closes_connection=True)
        self._pending_exchanges.append(exchange)
        exchange.refuse(refusal)

    def _drop_pending(self) -> None:
        """Drop the requests after an answer that closes; they count as not read."""
        pending, self._pending_exchanges = self._pending_exchanges, deque()
        for exchange in pending:
            if exchange.encoded_answer is None:
                exchange.encoded_answer = b""
                exchange.end_reason = "an earlier answer closed the connection"
                exchange.release_body()
                self._server.handler.abandon(exchange)


def _with_connection_close(encoded_answer: bytes) -> bytes:
    """Add "connection: close" to the head of an encoded answer."""
    return encoded_answer.replace(HEAD_END, CLOSING_HEAD_END, 1)


class CallerServer:
    """Serve HTTP/1.1 on one address with one request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        address: Address,
        poller: Poller,
        timers: Timers,
        get_limits: Callable[[], CallerLimits] = CallerLimits,
        screen: Screen | None = None,
        bodies: BodyBudget | None = None,
        on_unread_refusal: Callable[[Refusal], None] = lambda refusal: None,
    ):
        self.handler = handler
        self.screen = screen
        self.bodies = bodies or BodyBudget()
        self.on_unread_refusal = on_unread_refusal
        self._poller = poller
        self._timers = timers
        self.get_limits = get_limits
        self.is_draining = False
        self._address = address
        self._connections: set[CallerConnection] = set()
        self._listener: SocketListener | None = None
        self._lingering_connections: set[CallerConnection] = set()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress, arriving or unread."""
        return all(connection.is_idle for connection in self._connections)

    @property
    def held_answer_bytes(self) -> int:
        """Return the bytes of all answers that are ready and not sent."""
        return sum(connection.held_answer_bytes for connection in self._connections)

    @property
    def has_unsent_answers(self) -> bool:
        """Return whether callers have still to read what is ready for them."""
        return any(connection.unsent_bytes for connection in self._connections)

    async def run(
        self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the owner calls step at regular intervals."""
        address = self._address
        listener = sockets.create_server(
            (address.host, address.port), backlog=LISTEN_BACKLOG
        )
        listener.setblocking(False)
        bound = Address(*listener.getsockname()[:2])
        self._listener = SocketListener(
            listener, self._poller, self._timers, self._add_connection
        )
        task_status.started(bound)
        await trio.sleep_forever()

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def start_linger(self, connection: CallerConnection) -> None:
        """Send the last answer of a connection and close it after LINGER_S."""
        if connection not in self._lingering_connections:
            self._lingering_connections.add(connection)
            connection.linger(self._timers)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call a function after the events that have arrived."""
        self._timers.call_at(self._timers.now(), callback)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._lingering_connections.discard(connection)

    def _add_connection(self, socket: sockets.socket) -> None:
        self._connections.add(CallerConnection(socket, self, self._poller))

    def step(self, now: float) -> None:
        """Close connections that exceed a timeout; call every CHECK_INTERVAL_S."""
        for connection in tuple(self._connections):
            connection.check(now)
