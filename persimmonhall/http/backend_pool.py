"""Send requests to the local backend server; match its answers by attempt id."""

import errno
import socket as sockets
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from persimmonhall.address import Address
from persimmonhall.event_time import current_time
from persimmonhall.http.message_reader import AnswerReader, BadMessageError, Message
from persimmonhall.http.messages import LENGTH_HEADERS, NO_BODY_STATUSES, Headers
from persimmonhall.timers import Timers
from persimmonhall.wire.connection_setup import (
    ErrorCallback,
    PendingConnection,
    SocketCallback,
)
from persimmonhall.wire.duplex import CLOSED_BY_PEER, Duplex
from persimmonhall.wire.poller import Poller
from persimmonhall.wire.transfer_budget import (
    LARGE_BYTES,
    Reservation,
    TransferBudget,
)

CONNECT_TIMEOUT_S = 0.5  # the backend server is on the same machine
# When a process dies, all its connections are reset within this time.
PROBE_DELAY_S = 0.02
MAX_HEADER_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# Heads, chunk framing and interim answers, all but the bodies of answers.
MAX_OVERHEAD_BYTES = 1024 * 1024
MAX_SKIPPED_ANSWERS = 8
# All answers in progress; each is copied once when it is sent on.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
MAX_TIMEOUT_DIGITS = 9
DEFAULT_IDLE_TIMEOUT_S = 4.0  # for servers that send no Keep-Alive timeout
# Of the timeout that the server announces, so that it never closes first.
IDLE_TIMEOUT_FRACTION = 0.7


class SendFault(Enum):
    """Classify why a request got no complete answer."""

    NOT_LISTENING = "notListening"
    NOT_CONNECTED = "notConnected"
    CONNECTION_LOST = "lost"
    ANSWER_TRUNCATED = "cut"
    ANSWER_MALFORMED = "unreadable"


class BackendFailure(NamedTuple):
    """Describe how a request failed and whether the backend server may have run it."""

    fault: SendFault
    detail: str

    @property
    def was_sent(self) -> bool:
        """Return whether any byte may have reached the backend server."""
        return self.fault not in (SendFault.NOT_LISTENING, SendFault.NOT_CONNECTED)


class BackendAnswer(NamedTuple):
    """Represent the complete answer of a backend server."""

    status: int
    headers: Headers
    body: bytes


BackendResult = BackendAnswer | BackendFailure


class BackendRequest:
    """Represent a request to a backend server, which echoes its attempt id."""

    __slots__ = (
        "data",
        "attempt_id",
        "is_head",
        "is_idempotent",
        "on_result",
        "connection",
    )

    def __init__(
        self,
        data: bytes,
        attempt_id: bytes,
        on_result: Callable[[BackendResult], None],
        *,
        is_head: bool,
        is_idempotent: bool,
    ):
        self.data = data
        self.attempt_id = attempt_id
        self.is_head = is_head
        self.is_idempotent = is_idempotent
        self.on_result = on_result
        self.connection: _BackendConnection | None = None


