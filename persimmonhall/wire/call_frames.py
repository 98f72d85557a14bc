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

PREAMBLE = b"PSC5"
FRAME_HEADER = struct.Struct("<IB")
CALL_HEADER = struct.Struct("<QBBIIHHHHII")
REPLY_HEADER = struct.Struct("<QBBHIHHHHHHIIHII")
CALL_NUMBER = struct.Struct("<Q")
STREAM_POSITION = struct.Struct("<Q")
MAX_FRAME_BYTES = 128 * 1024 * 1024

NESTED_FLAG = 1
IDEMPOTENT_FLAG = 2
HEAD_FLAG = 4
REROUTED_FLAG = 8
ALTERNATIVE_FLAG = 16
# Flags of replies.
REQUESTED_BY_CALLERS_FLAG = 1
RATE_LIMITED_FLAG = 2
LEVEL_SCALE = 1 << 15
SUCCESS_RATE_SCALE = 10_000
SLOWDOWN_SCALE = 1000
MAX_U16 = 0xFFFF
ERROR_KINDS_BY_VALUE = {kind.value: kind for kind in ErrorKind}
RAN_VALUES = tuple(Ran)
ANSWERED_OUTCOME = 255


class FrameType(IntEnum):
    """Identify the message in a frame."""

    CALL = 1
    REPLY = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    # The gate reads no further: frames that end beyond the position were not handled.
    STOPPED = 6
    # Of a large message, see wire/long_frames.py.
    PART = 7
    GRANT = 8


class CallFrameError(Exception):
    """Signal bytes that are not a valid frame of this protocol."""


