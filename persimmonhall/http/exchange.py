"""Represent one request of a caller's connection and its answer."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from persimmonhall.errors import Refusal
from persimmonhall.http.body_budget import HeldBody
from persimmonhall.http.message_reader import Message
from persimmonhall.http.messages import NO_BODY_STATUSES, HttpAnswer
from persimmonhall.http.refusals import refusal_answer

STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


class Connection(Protocol):
    """Send the answers of one connection in the order of their requests."""

    def flush(self) -> None:
        """Send the answers that are ready."""


class Exchange:
    """Represent one request of a connection and its answer."""

    __slots__ = (
        "_connection",
        "_is_head",
        "closes_connection",
        "encoded_answer",
        "context",
        "end_reason",
        "body",
    )

    def __init__(
        self, connection: Connection, *, is_head: bool, closes_connection: bool
    ):
        self._connection = connection
        self._is_head = is_head
        self.closes_connection = closes_connection
        self.encoded_answer: bytes | None = None
        self.context: object = None
        self.end_reason = ""
        self.body: HeldBody | None = None

    def answer(self, status: int, head: bytes, body: bytes) -> None:
        """Send an answer in request order; each line of the head ends in CRLF."""
        if self.encoded_answer is not None:
            return
        self.release_body()
        line = STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status
        if self._is_head or status in NO_BODY_STATUSES:
            self.encoded_answer = b"%s%s\r\n" % (line, head)
        else:
            size = len(body)
            self.encoded_answer = b"%s%scontent-length: %d\r\n\r\n%s" % (
                line,
                head,
                size,
                body,
            )
        self._connection.flush()

    def release_body(self) -> None:
        """Stop counting the body of a request that is answered or abandoned."""
        if self.body is not None:
            self.body.release()

    def send_answer(self, answer: HttpAnswer) -> None:
        """Send an answer given as an HttpAnswer."""
        head = b"".join(b"%s: %s\r\n" % pair for pair in answer.headers)
        self.answer(answer.status, head, answer.body)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the answer."""
        self.send_answer(refusal_answer(refusal))


class RequestHandler(Protocol):
    """Answer requests at once or later."""

    def begin(self, message: Message, exchange: Exchange) -> None:
        """Start to handle a complete request."""

    def abandon(self, exchange: Exchange) -> None:
        """Stop handling a request whose caller has disconnected."""


# Answers an exchange at once if its request is refused by its head alone.
Screen = Callable[[Message, Exchange], None]