class _BackendConnection:
    """Carry one request at a time to a backend server."""

    def __init__(self, pool: "BackendPool", request: BackendRequest):
        self._pool = pool
        self._request: BackendRequest | None = request
        self._duplex: Duplex | None = None
        self._pending_connection: PendingConnection | None = None
        self._reader = AnswerReader(MAX_HEADER_BYTES)
        self._message: Message | None = None
        self._is_own_message = False
        self._skipped_answers = 0
        self._skipped_body_bytes = 0
        self._received_bytes = 0
        self._reservation: Reservation | None = None
        self.buffered_bytes = 0
        self.usable_until = 0.0

    @property
    def has_no_input(self) -> bool:
        """Return whether neither data nor end of file has arrived."""
        return not self._duplex.is_readable

    @property
    def is_open(self) -> bool:
        """Return whether the connection was ever open."""
        return self._duplex is not None

    def connect(self) -> None:
        """Connect and send the first request."""
        self._pending_connection = self._pool.connect(
            self._on_connected, self._on_connect_error
        )

    def send(self, request: BackendRequest) -> None:
        """Send the next request."""
        self._request = request
        request.connection = self
        self._reader = AnswerReader(MAX_HEADER_BYTES)
        self._message = None
        self._received_bytes = 0
        self._duplex.send(request.data)

    def cut_answer(self, detail: str) -> None:
        """Fail the request within its answer and close the connection."""
        self._fail(BackendFailure(SendFault.ANSWER_TRUNCATED, detail))
        self.close()

    def close(self) -> None:
        """Close the connection and drop its request."""
        self._request = None
        if self._duplex is not None:
            self._duplex.close()
        elif self._pending_connection is not None:
            self._pending_connection.cancel()
        self._free()

    def _free(self) -> None:
        """Leave the pool and free what was read."""
        self._pool.remove(self)
        self._release()
        self._message = None
        self._reader.close()

    def _on_connect_error(self, error: OSError) -> None:
        self._pending_connection = None
        self._pool.remove(self)
        is_refused = error.errno == errno.ECONNREFUSED
        fault = SendFault.NOT_LISTENING if is_refused else SendFault.NOT_CONNECTED
        self._fail(BackendFailure(fault, str(error)))

    def _on_connected(self, socket: sockets.socket) -> None:
        self._pending_connection = None
        self._duplex = Duplex(socket, self._pool.poller, self._on_data, self._on_end)
        self._duplex.send(self._request.data)

    def _on_data(self, data: bytes) -> None:
        if self._request is None:
            # Data without a request in progress: the connection can't be reused.
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._reader.feed(data)
            keeps_open = self._process_answers()
        except BadMessageError as error:
            keeps_open = False
            self._fail(BackendFailure(SendFault.ANSWER_MALFORMED, str(error)))
        if not keeps_open:
            self.close()

    def _on_end(self, reason: str) -> None:
        if reason == CLOSED_BY_PEER:
            self._finish_at_end_of_file()
        else:
            self._fail(self._connection_failure(reason))
        self._free()

    def _process_answers(self) -> bool:
        """Finish the request once its answer is complete; return whether to read on."""
        while True:
            request = self._request
            if self._message is None:
                self._message = self._reader.next_message()
                if self._message is None:
                    self._check_overhead(0)
                    self._pool.set_buffered(self, self._reader.buffered_bytes)
                    return True
                self._is_own_message = self._matches_attempt(self._message, request)
            message = self._message
            if max(message.body_size, message.content_length) > MAX_ANSWER_BYTES:
                detail = f"the answer is over {MAX_ANSWER_BYTES} bytes"
                self._fail(BackendFailure(SendFault.ANSWER_TRUNCATED, detail))
                return False
            if not self._is_own_message:
                message.body_parts.clear()
            if not self._is_complete(message, request):
                self._reader.raise_if_failed()
                self._check_overhead(message.body_size)
                body_size = message.body_size if self._is_own_message else 0
                self._pool.set_buffered(self, message.head_size + body_size)
                if self._is_own_message and not self._duplex.is_closed:
                    self._reserve(max(message.body_size, message.content_length))
                return True
            self._message = None
            if self._is_own_message:
                return self._finish_request(message)
            self._skip_answer(message)

    def _reserve(self, size: int) -> None:
        """Read on with a large answer only while there is room for it."""
        if self._reservation is not None:
            self._reservation.grow(size)
            return
        if size <= LARGE_BYTES:
            return
        self._reservation = self._pool.budget.reserve(size, self._duplex.resume)
        if not self._reservation.is_granted:
            self._duplex.pause()

    def _release(self) -> None:
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    def _skip_answer(self, message: Message) -> None:
        """Skip an answer to an earlier request; raise an error if there are many."""
        self._skipped_answers += 1
        self._skipped_body_bytes += message.body_size
        if (
            self._skipped_answers > MAX_SKIPPED_ANSWERS
            or self._skipped_body_bytes > MAX_ANSWER_BYTES
        ):
            raise BadMessageError("too many answers to other requests")

    def _check_overhead(self, body_size: int) -> None:
        """Raise an error once much has arrived that is no part of a body."""
        overhead = self._received_bytes - self._skipped_body_bytes - body_size
        if overhead > MAX_OVERHEAD_BYTES:
            detail = f"over {MAX_OVERHEAD_BYTES} bytes beside the answer's body"
            raise BadMessageError(detail)

    def _is_complete(self, message: Message, request: BackendRequest) -> bool:
        if request.is_head or message.status in NO_BODY_STATUSES:
            return True
        return message.is_complete

    def _matches_attempt(self, message: Message, request: BackendRequest) -> bool:
        return (self._pool.attempt_header, request.attempt_id) in message.headers

    def _finish_request(self, message: Message) -> bool:
        request, self._request = self._request, None
        self._pool.set_buffered(self, 0)
        headers = message.headers
        is_clean = not self._reader.has_surplus_data and not self._skipped_answers
        # An answer may come while the body of its request is still being sent.
        is_sent = not self._duplex.unsent_bytes
        is_reusable = (
            message.keeps_alive and is_clean and is_sent and not request.is_head
        )
        if is_reusable:
            self._pool.return_connection(self, _idle_timeout_s(headers))
        request.on_result(BackendAnswer(message.status, headers, message.body))
        # Whoever has the answer now counts it.
        self._release()
        return is_reusable

    def _finish_at_end_of_file(self) -> None:
        """Treat end of file as the end of an answer that has no length."""
        message, request = self._message, self._request
        if request is None:
            return
        if message is None:
            self._fail(self._connection_failure("it ended before an answer"))
        elif any(name in LENGTH_HEADERS for name, _ in message.headers):
            self._fail(
                BackendFailure(SendFault.ANSWER_TRUNCATED, "it ended within the answer")
            )
        elif not self._matches_attempt(message, request):
            self._fail(
                self._connection_failure("it ended after the answer to another request")
            )
        else:
            self._request = None
            request.on_result(
                BackendAnswer(message.status, message.headers, message.body)
            )

    def _connection_failure(self, reason: str) -> BackendFailure:
        fault = (
            SendFault.ANSWER_TRUNCATED
            if self._message is not None
            else SendFault.CONNECTION_LOST
        )
        return BackendFailure(fault, reason or "the connection was reset")

    def _fail(self, failure: BackendFailure) -> None:
        request, self._request = self._request, None
        if request is not None:
            request.on_result(failure)


