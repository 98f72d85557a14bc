"""Encode the heads of HTTP/1.1 messages."""

from collections.abc import Iterable

from persimmonhall.http.message_reader import FORBIDDEN_IN_VALUE, TARGET, TOKEN

HTTP_1_1 = b"HTTP/1.1"
CRLF = b"\r\n"
CONTINUE_ANSWER = b"HTTP/1.1 100 \r\n\r\n"


def encode_request_head(
    method: str, target: str, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode the head of a request; raise ValueError if it is ambiguous."""
    raw_method, raw_target = method.encode("ascii"), target.encode("latin-1")
    if not TOKEN.fullmatch(raw_method) or not TARGET.fullmatch(raw_target):
        raise ValueError("illegal request line")
    return _encode_head(b" ".join((raw_method, raw_target, HTTP_1_1)), headers)


def encode_answer_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the head of an answer; raise ValueError if it is ambiguous."""
    return _encode_head(b"%s %d " % (HTTP_1_1, status), headers)


def _encode_head(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    lines = [first_line]
    for name, value in headers:
        if not TOKEN.fullmatch(name) or FORBIDDEN_IN_VALUE.search(value):
            raise ValueError(f"illegal header {name!r}")
        lines.append(b"%s: %s" % (name, value))
    return CRLF.join(lines) + CRLF + CRLF
