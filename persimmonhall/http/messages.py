"""Define HTTP requests and answers with complete bodies."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from persimmonhall.wire.answer_memory import AnswerReservation

Headers = tuple[tuple[bytes, bytes], ...]

LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
FIRST_SERVER_ERROR_STATUS = 500
NO_BODY_STATUSES = frozenset({204, 304})

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True)
class HttpRequest:
    """Represent a request with lower-case header names."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""

    def header(self, name: bytes) -> str | None:
        """Return the first header with the lower-case name, or None."""
        return first_header(self.headers, name)


@dataclass(frozen=True)
class HttpAnswer:
    """Represent an answer with lower-case header names."""

    status: int
    headers: Headers
    body: bytes = b""
    reservation: AnswerReservation | None = field(
        default=None, compare=False, repr=False
    )

    def close(self) -> None:
        """Release the memory that is accounted to the answer."""
        if self.reservation is not None:
            self.reservation.close()

    def header(self, name: bytes) -> str | None:
        """Return the first header with the lower-case name, or None."""
        return first_header(self.headers, name)


HttpHandler = Callable[[HttpRequest], Awaitable[HttpAnswer]]


def first_header(headers: Headers, name: bytes) -> str | None:
    """Return the first header with the lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    return tuple((k, v) for k, v in headers if k not in HOP_BY_HOP_HEADERS)
