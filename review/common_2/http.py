"""Speak HTTP/1.1 as sound clients and servers do, with asyncio streams."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 256 * 1024


@dataclass
class Head:
    """Hold the first line and the headers of a message."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; return None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a body with a length or in chunks."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection."""
    host, _, port = address.rpartition(":")
    opening = asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
    return await asyncio.wait_for(opening, 1.0)


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a request; a body has a length."""
    if body or method == "POST":
        headers = {**headers, "Content-Length": str(len(body))}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection and return its answer."""
    reader, writer = await connect(address)
    try:
        writer.write(encode_request(method, target, headers, body))

        async def receive() -> tuple[int, dict[str, str], bytes]:
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("closed without an answer")
            return head.status, head.headers, await read_body(reader, head)

        return await asyncio.wait_for(receive(), timeout_s)
    finally:
        writer.close()
