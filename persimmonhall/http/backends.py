"""Send requests to the local backend server; match its answers by attempt id."""

import errno
import socket as sockets
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import trio

from persimmonhall.address import Address
from persimmonhall.http.messages import LENGTH_HEADERS, NO_BODY_STATUSES, Headers
from persimmonhall.http.reading import AnswerReader, BadMessageError, Message
from persimmonhall.timers import Timers
from persimmonhall.wire.connecting import Connecting, FaultTaker, SocketTaker
from persimmonhall.wire.duplex import ENDED, Duplex
from persimmonhall.wire.readiness import Readiness

CONNECT_TIMEOUT_S = 0.5  # the backend server is on the same machine
# When a process dies, all its connections are reset within this time.
PROBE_DELAY_S = 0.02
MAX_HEADER_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 32 * 1024 * 1024
DEFAULT_IDLE_S = 4.0  # for servers that send no Keep-Alive timeout
# Of the timeout that the server announces, so that it never closes first.
IDLE_MARGIN = 0.7


class SendFault(Enum):
    """Classify why a request got no complete answer."""

    NOT_LISTENING = "notListening"
    NOT_CONNECTED = "notConnected"
    LOST = "lost"
    CUT = "cut"
    UNREADABLE = "unreadable"


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

    __slots__ = ("data", "attempt", "is_head", "may_repeat", "done", "connection")

    def __init__(
        self,
        data: bytes,
        attempt: bytes,
        done: Callable[[BackendResult], None],
        *,
        is_head: bool,
        may_repeat: bool,
    ):
        self.data = data
        self.attempt = attempt
        self.is_head = is_head
        self.may_repeat = may_repeat
        self.done = done
        self.connection: _Connection | None = None


class _Connection:
    """Carry one request at a time to a backend server."""

    def __init__(self, pool: "BackendPool", request: BackendRequest):
        self._pool = pool
        self._request: BackendRequest | None = request
        self._duplex: Duplex | None = None
        self._connecting: Connecting | None = None
        self._reader = AnswerReader(MAX_HEADER_BYTES)
        self._message: Message | None = None
        self._skipped = False
        self.usable_until = 0.0

    @property
    def is_quiet(self) -> bool:
        """Return whether neither data nor end of file has arrived."""
        return not self._duplex.readable

    def connect(self) -> None:
        """Connect and send the first request."""
        self._connecting = self._pool.connect(self._open, self._on_fault)

    def send(self, request: BackendRequest) -> None:
        """Send the next request."""
        self._request = request
        request.connection = self
        self._reader = AnswerReader(MAX_HEADER_BYTES)
        self._message = None
        self._duplex.send(request.data)

    def close(self) -> None:
        """Close the connection and drop its request."""
        self._request = None
        if self._duplex is not None:
            self._duplex.close()
        elif self._connecting is not None:
            self._connecting.cancel()
        self._pool.forget(self)

    def _on_fault(self, error: OSError) -> None:
        self._pool.forget(self)
        is_refused = error.errno == errno.ECONNREFUSED
        fault = SendFault.NOT_LISTENING if is_refused else SendFault.NOT_CONNECTED
        self._fail(BackendFailure(fault, str(error)))

    def _open(self, socket: sockets.socket) -> None:
        self._duplex = Duplex(socket, self._pool.readiness, self._on_data, self._on_end)
        self._duplex.send(self._request.data)

    def _on_data(self, data: bytes) -> None:
        if self._request is None:
            # Data without a request in progress: the connection can't be reused.
            self.close()
            return
        try:
            self._reader.feed(data)
            goes_on = self._take()
        except BadMessageError as error:
            goes_on = False
            self._fail(BackendFailure(SendFault.UNREADABLE, str(error)))
        if not goes_on:
            self.close()

    def _on_end(self, reason: str) -> None:
        self._pool.forget(self)
        if reason == ENDED:
            self._end()
        else:
            self._fail(self._broken(reason))

    def _take(self) -> bool:
        """Finish the request once its answer is complete; return whether to read on."""
        while True:
            if self._message is None:
                self._message = self._reader.take()
                if self._message is None:
                    return True
            message, request = self._message, self._request
            if message.size > MAX_ANSWER_BYTES:
                detail = f"the answer is over {MAX_ANSWER_BYTES} bytes"
                self._fail(BackendFailure(SendFault.CUT, detail))
                return False
            if not self._is_whole(message, request):
                self._reader.check()
                return True
            self._message = None
            if self._belongs(message, request):
                return self._finish(message)
            self._skipped = True

    def _is_whole(self, message: Message, request: BackendRequest) -> bool:
        if request.is_head or message.status in NO_BODY_STATUSES:
            return True
        return message.is_whole

    def _belongs(self, message: Message, request: BackendRequest) -> bool:
        name = self._pool.attempt_header
        return any(k == name and v == request.attempt for k, v in message.headers)

    def _finish(self, message: Message) -> bool:
        request, self._request = self._request, None
        is_clean = not self._reader.has_surplus and not self._skipped
        keeps = message.keeps_alive and is_clean and not request.is_head
        if keeps:
            self._pool.give_back(self, _idle_s(message.headers))
        request.done(BackendAnswer(message.status, message.headers, message.body))
        return keeps

    def _end(self) -> None:
        """Treat end of file as the end of an answer that has no length."""
        message, request = self._message, self._request
        if request is None:
            return
        if message is None:
            self._fail(self._broken("it ended before an answer"))
        elif any(name in LENGTH_HEADERS for name, _ in message.headers):
            self._fail(BackendFailure(SendFault.CUT, "it ended within the answer"))
        elif not self._belongs(message, request):
            self._fail(self._broken("it ended after the answer to another request"))
        else:
            self._request = None
            request.done(BackendAnswer(message.status, message.headers, message.body))

    def _broken(self, reason: str) -> BackendFailure:
        fault = SendFault.CUT if self._message is not None else SendFault.LOST
        return BackendFailure(fault, reason or "the connection was reset")

    def _fail(self, failure: BackendFailure) -> None:
        request, self._request = self._request, None
        if request is not None:
            request.done(failure)


