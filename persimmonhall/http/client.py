"""Send requests to backend servers over HTTP/1.1 on trio."""

from collections import defaultdict
from typing import Protocol

import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.messages import (
    LENGTH_HEADERS,
    NO_BODY_STATUSES,
    HttpAnswer,
    HttpRequest,
    end_to_end,
)
from persimmonhall.http.reading import AnswerReader, BadMessageError, Message
from persimmonhall.http.writing import encode_request_head
from persimmonhall.wire.answer_memory import Holding
from persimmonhall.wire.direct_stream import DirectStream

CONNECT_TIMEOUT_S = 1.0
RECEIVE_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS", "TRACE"})


class HttpClient(Protocol):
    """Send requests to addresses and return complete answers."""

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        max_answer_bytes: int,
        holding: Holding | None = None,
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request and return its complete answer."""


class _ClientConnection:
    """Carry one request at a time on one connection."""

    def __init__(self, address: Address, stream: DirectStream):
        self._address = address
        self._stream = stream
        self._idle = True

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent."""
        # A readable idle connection has been closed by its peer.
        return self._idle and not self._stream.readable

    async def close(self) -> None:
        """Close the connection at once."""
        await self._stream.aclose()

    async def exchange(
        self,
        request: HttpRequest,
        data: bytes,
        limit: int,
        holding: Holding | None,
    ) -> Result[HttpAnswer, Refusal]:
        """Send an encoded request and return its complete answer."""
        self._idle = False
        reader = AnswerReader(MAX_HEADER_BYTES)
        # A server may answer and close before it has read the entire body.
        try:
            await self._stream.send_all(data)
        except BROKEN:
            pass
        try:
            message = await self._read_head(reader)
        except (*BROKEN, BadMessageError) as error:
            return Failure(self._lost(error))
        if message is None:
            return Failure(self._lost("it ended before an answer"))
        return await self._read_answer(reader, message, request, limit, holding)

    async def _read_head(self, reader: AnswerReader) -> Message | None:
        while (message := reader.take()) is None:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return None
            reader.feed(data)
        return message

    async def _read_answer(
        self,
        reader: AnswerReader,
        message: Message,
        request: HttpRequest,
        limit: int,
        holding: Holding | None,
    ) -> Result[HttpAnswer, Refusal]:
        if not _end_is_marked(message, request):
            return _cut("the answer has neither length nor chunks")
        has_body = request.method != "HEAD"
        if has_body and message.announced_size > limit:
            return _too_large(limit)
        if holding is not None and has_body:
            await holding.grow_to(max(message.announced_size, message.size))
        while has_body and not message.is_whole and message.size <= limit:
            if holding is not None:
                await holding.grow_to(message.size)
            try:
                reader.check()
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (*BROKEN, BadMessageError) as error:
                return _cut(str(error) or "reset")
            if not data:
                return _cut("it ended before the whole body")
            reader.feed(data)
        if message.size > limit:
            return _too_large(limit)
        # Bytes after the end of an answer must not be read as the next answer.
        is_last = not message.keeps_alive or _asks_to_close(request)
        self._idle = not is_last and _is_read_up(reader, message, request)
        headers = end_to_end(message.headers)
        return Success(HttpAnswer(message.status, headers, message.body))

    def _lost(self, reason: object) -> Refusal:
        detail = f"connection to {self._address} lost: {reason}"
        return refuse(ErrorKind.CONNECTION_LOST, detail, ran=Ran.UNKNOWN)


def _encode(request: HttpRequest, address: Address) -> bytes:
    headers = [(k, v) for k, v in request.headers if k not in LENGTH_HEADERS]
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"host", str(address).encode()))
    if request.body or request.method not in NO_BODY_METHODS:
        headers.append((b"content-length", b"%d" % len(request.body)))
    head = encode_request_head(request.method, request.target, headers)
    return head + request.body


def _cut(detail: str) -> Result[HttpAnswer, Refusal]:
    return Failure(refuse(ErrorKind.ANSWER_CUT, detail))


def _too_large(limit: int) -> Result[HttpAnswer, Refusal]:
    detail = f"the answer is over {limit} bytes"
    return Failure(refuse(ErrorKind.ANSWER_TOO_LARGE, detail))


def _asks_to_close(request: HttpRequest) -> bool:
    return any(name == b"connection" for name, _ in request.headers)


def _is_read_up(reader: AnswerReader, message: Message, request: HttpRequest) -> bool:
    if request.method == "HEAD":
        # Content-Length is that of the answer to a GET; no body follows.
        is_chunked = any(name == b"transfer-encoding" for name, _ in message.headers)
        return not message.size and not is_chunked
    return message.is_whole and not reader.has_surplus


def _end_is_marked(message: Message, request: HttpRequest) -> bool:
    if request.method == "HEAD" or message.status in NO_BODY_STATUSES:
        return True
    return any(name in LENGTH_HEADERS for name, _ in message.headers)


class PooledClient:
    """Pool connections to each address and reuse the last used one first."""

    def __init__(self, max_connections: int):
        self._idle: dict[Address, list[_ClientConnection]] = defaultdict(list)
        self._permits = trio.CapacityLimiter(max_connections)

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        max_answer_bytes: int,
        holding: Holding | None = None,
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request and return its complete answer."""
        try:
            data = _encode(request, address)
        except ValueError as error:
            return Failure(refuse(ErrorKind.BAD_REQUEST, str(error)))
        async with self._permits:
            # The server may close an idle connection at any time, so no other work
            # comes between the check of the connection and the first byte sent.
            connection = await self._take(address)
            if connection is None:
                detail = f"no connection to {address}"
                return Failure(refuse(ErrorKind.CONNECT_FAILED, detail))
            try:
                return await connection.exchange(
                    request, data, max_answer_bytes, holding
                )
            finally:
                await self._give_back(address, connection)

    async def _take(self, address: Address) -> _ClientConnection | None:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
            await connection.close()
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                return None
            return _ClientConnection(address, DirectStream(stream))
        return None

    async def _give_back(self, address: Address, connection: _ClientConnection) -> None:
        if connection.reusable:
            self._idle[address].append(connection)
            return
        await connection.close()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()
        self._idle.clear()
