"""Read the requests of one HTTP/1.1 connection and write their answers."""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.head_encoder import CONTINUE_ANSWER, encode_answer_head
from persimmonhall.http.message_reader import (
    BadMessageError,
    Message,
    RequestReader,
    to_http_request,
)
from persimmonhall.http.messages import (
    LENGTH_HEADERS,
    NO_BODY_STATUSES,
    HttpAnswer,
    HttpHandler,
    HttpRequest,
)
from persimmonhall.wire.direct_stream import DirectStream

RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT_S = 60.0
READ_TIMEOUT_S = 20.0
SHUTDOWN_HEAD_TIMEOUT_S = 0.5
WRITE_TIMEOUT_S = 20.0
WRITE_CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True)
class ServerLimits:
    """Limit the message sizes and waiting times of one connection."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = 32 * 1024 * 1024
    idle_timeout_s: float = IDLE_TIMEOUT_S
    read_timeout_s: float = READ_TIMEOUT_S


RefusalWriter = Callable[[Refusal], HttpAnswer]


class _RequestRefusedError(Exception):
    """Signal a request that can't be read, with its refusal."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


class ServerConnection:
    """Read the requests of one connection and write their answers."""

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
        self._reader = RequestReader(limits.max_header_bytes)
        self._idle_scope: trio.CancelScope | None = None
        self._request_scope: trio.CancelScope | None = None
        self._has_hung_up = False
        self._has_answered = False

    def handle_hangup(self) -> None:
        """Cancel the request in progress because its caller has disconnected."""
        self._has_hung_up = True
        if self._request_scope is not None:
            self._request_scope.cancel()

    def stop_if_idle(self) -> None:
        """Close the connection unless a request is in progress or expected."""
        if self._idle_scope is None or self._stream.is_readable:
            return
        if not self._has_answered:
            # The caller has just connected; its first request is on the way.
            self._idle_scope.deadline = trio.current_time() + SHUTDOWN_HEAD_TIMEOUT_S
            return
        # Shut down at once, so that no request arrives between the check and the close.
        self._stream.shut_down()
        self._idle_scope.cancel()

    async def run(self, before_close: Callable[[], None]) -> None:
        """Serve requests until the connection ends."""
        try:
            # A connection accepted during shutdown still gets its first answer.
            while await self._serve_request() and not self._stop.is_set():
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            before_close()
            await self._stream.aclose()

    async def _serve_request(self) -> bool:
        try:
            message = await self._read_message()
        except _RequestRefusedError as error:
            await self._refuse(error.refusal)
            return False
        if message is None:
            return False
        answer = await self._answer_unless_hung_up(to_http_request(message))
        if answer is None:
            return False
        try:
            await self._write(
                answer,
                is_head=message.method == "HEAD",
                closes_connection=not message.keeps_alive,
            )
        finally:
            answer.close()
        self._has_answered = True
        return message.keeps_alive and not _asks_to_close(answer)

    async def _read_message(self) -> Message | None:
        message = await self._wait_for_head()
        if message is None:
            return None
        if not message.is_complete:
            await self._wait_for_body(message)
        self._check_size(message)
        return message

    async def _wait_for_head(self) -> Message | None:
        message = self._next_message()
        if message is not None:
            return message
        timeout_s = self._limits.idle_timeout_s
        if self._stop.is_set():
            timeout_s = SHUTDOWN_HEAD_TIMEOUT_S
        with trio.move_on_after(timeout_s) as self._idle_scope:
            while message is None:
                if not await self._receive():
                    return None
                message = self._next_message()
        return message

    def _next_message(self) -> Message | None:
        try:
            return self._reader.next_message()
        except BadMessageError as error:
            raise _to_request_refused(error) from error

    async def _wait_for_body(self, message: Message) -> None:
        if message.expects_continue and not message.body_size:
            await self._stream.send_all(CONTINUE_ANSWER)
        with trio.move_on_after(self._limits.read_timeout_s) as scope:
            while not message.is_complete:
                self._check_body(message)
                await self._receive()
        if scope.cancelled_caught:
            raise _RequestRefusedError(
                refuse(ErrorKind.BAD_REQUEST, "the request body did not arrive in time")
            )

    def _check_body(self, message: Message) -> None:
        self._check_size(message)
        try:
            self._reader.raise_if_failed()
        except BadMessageError as error:
            raise _to_request_refused(error) from error

    def _check_size(self, message: Message) -> None:
        if message.body_size > self._limits.max_body_bytes:
            detail = f"the body is over {self._limits.max_body_bytes} bytes"
            raise _RequestRefusedError(refuse(ErrorKind.BODY_TOO_LARGE, detail))

    async def _receive(self) -> bool:
        """Read the next bytes; return whether there were any."""
        data = await self._stream.receive_some(RECEIVE_BUFFER_BYTES)
        if data:
            self._idle_scope = None
            self._reader.feed(data)
            return True
        if self._reader.is_mid_message:
            raise _RequestRefusedError(
                refuse(ErrorKind.BAD_REQUEST, "the request ended half-way")
            )
        return False

    async def _answer_unless_hung_up(self, request: HttpRequest) -> HttpAnswer | None:
        with trio.CancelScope() as self._request_scope:
            # After a process pause the request and the hang-up may arrive together,
            # before HangupWatch has run.
            if self._has_hung_up or self._stream.is_closed_by_peer:
                return None
            return await self._answer(request)
        return None

    async def _answer(self, request: HttpRequest) -> HttpAnswer:
        try:
            return await self._handler(request)
        except Exception:
            # An error in one request must not end the process.
            logging.exception("request failed target=%s", request.target)
            detail = "internal error while handling the request"
            return self._write_refusal(refuse(ErrorKind.INTERNAL, detail))

    async def _refuse(self, refusal: Refusal) -> None:
        logging.info("request refused error=%s %s", refusal.kind.value, refusal.detail)
        await self._write(
            self._write_refusal(refusal), is_head=False, closes_connection=True
        )

    async def _write(
        self, answer: HttpAnswer, *, is_head: bool, closes_connection: bool
    ) -> None:
        headers = [(k, v) for k, v in answer.headers if k not in LENGTH_HEADERS]
        headers.append((b"content-length", b"%d" % len(answer.body)))
        if closes_connection or self._stop.is_set() or self._draining.is_set():
            headers.append((b"connection", b"close"))
        data = encode_answer_head(answer.status, headers)
        has_body = not is_head and answer.status not in NO_BODY_STATUSES
        body = answer.body if has_body else b""
        if len(body) <= WRITE_CHUNK_BYTES:
            await self._stream.send_all(data + body)
            return
        await self._stream.send_all(data)
        await self._write_body(memoryview(body))

    async def _write_body(self, body: memoryview) -> None:
        # A caller that stops reading must not keep an answer in memory forever.
        for start in range(0, len(body), WRITE_CHUNK_BYTES):
            with trio.move_on_after(WRITE_TIMEOUT_S) as scope:
                await self._stream.send_all(body[start : start + WRITE_CHUNK_BYTES])
            if scope.cancelled_caught:
                logging.info("caller stopped reading its answer; connection closed")
                raise trio.BrokenResourceError("the caller stopped reading")


def _to_request_refused(error: BadMessageError) -> _RequestRefusedError:
    kind = (
        ErrorKind.HEADER_TOO_LARGE if error.is_head_too_long else ErrorKind.BAD_REQUEST
    )
    return _RequestRefusedError(refuse(kind, str(error)))


def _asks_to_close(answer: HttpAnswer) -> bool:
    return any(k == b"connection" and v == b"close" for k, v in answer.headers)