class BackendPool:
    """Pool connections to one backend server and reuse the last used one first."""

    def __init__(
        self,
        address: Address,
        poller: Poller,
        timers: Timers,
        attempt_header: bytes,
        max_connections: int,
        budget: TransferBudget | None = None,
    ):
        self.address = address
        self.poller = poller
        self._timers = timers
        self.attempt_header = attempt_header
        self.max_connections = max_connections
        self.budget = budget or TransferBudget()
        self._idle: list[_BackendConnection] = []
        self._connections: set[_BackendConnection] = set()
        self._buffered_bytes = 0

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._connections)

    @property
    def buffered_bytes(self) -> int:
        """Return the size of all answers in progress."""
        return self._buffered_bytes

    def set_max_connections(self, max_connections: int) -> None:
        """Set how many connections may be open; close idle ones beyond."""
        self.max_connections = max_connections
        while self._idle and len(self._connections) > max_connections:
            self._idle[0].close()

    def send(self, request: BackendRequest) -> None:
        """Send a request; its callback runs once, unless the request is aborted."""
        connection = self._pop_idle(current_time(), request.is_idempotent)
        if connection is not None:
            connection.send(request)
            return
        if len(self._connections) >= self.max_connections:
            detail = f"{self.max_connections} connections are open"
            request.on_result(BackendFailure(SendFault.NOT_CONNECTED, detail))
            return
        connection = request.connection = _BackendConnection(self, request)
        self._connections.add(connection)
        connection.connect()

    def abort(self, request: BackendRequest) -> bool:
        """Abort a request by closing its connection; return whether it was unsent."""
        connection = request.connection
        if connection is None:
            return False
        is_unsent = not connection.is_open
        connection.close()
        return is_unsent

    def probe(self, on_result: Callable[[bool], None]) -> None:
        """Report through a callback whether the backend server accepts connections."""

        def on_open(socket: sockets.socket) -> None:
            socket.close()
            on_result(True)

        def on_fault(error: OSError) -> None:
            # Other errors do not prove that the process has ended.
            on_result(error.errno != errno.ECONNREFUSED)

        when = self._timers.now() + PROBE_DELAY_S
        self._timers.call_at(when, lambda: self.connect(on_open, on_fault))

    def connect(
        self, on_open: SocketCallback, on_fault: ErrorCallback
    ) -> PendingConnection:
        """Open a connection; report an error after CONNECT_TIMEOUT_S at the latest."""
        pending_connection = PendingConnection(
            self.address, self.poller, on_open, on_fault
        )
        pending_connection.set_deadline(
            self._timers, self._timers.now() + CONNECT_TIMEOUT_S
        )
        return pending_connection

    def return_connection(
        self, connection: _BackendConnection, idle_timeout_s: float
    ) -> None:
        """Keep a connection for another request for at most the idle timeout."""
        connection.usable_until = current_time() + idle_timeout_s
        self._idle.append(connection)

    def set_buffered(self, connection: _BackendConnection, size: int) -> None:
        """Set what a connection holds of an answer; cut the largest over the bound."""
        self._buffered_bytes += size - connection.buffered_bytes
        connection.buffered_bytes = size
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            largest = max(self._connections, key=lambda c: c.buffered_bytes)
            largest.cut_answer(f"the answers are over {MAX_BUFFERED_BYTES} bytes")

    def remove(self, connection: _BackendConnection) -> None:
        """Remove a closed connection from the pool."""
        self._buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_expired(self, now: float) -> None:
        """Close idle connections that the backend server may soon close itself."""
        while self._idle and self._idle[0].usable_until <= now:
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _pop_idle(self, now: float, is_idempotent: bool) -> _BackendConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable_until > now and (
                is_idempotent or connection.has_no_input
            ):
                return connection
            connection.close()
        return None


def _idle_timeout_s(headers: Headers) -> float:
    """Return how long a connection may stay idle, from the Keep-Alive header."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                # More digits than an integer may have would raise an error.
                return int(seconds[:MAX_TIMEOUT_DIGITS]) * IDLE_TIMEOUT_FRACTION
    return DEFAULT_IDLE_TIMEOUT_S
