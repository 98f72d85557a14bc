"""Send a fixed request repeatedly with little overhead."""

import time

import trio
from hdrh.histogram import HdrHistogram

from persimmonhall.address import Address

RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_LATENCY_US = 60 * 1000 * 1000


def new_histogram() -> HdrHistogram:
    """Make a histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


class RawCaller:
    """Time requests over one connection."""

    def __init__(self, stream: trio.SocketStream, request: bytes):
        self._stream = stream
        self._request = request

    async def call(self) -> int:
        """Return the microseconds from the request to its complete answer."""
        begin = time.perf_counter_ns()
        await self._stream.send_all(self._request)
        received = b""
        while not _is_complete(received):
            part = await self._stream.receive_some(RECEIVE_BUFFER_BYTES)
            if not part:
                raise ConnectionError(
                    "connection closed before the answer was complete"
                )
            received += part
        if not received.startswith(b"HTTP/1.1 200"):
            raise ConnectionError(received[:200].decode("latin-1"))
        return (time.perf_counter_ns() - begin) // 1000


def _is_complete(received: bytes) -> bool:
    head, end, body = received.partition(b"\r\n\r\n")
    if not end:
        return False
    length = head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
    return len(body) >= int(length)


async def measure_latencies(
    address: Address, request: bytes, in_flight: int, calls: int
) -> HdrHistogram:
    """Send calls at a fixed concurrency and return their latencies."""
    histogram = new_histogram()

    async def call_repeatedly(count: int) -> None:
        stream = await trio.open_tcp_stream(address.host, address.port)
        caller = RawCaller(stream, request)
        for _ in range(count):
            histogram.record_value(await caller.call())
        await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as nursery:
        for _ in range(in_flight):
            nursery.start_soon(call_repeatedly, calls // in_flight)
    return histogram
