"""Define the frames between the entry of a call and the gate that runs it.

Each message starts with a struct of fixed-size fields, followed by the texts. Reading
the same fields from Cap'n Proto took 15 us per message instead of 2 us, and every call
reads two messages.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.ids import AttemptId, CallNumber, RouteName, ServiceName

PREAMBLE = b"PSC2"
FRAME = struct.Struct("<IB")
CALL = struct.Struct("<QBBIIHHHII")
REPLY = struct.Struct("<QBBHIHHHHHIII")
NUMBER = struct.Struct("<Q")
MAX_FRAME_BYTES = 128 * 1024 * 1024

IS_NESTED = 1
IS_IDEMPOTENT = 2
IS_HEAD = 4
IS_REROUTED = 8
LEVEL_SCALE = 1000
SUCCESS_SCALE = 10_000
MAX_U16 = 0xFFFF
KINDS = {kind.value: kind for kind in ErrorKind}
RANS = tuple(Ran)
ANSWERED = 255


class FrameType(IntEnum):
    """Identify the message in a frame."""

    CALL = 1
    REPLY = 2
    CANCEL = 3
    PING = 4
    PONG = 5


class CallFrameError(Exception):
    """Signal bytes that are not a valid frame of this protocol."""


@dataclass(slots=True)
class RoutedCall:
    """Represent a request that an entry sends to a gate.

    The head has the request line and headers without the empty line that ends them, so
    that the gate can append its own headers. A rerouted call was refused by another
    gate. `rank` is the rank of the route's priority; 0 is the most urgent.
    """

    number: CallNumber
    service: ServiceName
    route: RouteName
    attempt: AttemptId
    rank: int
    is_nested: bool
    is_idempotent: bool
    is_head: bool
    is_rerouted: bool
    remaining_ms: int
    objective_ms: int
    head: bytes
    body: bytes


class GateLoad(NamedTuple):
    """Report the load of a gate.

    The level is explained in admission/level.py, the success rate in
    admission/success_rate.py.
    """

    in_flight: int
    queued: int
    limit: int
    level: float
    is_asked_by_callers: bool = False
    success: float = 1.0


@dataclass(slots=True)
class RoutedReply:
    """Represent the answer of a backend server, or the reason why there is none.

    Without an error kind the reply is an answer; its head has only the headers.
    """

    number: CallNumber
    load: GateLoad
    status: int = 0
    head: bytes = b""
    body: bytes = b""
    error: ErrorKind | None = None
    detail: str = ""
    ran: Ran = Ran.YES
    retry_after_s: float = 0.0
    run_s: float = 0.0


def frame(kind: FrameType, payload: bytes = b"") -> bytes:
    """Encode one frame."""
    return FRAME.pack(len(payload), kind) + payload


def encode_call(call: RoutedCall) -> bytes:
    """Encode a call."""
    service, route = call.service.encode(), call.route.encode()
    attempt = call.attempt.encode("latin-1")
    flags = call.is_nested * IS_NESTED
    flags |= call.is_idempotent * IS_IDEMPOTENT | call.is_head * IS_HEAD
    flags |= call.is_rerouted * IS_REROUTED
    fixed = CALL.pack(
        call.number,
        flags,
        min(call.rank, 255),
        call.remaining_ms,
        call.objective_ms,
        len(service),
        len(route),
        len(attempt),
        len(call.head),
        len(call.body),
    )
    return b"".join((fixed, service, route, attempt, call.head, call.body))


def decode_call(data: bytes) -> RoutedCall:
    """Decode a call; raise CallFrameError on damaged bytes."""
    try:
        number, flags, rank, remaining, objective, *sizes = CALL.unpack_from(data)
        service, route, attempt, head, body = _cut(data, CALL.size, sizes)
        return RoutedCall(
            number,
            service.decode(),
            route.decode(),
            attempt.decode("latin-1"),
            rank,
            bool(flags & IS_NESTED),
            bool(flags & IS_IDEMPOTENT),
            bool(flags & IS_HEAD),
            bool(flags & IS_REROUTED),
            remaining,
            objective,
            head,
            body,
        )
    except (struct.error, UnicodeDecodeError) as error:
        raise CallFrameError(f"damaged call: {error}") from error


def encode_reply(reply: RoutedReply) -> bytes:
    """Encode a reply; a refusal carries its error kind instead of a head."""
    load = reply.load
    is_answer = reply.error is None
    head = reply.head if is_answer else reply.error.value.encode()
    body = reply.body if is_answer else reply.detail.encode()
    fixed = REPLY.pack(
        reply.number,
        ANSWERED if is_answer else RANS.index(reply.ran),
        load.is_asked_by_callers,
        reply.status,
        int(reply.retry_after_s * 1000),
        min(load.in_flight, MAX_U16),
        min(load.queued, MAX_U16),
        min(load.limit, MAX_U16),
        min(int(load.level * LEVEL_SCALE), MAX_U16),
        int(load.success * SUCCESS_SCALE),
        int(reply.run_s * 1_000_000),
        len(head),
        len(body),
    )
    return b"".join((fixed, head, body))


def decode_reply(data: bytes) -> RoutedReply:
    """Decode a reply; raise CallFrameError on damaged bytes."""
    try:
        fields = REPLY.unpack_from(data)
    except struct.error as error:
        raise CallFrameError(f"damaged reply: {error}") from error
    number, outcome, is_root, status, retry_ms = fields[:5]
    in_flight, queued, limit, level, success, run_us = fields[5:11]
    head, body = _cut(data, REPLY.size, fields[11:])
    load = GateLoad(
        in_flight,
        queued,
        limit,
        level / LEVEL_SCALE,
        bool(is_root),
        success / SUCCESS_SCALE,
    )
    run_s = run_us / 1_000_000
    if outcome == ANSWERED:
        return RoutedReply(number, load, status, head, body, run_s=run_s)
    try:
        kind, ran = KINDS[head.decode()], RANS[outcome]
    except (KeyError, IndexError, UnicodeDecodeError) as error:
        raise CallFrameError(
            f"unknown error kind or outcome in refusal {head!r}"
        ) from error
    return RoutedReply(
        number,
        load,
        error=kind,
        detail=body.decode(errors="replace"),
        ran=ran,
        retry_after_s=retry_ms / 1000,
    )


def _cut(data: bytes, start: int, sizes) -> list[bytes]:
    parts = []
    for size in sizes:
        parts.append(data[start : start + size])
        start += size
    if start != len(data):
        raise CallFrameError(f"message has {len(data)} bytes, expected {start}")
    return parts


class CallFrameReader:
    """Split the bytes of a connection into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, bytes]]:
        """Add received bytes and return the complete frames as kind and payload."""
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= FRAME.size:
            size, kind = FRAME.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                raise CallFrameError(f"frame of {size} bytes is too long")
            end = start + FRAME.size + size
            if len(buffer) < end:
                break
            frames.append((kind, bytes(buffer[start + FRAME.size : end])))
            start = end
        if start:
            del buffer[:start]
        return frames
