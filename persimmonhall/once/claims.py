"""Decide which gate may run a key.

The table is replicated: its time comes from the log, never from a local clock.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import replace

from persimmonhall.ids import (
    ClaimId,
    Fingerprint,
    IdempotencyKey,
    NodeName,
    ServiceName,
)
from persimmonhall.once.messages import (
    NO_ANSWER,
    ClaimKey,
    ClaimOutcome,
    ClaimReply,
    ClaimState,
    ClaimTableState,
    ElapseTime,
    FinishKey,
    HeldClaim,
    KeptAnswer,
    LoseClaims,
    ReleaseKey,
    decode_claims,
    encode_claims,
)
from persimmonhall.once.withdrawn import is_withdrawn, withdraw

MAX_CLAIMS = 250_000
MAX_TOTAL_STORED_BYTES = 32 * 1024 * 1024
CLAIMS_PER_BLOCK = 32
RELEASED_CLAIM_TTL_MS = 10 * 60 * 1000

ServiceKey = tuple[ServiceName, IdempotencyKey]

OUTCOME_BY_STATE = {
    ClaimState.RUNNING: ClaimOutcome.RUNNING,
    ClaimState.FINISHED: ClaimOutcome.FINISHED,
    ClaimState.UNKNOWN: ClaimOutcome.UNKNOWN,
}


class ClaimTable:
    """Store the claim of every key until it expires."""

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        max_stored_bytes: int = MAX_TOTAL_STORED_BYTES,
    ):
        self._max_claims = max_claims
        self._max_stored_bytes = max_stored_bytes
        self._clock_ms = 0
        self._claims: dict[ServiceKey, HeldClaim] = {}
        self._expiries: list[tuple[int, ServiceKey]] = []
        self._answer_bytes: OrderedDict[ServiceKey, int] = OrderedDict()
        self._running_by_holder: dict[NodeName, set[ServiceKey]] = {}
        self._stored_bytes = 0
        self._answer_order = 0

    @property
    def count(self) -> int:
        """Return the number of keys in the table."""
        return len(self._claims)

    @property
    def stored_bytes(self) -> int:
        """Return the total size of the answers stored whole, in bytes."""
        return self._stored_bytes

    def get(self, service: ServiceName, key: IdempotencyKey) -> HeldClaim | None:
        """Return the claim of a key, or None."""
        return self._claims.get((service, key))

    def claim(self, command: ClaimKey) -> ClaimReply:
        """Grant a key to one claim only; return its state to the others."""
        service_key = (command.service, command.key)
        held = self._claims.get(service_key)
        if held is None:
            if len(self._claims) >= self._max_claims:
                return _reply(ClaimOutcome.FULL, command)
            return self._grant(service_key, command, ())
        if held.claim == command.claim and held.state is ClaimState.RUNNING:
            return _reply(ClaimOutcome.GRANTED, held)
        if is_withdrawn(held.released, command.claim):
            return _reply(ClaimOutcome.WITHDRAWN, command)
        if held.state is ClaimState.RELEASED:
            return self._grant(service_key, command, held.released)
        if held.fingerprint != command.fingerprint:
            return _reply(ClaimOutcome.MISMATCH, held)
        return _reply(OUTCOME_BY_STATE[held.state], held, held.answer)

    def finish(self, command: FinishKey) -> None:
        """Record the outcome of a run; ignore other claims and repeated outcomes."""
        service_key = (command.service, command.key)
        held = self._claims.get(service_key)
        if held is None or held.claim != command.claim:
            return
        if held.state not in (ClaimState.RUNNING, ClaimState.UNKNOWN):
            return
        self._answer_order += 1
        # Re-inserted last, so that a snapshot lists stored answers in eviction order.
        del self._claims[service_key]
        self._update(
            service_key,
            held,
            state=command.state,
            answer=command.answer,
            answer_order=self._answer_order,
        )
        if command.answer.whole:
            self._store_answer(service_key, command.answer)

    def release(self, command: ReleaseKey) -> None:
        """Release a key, even if the claim has not reached the log yet."""
        service_key = (command.service, command.key)
        held = self._claims.get(service_key)
        if held is None:
            if len(self._claims) < self._max_claims:
                self._insert_released(service_key, command)
            return
        if held.state in (ClaimState.FINISHED, ClaimState.UNKNOWN):
            return
        released = withdraw(held.released, command.claim)
        is_holder = held.claim == command.claim
        state = ClaimState.RELEASED if is_holder else held.state
        self._update(service_key, held, state=state, released=released)

    def mark_lost(self, command: LoseClaims) -> None:
        """Mark the running claims of a node's earlier incarnations as unknown."""
        for service_key in tuple(self._running_by_holder.get(command.holder, ())):
            held = self._claims[service_key]
            if held.incarnation != command.incarnation:
                self._update(service_key, held, state=ClaimState.UNKNOWN)

    def advance_clock(self, command: ElapseTime) -> None:
        """Advance the log clock and remove expired claims."""
        self._clock_ms += command.elapsed_ms
        while self._expiries and self._expiries[0][0] <= self._clock_ms:
            _, service_key = heapq.heappop(self._expiries)
            held = self._claims.get(service_key)
            if held is not None and held.expires_ms <= self._clock_ms:
                self._remove_answer_size(service_key)
                self._set_running(held, is_running=False)
                del self._claims[service_key]

    def blocks(self) -> Iterator[bytes]:
        """Encode the table as it is at the call, in blocks of claims."""
        # Claims are immutable, so a shallow copy is a consistent snapshot.
        return _encode_blocks(self._clock_ms, tuple(self._claims.values()))

    def restore(self, block: bytes) -> None:
        """Add the claims of the next encoded block."""
        state = decode_claims(block)
        self._clock_ms = state.clock_ms
        for held in state.claims:
            self._restore_claim(held)

    def discard_block(self) -> bool:
        """Free some rows of an unused table; return whether any are left."""
        for rows in (self._claims, self._answer_bytes):
            for _ in range(min(len(rows), CLAIMS_PER_BLOCK)):
                rows.popitem()
        del self._expiries[-CLAIMS_PER_BLOCK:]
        return bool(self._claims or self._answer_bytes or self._expiries)

    def _restore_claim(self, held: HeldClaim) -> None:
        service_key = (held.service, held.key)
        self._insert(service_key, held)
        self._answer_order = max(self._answer_order, held.answer_order)
        if held.answer.whole:
            self._store_answer(service_key, held.answer)

    def _grant(
        self, service_key: ServiceKey, command: ClaimKey, released: tuple[ClaimId, ...]
    ) -> ClaimReply:
        self._insert(
            service_key,
            HeldClaim(
                claim=command.claim,
                service=command.service,
                key=command.key,
                fingerprint=command.fingerprint,
                holder=command.holder,
                incarnation=command.incarnation,
                expires_ms=self._clock_ms + command.keep_ms,
                released=released,
            ),
        )
        return _reply(ClaimOutcome.GRANTED, command)

    def _insert_released(self, service_key: ServiceKey, command: ReleaseKey) -> None:
        self._insert(
            service_key,
            HeldClaim(
                claim=command.claim,
                service=command.service,
                key=command.key,
                fingerprint=Fingerprint(0),
                holder=NodeName(""),
                incarnation=0,
                expires_ms=self._clock_ms + RELEASED_CLAIM_TTL_MS,
                state=ClaimState.RELEASED,
                released=(command.claim,),
            ),
        )

    def _insert(self, service_key: ServiceKey, held: HeldClaim) -> None:
        self._claims[service_key] = held
        self._set_running(held, is_running=held.state is ClaimState.RUNNING)
        heapq.heappush(self._expiries, (held.expires_ms, service_key))

    def _update(self, service_key: ServiceKey, held: HeldClaim, **changes) -> None:
        changed = self._claims[service_key] = replace(held, **changes)
        self._set_running(held, is_running=changed.state is ClaimState.RUNNING)

    def _set_running(self, held: HeldClaim, *, is_running: bool) -> None:
        service_key = (held.service, held.key)
        if is_running:
            self._running_by_holder.setdefault(held.holder, set()).add(service_key)
            return
        service_keys = self._running_by_holder.get(held.holder, set())
        service_keys.discard(service_key)
        if not service_keys:
            self._running_by_holder.pop(held.holder, None)

    def _store_answer(self, service_key: ServiceKey, answer: KeptAnswer) -> None:
        size_bytes = len(answer.body) + sum(map(len, answer.headers))
        self._answer_bytes[service_key] = size_bytes
        self._stored_bytes += size_bytes
        while self._stored_bytes > self._max_stored_bytes:
            self._evict_answer(next(iter(self._answer_bytes)))

    def _evict_answer(self, service_key: ServiceKey) -> None:
        self._remove_answer_size(service_key)
        held = self._claims[service_key]
        answer = replace(held.answer, headers=(), body=b"", whole=False)
        self._claims[service_key] = replace(held, answer=answer)

    def _remove_answer_size(self, service_key: ServiceKey) -> None:
        self._stored_bytes -= self._answer_bytes.pop(service_key, 0)


def _encode_blocks(clock_ms: int, claims: tuple[HeldClaim, ...]) -> Iterator[bytes]:
    for start in range(0, max(1, len(claims)), CLAIMS_PER_BLOCK):
        block = claims[start : start + CLAIMS_PER_BLOCK]
        yield encode_claims(ClaimTableState(clock_ms, block))


def _reply(
    outcome: ClaimOutcome,
    held: HeldClaim | ClaimKey,
    answer: KeptAnswer = NO_ANSWER,
) -> ClaimReply:
    return ClaimReply(outcome, held.holder, held.incarnation, answer)