class BackendPool:
    """Pool connections to one backend server and reuse the last used one first."""

    def __init__(
        self,
        address: Address,
        readiness: Readiness,
        timers: Timers,
        attempt_header: bytes,
        max_connections: int,
    ):
        self.address = address
        self.readiness = readiness
        self._timers = timers
        self.attempt_header = attempt_header
        self._max_connections = max_connections
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()

    def send(self, request: BackendRequest) -> None:
        """Send a request; its callback runs once, unless the request is aborted."""
        connection = self._take_idle(trio.current_time(), request.may_repeat)
        if connection is not None:
            connection.send(request)
            return
        if len(self._open) >= self._max_connections:
            detail = f"{self._max_connections} connections are open"
            request.done(BackendFailure(SendFault.NOT_CONNECTED, detail))
            return
        connection = request.connection = _Connection(self, request)
        self._open.add(connection)
        connection.connect()

    def abort(self, request: BackendRequest) -> None:
        """Abort a request by closing its connection to the backend server."""
        if request.connection is not None:
            request.connection.close()

    def probe(self, done: Callable[[bool], None]) -> None:
        """Report through a callback whether the backend server accepts connections."""

        def on_open(socket: sockets.socket) -> None:
            socket.close()
            done(True)

        def on_fault(error: OSError) -> None:
            # Other errors do not prove that the process has ended.
            done(error.errno != errno.ECONNREFUSED)

        when = self._timers.now() + PROBE_DELAY_S
        self._timers.call_at(when, lambda: self.connect(on_open, on_fault))

    def connect(self, on_open: SocketTaker, on_fault: FaultTaker) -> Connecting:
        """Open a connection; report an error after CONNECT_TIMEOUT_S at the latest."""
        connecting = Connecting(self.address, self.readiness, on_open, on_fault)
        connecting.limit(self._timers, self._timers.now() + CONNECT_TIMEOUT_S)
        return connecting

    def give_back(self, connection: _Connection, idle_s: float) -> None:
        """Keep a connection for another request for at most the idle timeout."""
        connection.usable_until = trio.current_time() + idle_s
        self._idle.append(connection)

    def forget(self, connection: _Connection) -> None:
        """Remove a closed connection from the pool."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self, now: float) -> None:
        """Close idle connections that the backend server may soon close itself."""
        while self._idle and self._idle[0].usable_until <= now:
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self, now: float, may_repeat: bool) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable_until > now and (may_repeat or connection.is_quiet):
                return connection
            connection.close()
        return None


def _idle_s(headers: Headers) -> float:
    """Return how long a connection may stay idle, from the Keep-Alive header."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                return int(seconds) * IDLE_MARGIN
    return DEFAULT_IDLE_S
