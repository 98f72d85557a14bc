"""Define the commands, replies and replicated state of claims."""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from persimmonhall.ids import (
    ClaimId,
    Fingerprint,
    IdempotencyKey,
    NodeName,
    ServiceName,
)
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("messages.capnp"))


class ClaimState(Enum):
    """List the states of a claimed key."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimOutcome(Enum):
    """List the outcomes of an attempt to claim a key."""

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    WITHDRAWN = "withdrawn"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Store an answer whole, or only its status, body size in bytes and digest."""

    status: int
    headers: tuple[bytes, ...]
    body: bytes
    size: int
    digest: int
    whole: bool


NO_ANSWER = KeptAnswer(0, (), b"", 0, 0, whole=False)


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Request the exclusive right to run a key; idempotent for the same claim id."""

    claim: ClaimId
    service: ServiceName
    key: IdempotencyKey
    fingerprint: Fingerprint
    holder: NodeName
    incarnation: int
    keep_ms: int


@dataclass(frozen=True, slots=True)
class FinishKey:
    """Record the outcome of a granted claim's run."""

    claim: ClaimId
    service: ServiceName
    key: IdempotencyKey
    state: ClaimState
    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Release a claim whose request did not run and never will."""

    claim: ClaimId
    service: ServiceName
    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class ElapseTime:
    """Advance the log clock by the time that a leader measured."""

    elapsed_ms: int


@dataclass(frozen=True, slots=True)
class LoseClaims:
    """Declare the running claims of a node's earlier incarnations lost."""

    holder: NodeName
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Return the outcome of a claim, the holder of the key and its stored answer."""

    outcome: ClaimOutcome
    holder: NodeName
    incarnation: int
    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """Store the claim of one service's key; expiry in milliseconds of the log clock."""

    claim: ClaimId
    service: ServiceName
    key: IdempotencyKey
    fingerprint: Fingerprint
    holder: NodeName
    incarnation: int
    expires_ms: int
    state: ClaimState = ClaimState.RUNNING
    answer: KeptAnswer = NO_ANSWER
    answer_order: int = 0
    released: tuple[ClaimId, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimTableState:
    """Store one block of the claim table for a snapshot."""

    clock_ms: int
    claims: tuple[HeldClaim, ...]


def encode_claims(state: ClaimTableState) -> bytes:
    """Encode a block of the claim table."""
    return encode(SCHEMA.ClaimTableState, state)


def decode_claims(data: bytes) -> ClaimTableState:
    """Decode a block of the claim table; raise ValueError on damaged bytes."""
    return decode(SCHEMA.ClaimTableState, ClaimTableState, data)
