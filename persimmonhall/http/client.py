"""Send requests to backend servers over HTTP/1.1 on trio."""

import math
from collections import defaultdict
from typing import Protocol

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.head_encoder import encode_request_head
from persimmonhall.http.message_reader import AnswerReader, BadMessageError, Message
from persimmonhall.http.messages import (
    LENGTH_HEADERS,
    NO_BODY_STATUSES,
    HttpAnswer,
    HttpRequest,
    end_to_end_headers,
)
from persimmonhall.wire.answer_memory import AnswerReservation
from persimmonhall.wire.direct_stream import DirectStream

CONNECT_TIMEOUT_S = 1.0
SINGLE_USE_S = 600.0
RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS", "TRACE"})


class HttpClient(Protocol):
    """Send requests to addresses and return complete answers."""

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        max_answer_bytes: int,
        reservation: AnswerReservation | None = None,
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request and return its complete answer."""


class _ClientConnection:
    """Carry one request at a time on one connection."""

    def __init__(self, address: Address, stream: DirectStream):
        self._address = address
        self._stream = stream
        self._is_idle = True
        self._has_read_surplus = False

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        # A readable idle connection has been closed by its peer.
        return self._is_idle and not self._stream.is_readable

    @property
    def has_surplus_answer(self) -> bool:
        """Return whether the server sent more than the answer to each request."""
        if self._has_read_surplus:
            return True
        # What arrives after a request that was given up is its own late answer.
        has_unread_input = self._stream.is_readable
        return self._is_idle and has_unread_input and not self._stream.is_closed_by_peer

    async def close(self) -> None:
        """Close the connection at once."""
        await self._stream.aclose()

    async def exchange(
        self,
        request: HttpRequest,
        data: bytes,
        max_answer_bytes: int,
        reservation: AnswerReservation | None,
    ) -> Result[HttpAnswer, Refusal]:
        """Send an encoded request and return its complete answer."""
        self._is_idle = False
        reader = AnswerReader(MAX_HEADER_BYTES)
        # A server may answer and close before it has read the entire body.
        try:
            await self._stream.send_all(data)
        except CONNECTION_ERRORS:
            pass
        try:
            message = await self._read_head(reader)
        except (*CONNECTION_ERRORS, BadMessageError) as error:
            return Failure(self._connection_lost(error))
        if message is None:
            return Failure(self._connection_lost("it ended before an answer"))
        return await self._read_answer(
            reader, message, request, max_answer_bytes, reservation
        )

    async def _read_head(self, reader: AnswerReader) -> Message | None:
        while (message := reader.next_message()) is None:
            data = await self._stream.receive_some(RECEIVE_BUFFER_BYTES)
            if not data:
                return None
            reader.feed(data)
        return message

    async def _read_answer(
        self,
        reader: AnswerReader,
        message: Message,
        request: HttpRequest,
        max_answer_bytes: int,
        reservation: AnswerReservation | None,
    ) -> Result[HttpAnswer, Refusal]:
        if not _is_self_delimiting(message, request):
            return _truncated_answer("the answer has neither length nor chunks")
        has_body = request.method != "HEAD"
        if has_body and message.content_length > max_answer_bytes:
            return _answer_too_large(max_answer_bytes)
        if reservation is not None and has_body:
            await reservation.grow_to(max(message.content_length, message.body_size))
        while (
            has_body
            and not message.is_complete
            and message.body_size <= max_answer_bytes
        ):
            if reservation is not None:
                await reservation.grow_to(message.body_size)
            try:
                reader.raise_if_failed()
                data = await self._stream.receive_some(RECEIVE_BUFFER_BYTES)
            except (*CONNECTION_ERRORS, BadMessageError) as error:
                return _truncated_answer(str(error) or "reset")
            if not data:
                return _truncated_answer("it ended before the whole body")
            reader.feed(data)
        if message.body_size > max_answer_bytes:
            return _answer_too_large(max_answer_bytes)
        # Bytes after the end of an answer must not be read as the next answer.
        closes_connection = not message.keeps_alive or _asks_to_close(request)
        self._is_idle = not closes_connection and _is_fully_read(
            reader, message, request
        )
        self._has_read_surplus = message.is_complete and reader.has_surplus_data
        headers = end_to_end_headers(message.headers)
        return Success(HttpAnswer(message.status, headers, message.body))

    def _connection_lost(self, reason: object) -> Refusal:
        detail = f"connection to {self._address} lost: {reason}"
        return refuse(ErrorKind.CONNECTION_LOST, detail, ran=Ran.UNKNOWN)


def _encode_request(request: HttpRequest, address: Address) -> bytes:
    headers = [(k, v) for k, v in request.headers if k not in LENGTH_HEADERS]
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"host", str(address).encode()))
    if request.body or request.method not in NO_BODY_METHODS:
        headers.append((b"content-length", b"%d" % len(request.body)))
    head = encode_request_head(request.method, request.target, headers)
    return head + request.body


def _truncated_answer(detail: str) -> Result[HttpAnswer, Refusal]:
    return Failure(refuse(ErrorKind.ANSWER_CUT, detail))


def _answer_too_large(max_answer_bytes: int) -> Result[HttpAnswer, Refusal]:
    detail = f"the answer is over {max_answer_bytes} bytes"
    return Failure(refuse(ErrorKind.ANSWER_TOO_LARGE, detail))


def _asks_to_close(request: HttpRequest) -> bool:
    return any(name == b"connection" for name, _ in request.headers)


def _is_fully_read(
    reader: AnswerReader, message: Message, request: HttpRequest
) -> bool:
    if request.method == "HEAD":
        # Content-Length is that of the answer to a GET; no body follows.
        is_chunked = any(name == b"transfer-encoding" for name, _ in message.headers)
        return not message.body_size and not is_chunked
    return message.is_complete and not reader.has_surplus_data


def _is_self_delimiting(message: Message, request: HttpRequest) -> bool:
    if request.method == "HEAD" or message.status in NO_BODY_STATUSES:
        return True
    return any(name in LENGTH_HEADERS for name, _ in message.headers)


class PooledClient:
    """Pool connections to each address and reuse the last used one first."""

    def __init__(self, max_connections: int):
        self._idle: dict[Address, list[_ClientConnection]] = defaultdict(list)
        # Servers that send surplus answers get one request a connection: without an
        # id in it, a late copy is not told from the answer to the next request.
        self._single_use_until: dict[Address, float] = {}
        self._connection_limiter = trio.CapacityLimiter(max_connections)

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        max_answer_bytes: int,
        reservation: AnswerReservation | None = None,
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request and return its complete answer."""
        try:
            data = _encode_request(request, address)
        except ValueError as error:
            return Failure(refuse(ErrorKind.BAD_REQUEST, str(error)))
        async with self._connection_limiter:
            # The server may close an idle connection at any time, so no other work
            # comes between the check of the connection and the first byte sent.
            connection = await self._get_connection(address)
            if connection is None:
                detail = f"no connection to {address}"
                return Failure(refuse(ErrorKind.CONNECT_FAILED, detail))
            try:
                return await connection.exchange(
                    request, data, max_answer_bytes, reservation
                )
            finally:
                await self._return_connection(address, connection)

    async def _get_connection(self, address: Address) -> _ClientConnection | None:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_reusable and not self._is_single_use(address):
                return connection
            await self._discard(address, connection)
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                return None
            return _ClientConnection(address, DirectStream(stream))
        return None

    async def _return_connection(
        self, address: Address, connection: _ClientConnection
    ) -> None:
        if connection.is_reusable and not self._is_single_use(address):
            self._idle[address].append(connection)
            return
        await self._discard(address, connection)

    async def _discard(self, address: Address, connection: _ClientConnection) -> None:
        if connection.has_surplus_answer:
            self._single_use_until[address] = trio.current_time() + SINGLE_USE_S
            logging.warning("surplus answer from %s: connections not reused", address)
        await connection.close()

    def _is_single_use(self, address: Address) -> bool:
        return trio.current_time() < self._single_use_until.get(address, -math.inf)

    async def aclose(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()
        self._idle.clear()
