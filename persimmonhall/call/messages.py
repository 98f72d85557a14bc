"""Define the messages between an entry and a gate."""

from dataclasses import dataclass
from itertools import chain
from pathlib import Path

from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, Ran, Refusal
from persimmonhall.http.messages import Headers
from persimmonhall.ids import IdempotencyKey, NodeName, RootId, ServiceName
from persimmonhall.routing.load import Load
from persimmonhall.wire.codec import UnionCodec, decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


@dataclass(frozen=True)
class Call:
    """Carry one request to a gate; headers alternate name and value.

    A resend window of 0 is sent by an entry that does not support this field.
    """

    service: ServiceName
    method: str
    target: str
    headers: tuple[bytes, ...]
    body: bytes
    root: RootId
    entry: NodeName
    depth: int
    worth: Worth
    remaining_ms: int
    idempotent: bool
    key: IdempotencyKey
    max_answer_bytes: int
    resend_window_s: int = 0


@dataclass(frozen=True)
class Answered:
    """Carry the complete answer of a backend server."""

    status: int
    headers: tuple[bytes, ...]
    body: bytes
    load: Load


@dataclass(frozen=True)
class Refused:
    """Carry a refusal of the gate."""

    kind: ErrorKind
    detail: str
    ran: Ran
    retry_after_s: float
    load: Load

    @property
    def refusal(self) -> Refusal:
        """Return the refusal without the load."""
        return Refusal(self.kind, self.detail, self.ran, self.retry_after_s)


Reply = Answered | Refused

REPLIES = UnionCodec(SCHEMA.Reply, (Answered, Refused))


def encode_call(call: Call) -> bytes:
    """Encode a call."""
    return encode(SCHEMA.Call, call)


def decode_call(data: bytes) -> Call:
    """Decode a call; raise ValueError on malformed bytes."""
    return decode(SCHEMA.Call, Call, data)


def make_refused(refusal: Refusal, load: Load) -> Refused:
    """Build the reply for a refusal, with the load of the gate."""
    return Refused(
        refusal.kind, refusal.detail, refusal.ran, refusal.retry_after_s, load
    )


def flatten_headers(headers: Headers) -> tuple[bytes, ...]:
    """Turn header pairs into alternating names and values."""
    return tuple(chain.from_iterable(headers))


def pair_headers(flat_headers: tuple[bytes, ...]) -> Headers:
    """Turn alternating names and values into header pairs."""
    return tuple(zip(flat_headers[::2], flat_headers[1::2], strict=True))
