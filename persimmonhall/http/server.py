"""Serve a handler over HTTP/1.1 with h11 on trio."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import h11
import trio
from absl import logging

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.accepting import accept_each, accept_rest
from persimmonhall.http.hangup import HangupWatch
from persimmonhall.http.messages import HttpAnswer, HttpHandler, HttpRequest
from persimmonhall.wire.direct_stream import DirectStream

RECEIVE_BYTES = 64 * 1024
MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT_S = 60.0
READ_TIMEOUT_S = 20.0
LAST_HEAD_TIMEOUT_S = 0.5
WRITE_TIMEOUT_S = 20.0
WRITE_BYTES = 64 * 1024
BACKLOG = 1024


@dataclass(frozen=True)
class ServerLimits:
    """Bound what one connection may send."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = 32 * 1024 * 1024
    idle_timeout_s: float = IDLE_TIMEOUT_S
    read_timeout_s: float = READ_TIMEOUT_S


RefusalWriter = Callable[[Refusal], HttpAnswer]


class _RequestRefusedError(Exception):
    """Carry the refusal of a request that could not be read."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


class _ServerConnection:
    """Read requests of one connection and write their answers."""

    def __init__(
        self,
        stream: DirectStream,
        handler: HttpHandler,
        write_refusal: RefusalWriter,
        limits: ServerLimits,
        stop: trio.Event,
        draining: trio.Event,
    ):
        self._stream = stream
        self._handler = handler
        self._write_refusal = write_refusal
        self._limits = limits
        self._stop = stop
        self._draining = draining
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._idle_scope: trio.CancelScope | None = None
        self._request_scope: trio.CancelScope | None = None
        self._gone = False
        self._has_answered = False

    def hang_up(self) -> None:
        """Cancel the request in progress, for its caller is gone."""
        self._gone = True
        if self._request_scope is not None:
            self._request_scope.cancel()

    def stop_if_idle(self) -> None:
        """Close the connection unless a request is in progress or expected."""
        if self._idle_scope is None or self._stream.readable:
            return
        if not self._has_answered:
            # Its caller connected to send a request, which is on its way.
            self._idle_scope.deadline = trio.current_time() + LAST_HEAD_TIMEOUT_S
            return
        # At once: a request must not arrive between the look and the end.
        self._stream.shut_down()
        self._idle_scope.cancel()

    async def run(self, before_close: Callable[[], None]) -> None:
        """Serve requests until the connection ends."""
        try:
            # A connection accepted at the stop still gets its first answer.
            while await self._serve_one() and not self._stop.is_set():
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            before_close()
            await self._stream.aclose()

    async def _serve_one(self) -> bool:
        try:
            request = await self._read_request()
        except _RequestRefusedError as error:
            await self._refuse(error.refusal)
            return False
        if request is None:
            return False
        answer = await self._answer_unless_gone(request)
        if answer is None:
            return False
        try:
            await self._write(answer, head=request.method == "HEAD")
        finally:
            answer.close()
        self._has_answered = True
        if self._http.our_state is h11.MUST_CLOSE:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    async def _read_request(self) -> HttpRequest | None:
        head = await self._wait_for_head()
        if head is None:
            return None
        if self._http.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._http.send(go_ahead))
        with trio.move_on_after(self._limits.read_timeout_s) as scope:
            body = await self._read_body()
        if scope.cancelled_caught:
            raise _RequestRefusedError(
                refuse(ErrorKind.BAD_REQUEST, "the request body did not arrive in time")
            )
        return HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            tuple(head.headers),
            body,
        )

    async def _wait_for_head(self) -> h11.Request | None:
        timeout_s = self._limits.idle_timeout_s
        if self._stop.is_set():
            timeout_s = LAST_HEAD_TIMEOUT_S
        with trio.move_on_after(timeout_s) as self._idle_scope:
            event = await self._next_event(may_end=True)
            self._idle_scope = None
            return event if isinstance(event, h11.Request) else None
        return None

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event(may_end=False)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            size += len(event.data)
            if size > self._limits.max_body_bytes:
                detail = f"the body is over {self._limits.max_body_bytes} bytes"
                raise _RequestRefusedError(refuse(ErrorKind.BODY_TOO_LARGE, detail))
            parts.append(bytes(event.data))

    async def _next_event(self, *, may_end: bool):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                kind = (
                    ErrorKind.HEADER_TOO_LARGE
                    if error.error_status_hint == 431
                    else ErrorKind.BAD_REQUEST
                )
                raise _RequestRefusedError(refuse(kind, str(error))) from error
            if event is not h11.NEED_DATA:
                break
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if data and self._idle_scope is not None:
                self._idle_scope = None
            self._http.receive_data(data)
        if isinstance(event, h11.ConnectionClosed) and not may_end:
            raise _RequestRefusedError(
                refuse(ErrorKind.BAD_REQUEST, "the request ended half-way")
            )
        return event

    async def _answer_unless_gone(self, request: HttpRequest) -> HttpAnswer | None:
        with trio.CancelScope() as self._request_scope:
            # The watch runs later if a stall let the hang-up arrive with the request.
            if self._gone or self._stream.hung_up:
                return None
            return await self._answer(request)
        return None

    async def _answer(self, request: HttpRequest) -> HttpAnswer:
        try:
            return await self._handler(request)
        except Exception:
            # A fault met by one request must not end the process.
            logging.exception("request failed target=%s", request.target)
            detail = "the request met a fault of the system"
            return self._write_refusal(refuse(ErrorKind.INTERNAL, detail))

    async def _refuse(self, refusal: Refusal) -> None:
        logging.info("request refused error=%s %s", refusal.kind.value, refusal.detail)
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        answer = self._write_refusal(refusal)
        closing = HttpAnswer(
            answer.status, (*answer.headers, (b"connection", b"close")), answer.body
        )
        await self._write(closing, head=False)

    async def _write(self, answer: HttpAnswer, *, head: bool) -> None:
        headers = [(k, v) for k, v in answer.headers if k != b"content-length"]
        headers.append((b"content-length", str(len(answer.body)).encode()))
        if self._stop.is_set() or self._draining.is_set():
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=answer.status, headers=headers)
        data = self._http.send(response)
        body = b""
        if answer.body and not head:
            body = self._http.send(h11.Data(data=answer.body))
        self._http.send(h11.EndOfMessage())
        if len(body) <= WRITE_BYTES:
            await self._stream.send_all(data + body)
            return
        await self._stream.send_all(data)
        await self._write_body(memoryview(body))

    async def _write_body(self, body: memoryview) -> None:
        # A caller that reads nothing must not keep an answer in memory for ever.
        for start in range(0, len(body), WRITE_BYTES):
            with trio.move_on_after(WRITE_TIMEOUT_S) as scope:
                await self._stream.send_all(body[start : start + WRITE_BYTES])
            if scope.cancelled_caught:
                logging.info("caller reads no answer; the connection is closed")
                raise trio.BrokenResourceError("the caller reads nothing")


async def serve_http(
    handler: HttpHandler,
    address: Address,
    stop: trio.Event,
    *,
    write_refusal: RefusalWriter,
    limits: ServerLimits = ServerLimits(),
    draining: trio.Event | None = None,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a handler until stop is set and requests in flight have ended."""
    # Once draining is set, answers ask callers to close their connections.
    [listener] = await trio.open_tcp_listeners(
        address.port, host=address.host, backlog=BACKLOG
    )
    connections: set[_ServerConnection] = set()
    hangups = HangupWatch()
    connect = partial(
        _ServerConnection,
        handler=handler,
        write_refusal=write_refusal,
        limits=limits,
        stop=stop,
        draining=stop if draining is None else draining,
    )

    async def serve(stream: DirectStream) -> None:
        connection = connect(stream)
        connections.add(connection)
        hangups.add(stream.fd, connection.hang_up)
        try:
            await connection.run(partial(hangups.remove, stream.fd))
        finally:
            connections.discard(connection)

    try:
        async with trio.open_nursery() as watching:
            watching.start_soon(hangups.run)
            async with trio.open_nursery() as nursery:

                def take(stream: trio.SocketStream) -> None:
                    nursery.start_soon(serve, DirectStream(stream))

                async with trio.open_nursery() as accepting:
                    accepting.start_soon(accept_each, listener, take)
                    task_status.started(Address(*listener.socket.getsockname()[:2]))
                    await stop.wait()
                    accepting.cancel_scope.cancel()
                for stream in accept_rest(listener):
                    take(stream)
                for connection in tuple(connections):
                    connection.stop_if_idle()
            watching.cancel_scope.cancel()
    finally:
        hangups.close()
