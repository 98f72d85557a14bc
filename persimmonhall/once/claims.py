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
MAX_KEPT_BYTES = 32 * 1024 * 1024
CLAIMS_A_BLOCK = 32
RELEASED_KEEP_MS = 10 * 60 * 1000

Slot = tuple[ServiceName, IdempotencyKey]

OUTCOMES = {
    ClaimState.RUNNING: ClaimOutcome.RUNNING,
    ClaimState.FINISHED: ClaimOutcome.FINISHED,
    ClaimState.UNKNOWN: ClaimOutcome.UNKNOWN,
}


class ClaimTable:
    """Store the claim of every key until it expires."""

    def __init__(
        self, max_claims: int = MAX_CLAIMS, max_kept_bytes: int = MAX_KEPT_BYTES
    ):
        self._max_claims = max_claims
        self._max_kept_bytes = max_kept_bytes
        self._clock_ms = 0
        self._claims: dict[Slot, HeldClaim] = {}
        self._expiries: list[tuple[int, Slot]] = []
        self._answers: OrderedDict[Slot, int] = OrderedDict()
        self._running: dict[NodeName, set[Slot]] = {}
        self._kept_bytes = 0
        self._answer_order = 0

    @property
    def count(self) -> int:
        """Return the number of keys in the table."""
        return len(self._claims)

    @property
    def kept_bytes(self) -> int:
        """Return the total size of the answers stored whole, in bytes."""
        return self._kept_bytes

    def get(self, service: ServiceName, key: IdempotencyKey) -> HeldClaim | None:
        """Return the claim of a key, or None."""
        return self._claims.get((service, key))

    def claim(self, command: ClaimKey) -> ClaimReply:
        """Grant a key to one claim only; return its state to the others."""
        slot = (command.service, command.key)
        held = self._claims.get(slot)
        if held is None:
            if len(self._claims) >= self._max_claims:
                return _reply(ClaimOutcome.FULL, command)
            return self._grant(slot, command, ())
        if held.claim == command.claim and held.state is ClaimState.RUNNING:
            return _reply(ClaimOutcome.GRANTED, held)
        if is_withdrawn(held.released, command.claim):
            return _reply(ClaimOutcome.WITHDRAWN, command)
        if held.state is ClaimState.RELEASED:
            return self._grant(slot, command, held.released)
        if held.fingerprint != command.fingerprint:
            return _reply(ClaimOutcome.MISMATCH, held)
        return _reply(OUTCOMES[held.state], held, held.answer)

    def finish(self, command: FinishKey) -> None:
        """Record the outcome of a run; ignore other claims and repeated outcomes."""
        slot = (command.service, command.key)
        held = self._claims.get(slot)
        if held is None or held.claim != command.claim:
            return
        if held.state not in (ClaimState.RUNNING, ClaimState.UNKNOWN):
            return
        self._answer_order += 1
        # Re-inserted last, so that a snapshot lists stored answers in eviction order.
        del self._claims[slot]
        self._replace(
            slot,
            held,
            state=command.state,
            answer=command.answer,
            answer_order=self._answer_order,
        )
        if command.answer.whole:
            self._keep(slot, command.answer)

    def release(self, command: ReleaseKey) -> None:
        """Release a key, even if the claim has not reached the log yet."""
        slot = (command.service, command.key)
        held = self._claims.get(slot)
        if held is None:
            if len(self._claims) < self._max_claims:
                self._put_released(slot, command)
            return
        if held.state in (ClaimState.FINISHED, ClaimState.UNKNOWN):
            return
        released = withdraw(held.released, command.claim)
        is_holder = held.claim == command.claim
        state = ClaimState.RELEASED if is_holder else held.state
        self._replace(slot, held, state=state, released=released)

    def lose(self, command: LoseClaims) -> None:
        """Mark the running claims of a node's earlier incarnations as unknown."""
        for slot in tuple(self._running.get(command.holder, ())):
            held = self._claims[slot]
            if held.incarnation != command.incarnation:
                self._replace(slot, held, state=ClaimState.UNKNOWN)

    def elapse(self, command: ElapseTime) -> None:
        """Advance the log clock and remove expired claims."""
        self._clock_ms += command.elapsed_ms
        while self._expiries and self._expiries[0][0] <= self._clock_ms:
            _, slot = heapq.heappop(self._expiries)
            held = self._claims.get(slot)
            if held is not None and held.expires_ms <= self._clock_ms:
                self._drop_answer(slot)
                self._set_running(held, running=False)
                del self._claims[slot]

    def blocks(self) -> Iterator[bytes]:
        """Encode the table as it is at the call, in blocks of claims."""
        # Claims are immutable, so a shallow copy is a consistent snapshot.
        return _blocks(self._clock_ms, tuple(self._claims.values()))

    def restore(self, block: bytes) -> None:
        """Add the claims of the next encoded block."""
        state = decode_claims(block)
        self._clock_ms = state.clock_ms
        for held in state.claims:
            self._restore(held)

    def discard(self) -> bool:
        """Free some rows of an unused table; return whether any are left."""
        for rows in (self._claims, self._answers):
            for _ in range(min(len(rows), CLAIMS_A_BLOCK)):
                rows.popitem()
        del self._expiries[-CLAIMS_A_BLOCK:]
        return bool(self._claims or self._answers or self._expiries)

    def _restore(self, held: HeldClaim) -> None:
        slot = (held.service, held.key)
        self._hold(slot, held)
        self._answer_order = max(self._answer_order, held.answer_order)
        if held.answer.whole:
            self._keep(slot, held.answer)

    def _grant(
        self, slot: Slot, command: ClaimKey, released: tuple[ClaimId, ...]
    ) -> ClaimReply:
        self._hold(
            slot,
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

    def _put_released(self, slot: Slot, command: ReleaseKey) -> None:
        self._hold(
            slot,
            HeldClaim(
                claim=command.claim,
                service=command.service,
                key=command.key,
                fingerprint=Fingerprint(0),
                holder=NodeName(""),
                incarnation=0,
                expires_ms=self._clock_ms + RELEASED_KEEP_MS,
                state=ClaimState.RELEASED,
                released=(command.claim,),
            ),
        )

    def _hold(self, slot: Slot, held: HeldClaim) -> None:
        self._claims[slot] = held
        self._set_running(held, running=held.state is ClaimState.RUNNING)
        heapq.heappush(self._expiries, (held.expires_ms, slot))

    def _replace(self, slot: Slot, held: HeldClaim, **changes) -> None:
        changed = self._claims[slot] = replace(held, **changes)
        self._set_running(held, running=changed.state is ClaimState.RUNNING)

    def _set_running(self, held: HeldClaim, *, running: bool) -> None:
        slot = (held.service, held.key)
        if running:
            self._running.setdefault(held.holder, set()).add(slot)
            return
        slots = self._running.get(held.holder, set())
        slots.discard(slot)
        if not slots:
            self._running.pop(held.holder, None)

    def _keep(self, slot: Slot, answer: KeptAnswer) -> None:
        size = len(answer.body) + sum(map(len, answer.headers))
        self._answers[slot] = size
        self._kept_bytes += size
        while self._kept_bytes > self._max_kept_bytes:
            self._forget_body(next(iter(self._answers)))

    def _forget_body(self, slot: Slot) -> None:
        self._drop_answer(slot)
        held = self._claims[slot]
        answer = replace(held.answer, headers=(), body=b"", whole=False)
        self._claims[slot] = replace(held, answer=answer)

    def _drop_answer(self, slot: Slot) -> None:
        self._kept_bytes -= self._answers.pop(slot, 0)


def _blocks(clock_ms: int, claims: tuple[HeldClaim, ...]) -> Iterator[bytes]:
    for start in range(0, max(1, len(claims)), CLAIMS_A_BLOCK):
        block = claims[start : start + CLAIMS_A_BLOCK]
        yield encode_claims(ClaimTableState(clock_ms, block))


def _reply(
    outcome: ClaimOutcome,
    held: HeldClaim | ClaimKey,
    answer: KeptAnswer = NO_ANSWER,
) -> ClaimReply:
    return ClaimReply(outcome, held.holder, held.incarnation, answer)
