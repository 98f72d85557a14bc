"""Define the commands, replies and state of claims."""

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
    """Tell how far the run of a claimed key has come."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimOutcome(Enum):
    """Tell what became of an attempt to claim a key."""

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    WITHDRAWN = "withdrawn"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Hold an answer, or only its status, size in bytes and digest."""

    status: int
    headers: tuple[bytes, ...]
    body: bytes
    size: int
    digest: int
    whole: bool


NO_ANSWER = KeptAnswer(0, (), b"", 0, 0, whole=False)


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Ask for the right to run a key; the same claim id gets the same grant."""

    claim: ClaimId
    service: ServiceName
    key: IdempotencyKey
    fingerprint: Fingerprint
    holder: NodeName
    incarnation: int
    keep_ms: int


@dataclass(frozen=True, slots=True)
class FinishKey:
    """Record how the run of a claim ended."""

    claim: ClaimId
    service: ServiceName
    key: IdempotencyKey
    state: ClaimState
    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Give back a claim whose request did not run and never will."""

    claim: ClaimId
    service: ServiceName
    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class ElapseTime:
    """Advance the clock of the log by time that one leader measured."""

    elapsed_ms: int


@dataclass(frozen=True, slots=True)
class LoseClaims:
    """Declare the runs of earlier incarnations of a node lost."""

    holder: NodeName
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer a claim with its outcome and what is known of the key."""

    outcome: ClaimOutcome
    holder: NodeName
    incarnation: int
    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """Hold one key of one service; expiry in milliseconds of the log clock."""

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
    """Hold everything a snapshot needs of the claims."""

    clock_ms: int
    claims: tuple[HeldClaim, ...]


def encode_claims(state: ClaimTableState) -> bytes:
    """Write the state of the claims as bytes."""
    return encode(SCHEMA.ClaimTableState, state)


def decode_claims(data: bytes) -> ClaimTableState:
    """Read the state of the claims; raise ValueError on damaged bytes."""
    return decode(SCHEMA.ClaimTableState, ClaimTableState, data)