@dataclass(slots=True)
class RoutedCall:
    """Represent a request that an entry sends to a gate.

    The head has the request line and headers without the empty line that ends them, so
    that the gate can append its own headers. A rerouted call was refused by another
    gate that has counted its work. `rank` is the rank of the route's priority; 0 is the
    most urgent. A call with an alternative can be rerouted if it is refused. `notice`
    reminds the gate of what its server stated before, see call/server_notices.py.
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
    has_alternative: bool = False
    notice: bytes = b""


class GateLoad(NamedTuple):
    """Report the load of a gate.

    The level is explained in admission/level.py; it is told as a fraction of the number
    of ranks, as the releases of two nodes may differ in that. The success rate is
    explained in admission/success_rate.py, the slowdown and the usual run time of the
    route in routing/server_speed.py.
    """

    in_flight: int
    queued: int
    limit: int
    level_fraction: float
    is_requested_by_callers: bool = False
    success_rate: float = 1.0
    is_rate_limited: bool = False
    slowdown: float = 1.0
    usual_run_s: float = 0.0


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
    notice: bytes = b""


def pack_frame(kind: FrameType, payload: bytes = b"") -> bytes:
    """Encode one frame."""
    return FRAME_HEADER.pack(len(payload), kind) + payload


def encode_call(call: RoutedCall) -> bytes:
    """Encode a call."""
    service, route = call.service.encode(), call.route.encode()
    attempt = call.attempt.encode("latin-1")
    flags = call.is_nested * NESTED_FLAG
    flags |= call.is_idempotent * IDEMPOTENT_FLAG | call.is_head * HEAD_FLAG
    flags |= call.is_rerouted * REROUTED_FLAG
    flags |= call.has_alternative * ALTERNATIVE_FLAG
    header = CALL_HEADER.pack(
        call.number,
        flags,
        min(call.rank, 255),
        call.remaining_ms,
        call.objective_ms,
        len(service),
        len(route),
        len(attempt),
        len(call.notice),
        len(call.head),
        len(call.body),
    )
    return b"".join(
        (header, service, route, attempt, call.notice, call.head, call.body)
    )


def decode_call(data: bytes | bytearray) -> RoutedCall:
    """Decode a call; raise CallFrameError on damaged bytes."""
    try:
        number, flags, rank, remaining_ms, objective_ms, *sizes = (
            CALL_HEADER.unpack_from(data)
        )
        service, route, attempt, notice, head, body = _split_fields(
            data, CALL_HEADER.size, sizes
        )
        return RoutedCall(
            number,
            service.decode(),
            route.decode(),
            attempt.decode("latin-1"),
            rank,
            bool(flags & NESTED_FLAG),
            bool(flags & IDEMPOTENT_FLAG),
            bool(flags & HEAD_FLAG),
            bool(flags & REROUTED_FLAG),
            remaining_ms,
            objective_ms,
            head,
            body,
            bool(flags & ALTERNATIVE_FLAG),
            notice,
        )
    except (struct.error, UnicodeDecodeError) as error:
        raise CallFrameError(f"damaged call: {error}") from error


def encode_reply(reply: RoutedReply) -> bytes:
    """Encode a reply; a refusal carries its error kind instead of a head."""
    load = reply.load
    is_answer = reply.error is None
    head = reply.head if is_answer else reply.error.value.encode()
    body = reply.body if is_answer else reply.detail.encode()
    header = REPLY_HEADER.pack(
        reply.number,
        ANSWERED_OUTCOME if is_answer else RAN_VALUES.index(reply.ran),
        load.is_requested_by_callers * REQUESTED_BY_CALLERS_FLAG
        | load.is_rate_limited * RATE_LIMITED_FLAG,
        reply.status,
        int(reply.retry_after_s * 1000),
        min(load.in_flight, MAX_U16),
        min(load.queued, MAX_U16),
        min(load.limit, MAX_U16),
        min(round(load.level_fraction * LEVEL_SCALE), MAX_U16),
        int(load.success_rate * SUCCESS_RATE_SCALE),
        min(round(load.slowdown * SLOWDOWN_SCALE), MAX_U16),
        round(load.usual_run_s * 1_000_000),
        int(reply.run_s * 1_000_000),
        len(reply.notice),
        len(head),
        len(body),
    )
    return b"".join((header, reply.notice, head, body))


def decode_reply(data: bytes | bytearray) -> RoutedReply:
    """Decode a reply; raise CallFrameError on damaged bytes."""
    try:
        fields = REPLY_HEADER.unpack_from(data)
    except struct.error as error:
        raise CallFrameError(f"damaged reply: {error}") from error
    number, outcome, flags, status, retry_ms = fields[:5]
    in_flight, queued, limit, level, success_rate, slowdown = fields[5:11]
    usual_us, run_us = fields[11:13]
    notice, head, body = _split_fields(data, REPLY_HEADER.size, fields[13:])
    load = GateLoad(
        in_flight,
        queued,
        limit,
        level / LEVEL_SCALE,
        bool(flags & REQUESTED_BY_CALLERS_FLAG),
        success_rate / SUCCESS_RATE_SCALE,
        bool(flags & RATE_LIMITED_FLAG),
        slowdown / SLOWDOWN_SCALE,
        usual_us / 1_000_000,
    )
    run_s = run_us / 1_000_000
    if outcome == ANSWERED_OUTCOME:
        return RoutedReply(number, load, status, head, body, run_s=run_s, notice=notice)
    try:
        kind, ran = ERROR_KINDS_BY_VALUE[head.decode()], RAN_VALUES[outcome]
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
        notice=notice,
    )


def _split_fields(data: bytes | bytearray, start: int, sizes) -> list[bytes]:
    parts = []
    if isinstance(data, bytearray):
        # A slice would have to be copied once more.
        with memoryview(data) as view:
            for size in sizes:
                parts.append(bytes(view[start : start + size]))
                start += size
    else:
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
        self._position = 0

    @property
    def position(self) -> int:
        """Return how many bytes the frames returned so far take."""
        return self._position

    def feed(self, data: bytes) -> list[tuple[int, bytes]]:
        """Add received bytes and return the complete frames as kind and payload."""
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= FRAME_HEADER.size:
            size, kind = FRAME_HEADER.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                raise CallFrameError(f"frame of {size} bytes is too long")
            end = start + FRAME_HEADER.size + size
            if len(buffer) < end:
                break
            frames.append((kind, bytes(buffer[start + FRAME_HEADER.size : end])))
            start = end
        if start:
            del buffer[:start]
            self._position += start
        return frames
