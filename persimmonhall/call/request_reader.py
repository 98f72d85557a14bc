"""Read the headers of a request that the system uses, and those that it passes on."""

from typing import NamedTuple

from persimmonhall.call.in_flight_request import parse_milliseconds
from persimmonhall.dialect import HeaderNames
from persimmonhall.http.message_reader import Message
from persimmonhall.http.messages import HOP_BY_HOP_HEADERS, LENGTH_HEADERS
from persimmonhall.ids import AttemptId, OrganisationName, ServiceName

AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer"


class RequestHead(NamedTuple):
    """Hold the headers of a request; `lines` are passed on, each ending in CRLF."""

    host: str
    attempt: AttemptId
    caller_timeout_ms: float | None
    lines: bytes
    # None without a key; empty if there is no single well-formed one.
    key: bytes | None = None


class RequestReader:
    """Read request headers and add the name of the calling service."""

    def __init__(self, headers: HeaderNames, service: ServiceName):
        self._headers = headers
        self._dropped_headers = frozenset(
            {
                *HOP_BY_HOP_HEADERS,
                *LENGTH_HEADERS,
                b"expect",
                headers.deadline_ms,
                headers.expected_instance,
                headers.caller_service,
                headers.organisation,
            }
        )
        self._caller_service_line = b"%s: %s\r\n" % (
            headers.caller_service,
            service.encode(),
        )

    def read(self, message: Message, *, has_keys: bool = False) -> RequestHead:
        """Read the headers of a request; a key is not passed on."""
        names = self._headers
        host = attempt = ""
        caller_timeout_ms: float | None = None
        key: bytes | None = None
        lines = []
        for name, value in message.headers:
            if name == b"host":
                host = value.decode("latin-1")
            elif name == names.attempt:
                attempt = value.decode("latin-1")
            elif name == names.deadline_ms:
                caller_timeout_ms = parse_milliseconds(value)
            elif has_keys and name == AUTHORIZATION:
                key = b"" if key is not None else _read_key(value)
                continue
            if name not in self._dropped_headers:
                lines.append(b"%s: %s\r\n" % (name, value))
        lines.append(self._caller_service_line)
        return RequestHead(
            host, AttemptId(attempt), caller_timeout_ms, b"".join(lines), key
        )

    def organisation_line(self, name: OrganisationName) -> bytes:
        """Return the header that tells the server whose request it runs."""
        return b"%s: %s\r\n" % (self._headers.organisation, name.encode())


def _read_key(value: bytes) -> bytes:
    scheme, _, key = value.partition(b" ")
    return key.strip(b" ") if scheme.lower() == KEY_SCHEME else b""
