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
HEAD_END = re.compile(rb"\n\r?\n")
REQUEST_LINE = re.compile(rb"[^ \r\n]+ [^ \r\n]+ HTTP/1\.[01]\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
HEADER_LINES = re.compile(
    rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*\r\n"
)
HEADER = re.compile(rb"([^:\r\n]+):([^\r\n]*)\r\n")
LINE_END = b"\r\n"
LATEST = b"HTTP/1.1"
PLAIN_METHODS = {b"GET": "GET", b"POST": "POST", b"PUT": "PUT", b"DELETE": "DELETE"}
PLAIN_CONNECTIONS = frozenset({b"close", b"keep-alive"})
# Headers that affect how a message is read. Only a single Content-Length and a plain
# Connection value are handled without the parser.
SPECIAL = frozenset(
    {
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"proxy-connection",
        b"upgrade",
        b"expect",
    }
)
VISIBLE = range(0x21, 0x7F)
CHUNKED = b"chunked"
FIRST_FINAL_STATUS = 200


class BadMessageError(Exception):
    """Signal bytes that are not an acceptable message."""

    def __init__(self, detail: str, *, too_long: bool = False):
        super().__init__(detail)
        self.too_long = too_long


class Message:
    """Represent a message whose body may still be arriving."""

    __slots__ = (
        "method",
        "target",
        "status",
        "headers",
        "keeps_alive",
        "parts",
        "size",
        "announced_size",
        "is_whole",
        "awaits_go_ahead",
    )

    def __init__(self):
        self.method = ""
        self.target = b""
        self.status = 0
        self.headers: Headers = ()
        self.keeps_alive = True
        self.parts: list[bytes] = []
        self.size = 0
        self.announced_size = 0
        self.is_whole = False
        self.awaits_go_ahead = False

    @property
    def body(self) -> bytes:
        """Return the part of the body that has arrived."""
        return b"".join(self.parts)


def request_of(message: Message) -> HttpRequest:
    """Convert a complete message to a request."""
    target = message.target.decode("latin-1")
    return HttpRequest(message.method, target, message.headers, message.body)


class _Reader:
    """Split the bytes of one connection into messages."""

    _first_line: re.Pattern[bytes]

    def __init__(self, max_head_bytes: int):
        # Most messages are simple enough to be read without the parser.
        self._parser = None
        self._plain_left = 0
        self._max_head_bytes = max_head_bytes
        self._buffer = bytearray()
        self._searched = 0
        self._messages: deque[Message] = deque()
        self._message: Message | None = None
        self._latest: Message | None = None
        self._in_body = False
        self._left = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._between_chunks = 0
        self._error: BadMessageError | None = None

    @property
    def is_inside(self) -> bool:
        """Return whether a message has begun and not ended."""
        return self._message is not None or len(self._buffer) > 0

    @property
    def has_surplus(self) -> bool:
        """Return whether data arrived after the last message returned."""
        return bool(self._messages) or self._error is not None or self.is_inside

    def feed(self, data: bytes) -> None:
        """Add data; an error is raised only after all messages before it are taken."""
        self._buffer += data
        while self._buffer and self._error is None:
            if self._plain_left:
                self._take_plain_body()
                continue
            self._in_body = self._message is not None
            part = self._cut_body() if self._in_body else self._cut_head()
            if part is None:
                return
            if self._in_body or not self._take_plain(part):
                self._parse(part)

    def take(self) -> Message | None:
        """Return the next message whose head has arrived."""
        if self._messages:
            return self._messages.popleft()
        self.check()
        return None

    def check(self) -> None:
        """Raise the error that stopped the reader, if any."""
        if self._error is not None:
            raise self._error

    def on_message_begin(self) -> None:
        """Start a message (httptools callback)."""
        if self._in_body:
            # Only heads from _extract_head are checked, so this one is not accepted.
            self._latest.keeps_alive = False
            self._fail(BadMessageError("a message in the same bytes as chunks"))
        self._message = self._latest = Message()
        self._headers = []
        self._header_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header of the head or the trailer (httptools callback)."""
        if self._in_body:
            self._check_trailer(name, value)
        self._headers.append((name.lower(), value.strip(b" \t")))

    def _check_trailer(self, name: bytes, value: bytes) -> None:
        """Check a trailer field, which _extract_head does not cover."""
        if TOKEN.fullmatch(name) is None or FORBIDDEN_IN_VALUE.search(value):
            self._fail(BadMessageError("illegal header"))
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._max_head_bytes:
            self._fail(self._too_long())

    def on_headers_complete(self) -> None:
        """Finish a head (httptools callback)."""
        message = self._message
        self._take_length()
        message.headers = tuple(self._headers)
        self._header_bytes = 0
        message.keeps_alive = (
            self._parser.get_http_version() == "1.1"
            and self._parser.should_keep_alive()
            and not self._parser.should_upgrade()
        )
        self._take_head(message)

    def on_chunk_header(self) -> None:
        """Reset the count of chunk framing bytes (httptools callback)."""
        self._between_chunks = 0

    def on_body(self, data: bytes) -> None:
        """Store a part of the body (httptools callback)."""
        self._message.parts.append(data)
        self._message.size += len(data)
        self._between_chunks = 0

    def on_message_complete(self) -> None:
        """Finish a message (httptools callback)."""
        self._message.is_whole = True
        self._message = None
        self._between_chunks = 0

    def _cut_head(self) -> bytes | None:
        """Remove a complete, checked head from the buffer, if it has arrived."""
        found = HEAD_END.search(self._buffer, max(0, self._searched - 2))
        size = len(self._buffer) if found is None else found.end()
        self._searched = size
        if size > self._max_head_bytes:
            self._error = self._too_long()
        elif self._buffer[0] not in VISIBLE:
            self._error = BadMessageError("no message begins like this")
        if found is None or self._error is not None:
            return None
        self._searched = 0
        head = self._cut(size)
        first_line = self._first_line.match(head)
        if first_line is None:
            self._error = BadMessageError("illegal first line")
            return None
        if HEADER_LINES.fullmatch(head, first_line.end()) is None:
            self._error = BadMessageError("illegal header")
            return None
        return head

    def _cut_body(self) -> bytes:
        size = len(self._buffer)
        if not self._left:
            self._between_chunks += size
            return self._cut(size)
        size = min(size, self._left)
        self._left -= size
        return self._cut(size)

    def _cut(self, size: int) -> bytes:
        part = bytes(self._buffer[:size])
        del self._buffer[:size]
        return part

    def _take_plain(self, head: bytes) -> bool:
        """Read a checked head without the parser; return whether that was possible."""
        end = head.index(LINE_END)
        headers = tuple(
            (name.lower(), value.strip(b" \t"))
            for name, value in HEADER.findall(head, end + len(LINE_END))
        )
        length: int | None = None
        keeps_alive = True
        for name, value in headers:
            if name not in SPECIAL:
                continue
            if name == b"content-length" and length is None and value.isdigit():
                length = int(value)
            elif name == b"connection" and value.lower() in PLAIN_CONNECTIONS:
                keeps_alive = keeps_alive and value.lower() != b"close"
            else:
                return False
        message = self._plain_message(head[:end], headers, length)
        if message is None:
            return False
        message.headers = headers
        message.keeps_alive = keeps_alive
        message.announced_size = self._plain_left = length or 0
        message.is_whole = not length
        self._latest = message
        self._message = message if length else None
        self._messages.append(message)
        return True

    def _take_plain_body(self) -> None:
        part = self._cut(min(len(self._buffer), self._plain_left))
        message = self._message
        message.parts.append(part)
        message.size += len(part)
        self._plain_left -= len(part)
        if not self._plain_left:
            message.is_whole = True
            self._message = None

    def _parse(self, part: bytes) -> None:
        if self._parser is None:
            self._parser = self._make_parser()
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._error = BadMessageError("no change of protocol")
        except httptools.HttpParserError as error:
            self._error = self._error or BadMessageError(str(error))
        if self._between_chunks > self._max_head_bytes:
            self._error = self._error or self._too_long()

    def _take_length(self) -> None:
        """Determine the body length; reject more than one length header."""
        self._left = 0
        lengths = 0
        for number, (name, value) in enumerate(self._headers):
            lengths += name in LENGTH_HEADERS
            if name == b"content-length":
                self._left = self._message.announced_size = int(value)
            elif name == b"transfer-encoding":
                if value.lower() != CHUNKED:
                    self._fail(BadMessageError("unknown transfer coding"))
                self._headers[number] = (name, CHUNKED)
        if lengths > 1:
            self._fail(BadMessageError("conflicting lengths"))

    def _too_long(self) -> BadMessageError:
        detail = f"the head is over {self._max_head_bytes} bytes"
        return BadMessageError(detail, too_long=True)

    def _fail(self, error: BadMessageError) -> None:
        self._error = error
        raise error

    def _make_parser(self):
        raise NotImplementedError

    def _plain_message(
        self, line: bytes, headers: Headers, length: int | None
    ) -> Message | None:
        raise NotImplementedError

    def _take_head(self, message: Message) -> None:
        raise NotImplementedError


class RequestReader(_Reader):
    """Read the requests of one connection."""

    _first_line = REQUEST_LINE

    def _make_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def _plain_message(
        self, line: bytes, headers: Headers, length: int | None
    ) -> Message | None:
        method, target, version = line.split(b" ")
        hosts = sum(name == b"host" for name, _ in headers)
        if version != LATEST or method not in PLAIN_METHODS or hosts != 1:
            return None
        if target[:1] != b"/" or TARGET.fullmatch(target) is None:
            return None
        message = Message()
        message.method = PLAIN_METHODS[method]
        message.target = target
        return message

    def on_url(self, part: bytes) -> None:
        """Store a part of the target (httptools callback)."""
        self._message.target += part

    def _take_head(self, message: Message) -> None:
        message.method = self._parser.get_method().decode("ascii")
        if TARGET.fullmatch(message.target) is None:
            self._fail(BadMessageError("illegal request target"))
        is_latest = self._parser.get_http_version() == "1.1"
        hosts = sum(name == b"host" for name, _ in message.headers)
        if hosts > 1 or (is_latest and not hosts):
            self._fail(BadMessageError("a request needs one Host header"))
        message.awaits_go_ahead = is_latest and any(
            name == b"expect" and value.lower() == b"100-continue"
            for name, value in message.headers
        )
        self._messages.append(message)


class AnswerReader(_Reader):
    """Read the answer to one request."""

    _first_line = STATUS_LINE

    def _make_parser(self) -> httptools.HttpResponseParser:
        return httptools.HttpResponseParser(self)

    def _take_head(self, message: Message) -> None:
        message.status = self._parser.get_status_code()
        if message.status >= FIRST_FINAL_STATUS:
            self._messages.append(message)

    def _plain_message(
        self, line: bytes, headers: Headers, length: int | None
    ) -> Message | None:
        version, _, rest = line.partition(b" ")
        status = int(rest[:3])
        is_final = status >= FIRST_FINAL_STATUS and status not in NO_BODY_STATUSES
        # Without Content-Length the body is chunked or ends with the connection.
        if version != LATEST or length is None or not is_final:
            return None
        message = Message()
        message.status = status
        return message
