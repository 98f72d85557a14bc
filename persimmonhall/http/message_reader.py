"""Read HTTP/1.1 messages incrementally and strictly with the httptools parser."""

import re
from collections import deque

import httptools

from persimmonhall.http.messages import (
    LENGTH_HEADERS,
    NO_BODY_STATUSES,
    Headers,
    HttpRequest,
)

TOKEN = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+")
TARGET = re.compile(rb"[\x21-\x7e]+")
HEAD_END_PATTERN = re.compile(rb"\n\r?\n")
REQUEST_LINE = re.compile(rb"[^ \r\n]+ [^ \r\n]+ HTTP/1\.[01]\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
HEADER_SECTION = re.compile(
    rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*\r\n"
)
HEADER_LINE = re.compile(rb"([^:\r\n]+):([^\r\n]*)\r\n")
CRLF = b"\r\n"
HTTP_1_1 = b"HTTP/1.1"
SIMPLE_METHODS = {b"GET": "GET", b"POST": "POST", b"PUT": "PUT", b"DELETE": "DELETE"}
SIMPLE_CONNECTION_VALUES = frozenset({b"close", b"keep-alive"})
# Headers that affect how a message is read. Only a single Content-Length and a plain
# Connection value are handled without the parser.
MESSAGE_CONTROL_HEADERS = frozenset(
    {
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"proxy-connection",
        b"upgrade",
        b"expect",
    }
)
VISIBLE_ASCII = range(0x21, 0x7F)
CHUNKED = b"chunked"
FIRST_FINAL_STATUS = 200
MIN_PART_BYTES = 4096
# More headers are kept as bytes: parsed, a small one takes forty times its size.
MAX_PARSED_HEADERS = 64
# The parser refuses a longer number, and so does the conversion to an integer.
MAX_LENGTH_DIGITS = 18


class BadMessageError(Exception):
    """Signal bytes that are not an acceptable message."""

    def __init__(self, detail: str, *, is_head_too_long: bool = False):
        super().__init__(detail)
        self.is_head_too_long = is_head_too_long

    def copy(self) -> "BadMessageError":
        """Return the same error without the frames in which it was raised.

        Whoever keeps a raised error keeps all that those frames refer to.
        """
        return BadMessageError(str(self), is_head_too_long=self.is_head_too_long)


class Message:
    """Represent a message whose body may still be arriving."""

    __slots__ = (
        "method",
        "target",
        "status",
        "head_size",
        "keeps_alive",
        "body_parts",
        "body_size",
        "content_length",
        "is_complete",
        "expects_continue",
        "_headers",
        "_packed_headers",
    )

    def __init__(self):
        self.method = ""
        self.target = b""
        self.status = 0
        # In bytes, as it was sent.
        self.head_size = 0
        self._headers: Headers = ()
        self._packed_headers = b""
        self.keeps_alive = True
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.content_length = 0
        self.is_complete = False
        self.expects_continue = False

    @property
    def headers(self) -> Headers:
        """Return the headers; many of them are parsed anew with each call."""
        if self._packed_headers:
            return tuple(HEADER_LINE.findall(self._packed_headers))
        return self._headers

    @headers.setter
    def headers(self, headers: Headers) -> None:
        is_long = len(headers) > MAX_PARSED_HEADERS
        lines = (b"%s:%s\r\n" % header for header in headers)
        self._packed_headers = b"".join(lines) if is_long else b""
        self._headers = () if is_long else headers

    @property
    def body(self) -> bytes:
        """Return the part of the body that has arrived."""
        return b"".join(self.body_parts)

    def add_body(self, data: bytes) -> None:
        """Add bytes of the body; merge small parts, as each takes memory of its own."""
        parts = self.body_parts
        if parts and len(parts[-1]) < MIN_PART_BYTES:
            parts[-1] += data
        else:
            parts.append(data)
        self.body_size += len(data)


def to_http_request(message: Message) -> HttpRequest:
    """Convert a complete message to a request."""
    target = message.target.decode("latin-1")
    return HttpRequest(message.method, target, message.headers, message.body)


class _Reader:
    """Split the bytes of one connection into messages."""

    _first_line_pattern: re.Pattern[bytes]

    def __init__(self, max_head_bytes: int):
        # Most messages are simple enough to be read without the parser.
        self._parser = None
        self._simple_body_remaining = 0
        # May be changed between messages and within one.
        self.max_head_bytes = max_head_bytes
        self._buffer = bytearray()
        self._searched_bytes = 0
        self._ready_messages: deque[Message] = deque()
        self._current_message: Message | None = None
        self._last_message: Message | None = None
        self._in_body = False
        self._body_remaining = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = 0
        self._header_bytes = 0
        self._chunk_framing_bytes = 0
        self._error: BadMessageError | None = None

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes have arrived that belong to no message yet."""
        return len(self._buffer)

    @property
    def is_mid_message(self) -> bool:
        """Return whether bytes have arrived beyond the messages that are complete."""
        return self._current_message is not None or len(self._buffer) > 0

    @property
    def has_surplus_data(self) -> bool:
        """Return whether data arrived after the last message returned."""
        return (
            bool(self._ready_messages) or self._error is not None or self.is_mid_message
        )

    def feed(self, data: bytes) -> None:
        """Add data; an error is raised only after all messages before it are taken."""
        self._buffer += data
        self._read_buffer()

    def close(self) -> None:
        """Free what was read; no more data may be added."""
        self._buffer.clear()
        self._ready_messages.clear()
        self._current_message = self._last_message = None
        self._headers = []
        # The parser holds this reader.
        self._parser = None

    def _read_buffer(self) -> None:
        """Read up to the end of the first message that is not taken yet.

        Messages behind it wait as bytes, since a parsed one takes many times its size.
        """
        while self._buffer and self._error is None:
            if self._ready_messages and self._current_message is None:
                break
            if self._simple_body_remaining:
                self._read_simple_body()
                continue
            self._in_body = self._current_message is not None
            part = self._extract_body() if self._in_body else self._extract_head()
            if part is None:
                break
            if self._in_body or not self._read_simple_head(part):
                self._head_size = len(part)
                self._parse(part)
        if self._current_message is None:
            # Whoever takes the last message frees it with its body.
            self._last_message = None

    def next_message(self) -> Message | None:
        """Return the next message whose head has arrived."""
        if not self._ready_messages:
            self._read_buffer()
        if self._ready_messages:
            return self._ready_messages.popleft()
        self.raise_if_failed()
        return None

    def raise_if_failed(self) -> None:
        """Raise the error that stopped the reader, if any."""
        if self._error is not None:
            raise self._error.copy()

    def on_message_begin(self) -> None:
        """Start a message (httptools callback)."""
        if self._in_body:
            # Only heads from _extract_head are checked, so this one is not accepted.
            self._last_message.keeps_alive = False
            self._fail(BadMessageError("a message in the same bytes as chunks"))
        self._current_message = self._last_message = Message()
        self._headers = []
        self._header_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the head, check one of the trailer (httptools callback)."""
        if self._in_body:
            # Nobody uses trailers.
            self._check_trailer(name, value)
        else:
            self._headers.append((name.lower(), value.strip(b" \t")))

    def _check_trailer(self, name: bytes, value: bytes) -> None:
        """Check a trailer field, which _extract_head does not cover."""
        if TOKEN.fullmatch(name) is None or FORBIDDEN_IN_VALUE.search(value):
            self._fail(BadMessageError("illegal header"))
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self.max_head_bytes:
            self._fail(self._head_too_long())

    def on_headers_complete(self) -> None:
        """Finish a head (httptools callback)."""
        message = self._current_message
        self._read_body_length()
        message.headers = tuple(self._headers)
        message.head_size = self._head_size
        self._headers = []
        self._header_bytes = 0
        message.keeps_alive = (
            self._parser.get_http_version() == "1.1"
            and self._parser.should_keep_alive()
            and not self._parser.should_upgrade()
        )
        self._handle_head(message)

    def on_chunk_header(self) -> None:
        """Reset the count of chunk framing bytes (httptools callback)."""
        self._chunk_framing_bytes = 0

    def on_body(self, data: bytes) -> None:
        """Store a part of the body (httptools callback)."""
        self._current_message.add_body(data)
        self._chunk_framing_bytes = 0

    def on_message_complete(self) -> None:
        """Finish a message (httptools callback)."""
        self._current_message.is_complete = True
        self._current_message = None
        self._chunk_framing_bytes = 0

    def _extract_head(self) -> bytes | None:
        """Remove a complete, checked head from the buffer, if it has arrived."""
        found = HEAD_END_PATTERN.search(self._buffer, max(0, self._searched_bytes - 2))
        size = len(self._buffer) if found is None else found.end()
        self._searched_bytes = size
        if size > self.max_head_bytes:
            self._error = self._head_too_long()
        elif self._buffer[0] not in VISIBLE_ASCII:
            self._error = BadMessageError("no message begins like this")
        if found is None or self._error is not None:
            return None
        self._searched_bytes = 0
        head = self._remove_bytes(size)
        first_line = self._first_line_pattern.match(head)
        if first_line is None:
            self._error = BadMessageError("illegal first line")
            return None
        if HEADER_SECTION.fullmatch(head, first_line.end()) is None:
            self._error = BadMessageError("illegal header")
            return None
        return head

    def _extract_body(self) -> bytes:
        size = len(self._buffer)
        if not self._body_remaining:
            self._chunk_framing_bytes += size
            return self._remove_bytes(size)
        size = min(size, self._body_remaining)
        self._body_remaining -= size
        return self._remove_bytes(size)

    def _remove_bytes(self, size: int) -> bytes:
        part = bytes(self._buffer[:size])
        del self._buffer[:size]
        return part

    def _read_simple_head(self, head: bytes) -> bool:
        """Read a checked head without the parser; return whether that was possible."""
        end = head.index(CRLF)
        headers = tuple(
            (name.lower(), value.strip(b" \t"))
            for name, value in HEADER_LINE.findall(head, end + len(CRLF))
        )
        length: int | None = None
        keeps_alive = True
        for name, value in headers:
            if name not in MESSAGE_CONTROL_HEADERS:
                continue
            if name == b"content-length" and length is None and value.isdigit():
                if len(value) > MAX_LENGTH_DIGITS:
                    return False
                length = int(value)
            elif name == b"connection" and value.lower() in SIMPLE_CONNECTION_VALUES:
                keeps_alive = keeps_alive and value.lower() != b"close"
            else:
                return False
        message = self._make_simple_message(head[:end], headers, length)
        if message is None:
            return False
        message.headers = headers
        message.head_size = len(head)
        message.keeps_alive = keeps_alive
        message.content_length = self._simple_body_remaining = length or 0
        message.is_complete = not length
        self._last_message = message
        self._current_message = message if length else None
        self._ready_messages.append(message)
        return True

    def _read_simple_body(self) -> None:
        part = self._remove_bytes(min(len(self._buffer), self._simple_body_remaining))
        message = self._current_message
        message.add_body(part)
        self._simple_body_remaining -= len(part)
        if not self._simple_body_remaining:
            message.is_complete = True
            self._current_message = None

    def _parse(self, part: bytes) -> None:
        if self._parser is None:
            self._parser = self._make_parser()
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._error = BadMessageError("no change of protocol")
        except httptools.HttpParserError as error:
            self._error = self._error or BadMessageError(str(error))
        if self._chunk_framing_bytes > self.max_head_bytes:
            self._error = self._error or self._head_too_long()

    def _read_body_length(self) -> None:
        """Determine the body length; reject more than one length header."""
        self._body_remaining = 0
        lengths = 0
        for number, (name, value) in enumerate(self._headers):
            lengths += name in LENGTH_HEADERS
            if name == b"content-length":
                self._body_remaining = self._current_message.content_length = int(value)
            elif name == b"transfer-encoding":
                if value.lower() != CHUNKED:
                    self._fail(BadMessageError("unknown transfer coding"))
                self._headers[number] = (name, CHUNKED)
        if lengths > 1:
            self._fail(BadMessageError("conflicting lengths"))

    def _head_too_long(self) -> BadMessageError:
        detail = f"the head is over {self.max_head_bytes} bytes"
        return BadMessageError(detail, is_head_too_long=True)

    def _fail(self, error: BadMessageError) -> None:
        self._error = error
        raise error.copy()

    def _make_parser(self):
        raise NotImplementedError

    def _make_simple_message(
        self, line: bytes, headers: Headers, length: int | None
    ) -> Message | None:
        raise NotImplementedError

    def _handle_head(self, message: Message) -> None:
        raise NotImplementedError


class RequestReader(_Reader):
    """Read the requests of one connection."""

    _first_line_pattern = REQUEST_LINE

    def _make_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def _make_simple_message(
        self, line: bytes, headers: Headers, length: int | None
    ) -> Message | None:
        method, target, version = line.split(b" ")
        hosts = [name for name, _ in headers].count(b"host")
        if version != HTTP_1_1 or method not in SIMPLE_METHODS or hosts != 1:
            return None
        if target[:1] != b"/" or TARGET.fullmatch(target) is None:
            return None
        message = Message()
        message.method = SIMPLE_METHODS[method]
        message.target = target
        return message

    def on_url(self, part: bytes) -> None:
        """Store a part of the target (httptools callback)."""
        self._current_message.target += part

    def _handle_head(self, message: Message) -> None:
        message.method = self._parser.get_method().decode("ascii")
        if TARGET.fullmatch(message.target) is None:
            self._fail(BadMessageError("illegal request target"))
        is_http_1_1 = self._parser.get_http_version() == "1.1"
        hosts = sum(name == b"host" for name, _ in message.headers)
        if hosts > 1 or (is_http_1_1 and not hosts):
            self._fail(BadMessageError("a request needs one Host header"))
        message.expects_continue = is_http_1_1 and any(
            name == b"expect" and value.lower() == b"100-continue"
            for name, value in message.headers
        )
        self._ready_messages.append(message)


class AnswerReader(_Reader):
    """Read the answer to one request."""

    _first_line_pattern = STATUS_LINE

    def _make_parser(self) -> httptools.HttpResponseParser:
        return httptools.HttpResponseParser(self)

    def _handle_head(self, message: Message) -> None:
        message.status = self._parser.get_status_code()
        if message.status >= FIRST_FINAL_STATUS:
            self._ready_messages.append(message)
        else:
            message.headers = ()

    def _make_simple_message(
        self, line: bytes, headers: Headers, length: int | None
    ) -> Message | None:
        version, _, rest = line.partition(b" ")
        status = int(rest[:3])
        is_final = status >= FIRST_FINAL_STATUS and status not in NO_BODY_STATUSES
        # Without Content-Length the body is chunked or ends with the connection.
        if version != HTTP_1_1 or length is None or not is_final:
            return None
        message = Message()
        message.status = status
        return message
