"""Send requests to backend servers with h11 on trio."""

from collections import defaultdict
from typing import Protocol

import h11
import trio
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.messages import HttpAnswer, HttpRequest, end_to_end
from persimmonhall.wire.direct_stream import DirectStream

CONNECT_TIMEOUT_S = 1.0
RECEIVE_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
NO_BODY_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS", "TRACE"})
NO_BODY_STATUSES = frozenset({204, 304})


class HttpClient(Protocol):
    """Send a request to an address and return its whole answer."""

    async def send(
        self, address: Address, request: HttpRequest, max_answer_bytes: int
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request and return its whole answer."""


class _ClientConnection:
    """Send one request at a time on one connection."""

    def __init__(self, address: Address, stream: DirectStream):
        self._address = address
        self._stream = stream
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )

    @property
    def reusable(self) -> bool:
        """Tell whether another request may be sent."""
        # An idle connection that can be read has been closed by its peer.
        return self._http.our_state is h11.IDLE and not self._stream.readable

    async def close(self) -> None:
        """Close the connection at once."""
        await self._stream.aclose()

    async def exchange(
        self, request: HttpRequest, limit: int
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request and return its whole answer."""
        # A server may answer and close before it has read the whole body.
        try:
            await self._stream.send_all(self._encode(request))
        except BROKEN:
            pass
        try:
            head = await self._read_head()
        except (*BROKEN, h11.RemoteProtocolError) as error:
            return Failure(self._lost(error))
        if head is None:
            return Failure(self._lost("it ended before an answer"))
        return await self._read_answer(head, request, limit)

    def _encode(self, request: HttpRequest) -> bytes:
        headers = [(k, v) for k, v in request.headers if k != b"content-length"]
        if not any(name == b"host" for name, _ in headers):
            headers.append((b"host", str(self._address).encode()))
        if request.body or request.method not in NO_BODY_METHODS:
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._http.send(head)
        if request.body:
            data += self._http.send(h11.Data(data=request.body))
        return data + self._http.send(h11.EndOfMessage())

    async def _read_head(self) -> h11.Response | None:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            return event if isinstance(event, h11.Response) else None

    async def _read_answer(
        self, head: h11.Response, request: HttpRequest, limit: int
    ) -> Result[HttpAnswer, Refusal]:
        headers = tuple(head.headers)
        if not _end_is_marked(head, request):
            detail = "the answer has neither length nor chunks"
            return Failure(refuse(ErrorKind.ANSWER_CUT, detail))
        parts: list[bytes] = []
        size = 0
        while True:
            try:
                event = await self._next_event()
            except (*BROKEN, h11.RemoteProtocolError) as error:
                return Failure(refuse(ErrorKind.ANSWER_CUT, str(error) or "reset"))
            if not isinstance(event, h11.Data):
                break
            size += len(event.data)
            if size > limit:
                detail = f"the answer is over {limit} bytes"
                return Failure(refuse(ErrorKind.ANSWER_TOO_LARGE, detail))
            parts.append(bytes(event.data))
        self._prepare_next()
        return Success(
            HttpAnswer(head.status_code, end_to_end(headers), b"".join(parts))
        )

    def _prepare_next(self) -> None:
        # Bytes past the end of an answer must not become the next answer.
        surplus, _ = self._http.trailing_data
        if surplus:
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

    async def _next_event(self):
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._stream.receive_some(RECEIVE_BYTES))

    def _lost(self, reason: object) -> Refusal:
        detail = f"connection to {self._address} lost: {reason}"
        return refuse(ErrorKind.CONNECTION_LOST, detail, ran=Ran.UNKNOWN)


def _end_is_marked(head: h11.Response, request: HttpRequest) -> bool:
    if request.method == "HEAD" or head.status_code in NO_BODY_STATUSES:
        return True
    names = {name for name, _ in head.headers}
    return b"content-length" in names or b"transfer-encoding" in names


class PooledClient:
    """Keep idle connections to each address and reuse the latest."""

    def __init__(self, max_connections: int):
        self._idle: dict[Address, list[_ClientConnection]] = defaultdict(list)
        self._permits = trio.CapacityLimiter(max_connections)

    async def send(
        self, address: Address, request: HttpRequest, max_answer_bytes: int
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request and return its whole answer."""
        async with self._permits:
            connection = await self._take(address)
            if connection is None:
                detail = f"no connection to {address}"
                return Failure(refuse(ErrorKind.CONNECT_FAILED, detail))
            try:
                return await connection.exchange(request, max_answer_bytes)
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
