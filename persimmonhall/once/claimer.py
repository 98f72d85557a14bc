"""Send a keyed request only after the replicated log has granted its claim."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.call.messages import Call
from persimmonhall.control.client import MIN_HEDGE_DELAY_S, ControlClient
from persimmonhall.document.schema import DAY_S
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import ClaimId, Fingerprint, NodeName
from persimmonhall.once.answers import IsLive, resolve_ungranted_claim, to_stored_answer
from persimmonhall.once.claim_completer import ClaimCompleter
from persimmonhall.once.keys import is_derived
from persimmonhall.once.messages import (
    NO_ANSWER,
    ClaimKey,
    ClaimOutcome,
    ClaimReply,
    ClaimState,
    FinishKey,
    LoseClaims,
    ReleaseKey,
)
from persimmonhall.once.quorum import QuorumMonitor
from persimmonhall.once.slot import Slot

DERIVED_KEY_WINDOW_S = 10 * 60
CLAIM_TIMEOUT_S = 2.0
RELEASE_TIMEOUT_S = 0.35
RUNNING_RECLAIM_DELAY_S = 0.05
MAX_CLAIMS_WITHOUT_SLOT = 1000
RUN_TIME_SAFETY_FACTOR = 1.2
MIN_CLAIM_WAIT_S = 0.25
DEFAULT_CLAIM_WAIT_FRACTION = 0.5
NO_QUORUM_RETRY_AFTER_S = 1.0

Send = Callable[[], Awaitable[Result[HttpAnswer, Refusal]]]


@dataclass(frozen=True)
class NodeIncarnation:
    """Identify one run of a node's process."""

    node: NodeName
    incarnation: int


class Claimer:
    """Claim a key, send the request once and record its outcome."""

    def __init__(
        self,
        holder: NodeIncarnation,
        control: ControlClient,
        completer: ClaimCompleter,
        quorum: QuorumMonitor,
        is_live: IsLive,
    ):
        self._holder = holder
        self._control = control
        self._completer = completer
        self._is_live = is_live
        self._quorum = quorum
        self._claims_without_slot = _ClaimsWithoutSlot()
        self._claim_numbers = itertools.count(1)

    def mark_earlier_runs_lost(self) -> None:
        """Mark the claims of this node's earlier process runs as lost."""
        command = LoseClaims(self._holder.node, self._holder.incarnation)
        self._completer.complete(command)

    async def run(
        self, call: Call, fingerprint: Fingerprint, slot: Slot, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request if its claim is granted; otherwise return why it was not."""
        command = self._make_claim(call, fingerprint)
        result = await self._claim(command, slot)
        if _has_outcome(result, ClaimOutcome.WITHDRAWN):
            # A later claim of this node was released before this one reached the log,
            # which withdraws all earlier ones. A new claim has a higher number.
            command = self._make_claim(call, fingerprint)
            result = await self._claim(command, slot)
        elif _has_outcome(result, ClaimOutcome.RUNNING):
            # A run's completion reaches the log after its answer reaches the caller,
            # so a resend may still find the key running.
            slot.release()
            await trio.sleep(RUNNING_RECLAIM_DELAY_S)
            command = self._make_claim(call, fingerprint)
            result = await self._claim_again(command, slot, result)
        match result:
            case Failure() as failure:
                return failure
            case Success(reply):
                _log_claim(call, reply)
        if not _is_granted(reply):
            return resolve_ungranted_claim(reply, self._is_live)
        match await self._reacquire_slot(command, slot):
            case Failure() as failure:
                return failure
        return await self._run_granted(command, send)

    def _make_claim(self, call: Call, fingerprint: Fingerprint) -> ClaimKey:
        holder = self._holder
        return ClaimKey(
            claim=ClaimId(
                f"{holder.node}/{holder.incarnation}/{next(self._claim_numbers)}"
            ),
            service=call.service,
            key=call.key,
            fingerprint=fingerprint,
            holder=holder.node,
            incarnation=holder.incarnation,
            keep_ms=_resend_window_s(call) * 1000 + 2 * call.remaining_ms,
        )

    async def _claim(
        self, command: ClaimKey, slot: Slot
    ) -> Result[ClaimReply, Refusal]:
        started_at = trio.current_time()
        if self._quorum.is_lost(started_at):
            return Failure(
                _no_quorum_refusal("no quorum of control VMs has answered recently")
            )
        wait_s = _max_claim_wait_s(_time_left_s(), slot.run_s)
        result = Failure(
            replace(
                _no_quorum_refusal("the control VMs did not answer the claim in time"),
                retry_after_s=NO_QUORUM_RETRY_AFTER_S,
            )
        )
        try:
            with trio.move_on_after(wait_s):
                result = await self._submit(command, slot)
        except BaseException:
            self._release(command)
            raise
        if isinstance(result, Success):
            self._quorum.record_answer()
            return result
        if wait_s >= MIN_HEDGE_DELAY_S:
            self._quorum.record_timeout(started_at)
        # The claim may still be granted later, but this attempt will not send.
        self._release(command)
        return result

    async def _claim_again(
        self, command: ClaimKey, slot: Slot, running: Result[ClaimReply, Refusal]
    ) -> Result[ClaimReply, Refusal]:
        """Claim a key that was running; report it as running if this claim fails."""
        result = await self._claim(command, slot)
        if isinstance(result, Failure) or _has_outcome(result, ClaimOutcome.WITHDRAWN):
            return running
        return result

    async def _submit(
        self, command: ClaimKey, slot: Slot
    ) -> Result[ClaimReply, Refusal]:
        wait = _ClaimWait(self._claims_without_slot, slot)
        try:
            result = await self._control.submit_hedged(command, wait.handle_delay)
        finally:
            wait.finish()
        match result:
            case Failure(refusal):
                return Failure(_no_quorum_refusal(refusal.detail))
            case Success(reply) if wait.is_delayed and not _is_granted(reply):
                # A duplicate of the claim may reach the log late. The release
                # prevents a grant that no attempt would use.
                self._release(command)
        return result

    async def _reacquire_slot(
        self, command: ClaimKey, slot: Slot
    ) -> Result[None, Refusal]:
        try:
            result = await slot.reacquire()
        except BaseException:
            self._release(command)
            raise
        if isinstance(result, Failure):
            # The entry may retry on another server as soon as it gets this refusal,
            # so the key must be released first.
            await self._release_and_wait(command)
        elif _time_left_s() <= 0:
            self._release(command)
            detail = "the deadline passed while the key was being claimed"
            return Failure(refuse(ErrorKind.DEADLINE_EXCEEDED, detail, ran=Ran.NO))
        return result

    async def _run_granted(
        self, command: ClaimKey, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        try:
            result = await send()
        except BaseException:
            self._finish(command, ClaimState.UNKNOWN)
            raise
        match result:
            case Success(answer):
                self._finish(command, ClaimState.FINISHED, to_stored_answer(answer))
            case Failure(refusal) if refusal.ran is Ran.NO:
                await self._release_and_wait(command)
            case _:
                self._finish(command, ClaimState.UNKNOWN)
        return result

    def _finish(self, command: ClaimKey, state: ClaimState, answer=NO_ANSWER) -> None:
        self._completer.complete(
            FinishKey(command.claim, command.service, command.key, state, answer)
        )

    async def _release_and_wait(self, command: ClaimKey) -> None:
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            await self._release(command).wait()

    def _release(self, command: ClaimKey) -> trio.Event:
        completion = ReleaseKey(command.claim, command.service, command.key)
        return self._completer.complete(completion)


@dataclass
class _ClaimsWithoutSlot:
    """Count the claims that released their slot while waiting."""

    count: int = 0


class _ClaimWait:
    """Release the slot of a delayed claim, for MAX_CLAIMS_WITHOUT_SLOT at a time."""

    def __init__(self, claims_without_slot: _ClaimsWithoutSlot, slot: Slot):
        self._claims_without_slot = claims_without_slot
        self._slot = slot
        self._is_counted = False
        self.is_delayed = False

    def handle_delay(self) -> None:
        """Release the slot on the first delay, unless too many claims have done so."""
        if self.is_delayed:
            return
        self.is_delayed = True
        if self._claims_without_slot.count < MAX_CLAIMS_WITHOUT_SLOT:
            self._claims_without_slot.count += 1
            self._is_counted = True
            self._slot.release()

    def finish(self) -> None:
        """Stop counting this claim once the wait is over."""
        self._claims_without_slot.count -= self._is_counted


def _no_quorum_refusal(detail: str) -> Refusal:
    return refuse(ErrorKind.NO_QUORUM, f"the key could not be claimed: {detail}")


def _resend_window_s(call: Call) -> int:
    window_s = call.resend_window_s or DAY_S
    return min(window_s, DERIVED_KEY_WINDOW_S) if is_derived(call.key) else window_s


def _max_claim_wait_s(time_left_s: float, run_s: float) -> float:
    """Return the longest wait for a claim that leaves enough time for the run."""
    default_wait_s = DEFAULT_CLAIM_WAIT_FRACTION * time_left_s
    if run_s <= 0:
        return min(CLAIM_TIMEOUT_S, default_wait_s)
    wait_s = time_left_s - RUN_TIME_SAFETY_FACTOR * run_s
    return min(CLAIM_TIMEOUT_S, max(wait_s, min(MIN_CLAIM_WAIT_S, default_wait_s)))


def _is_granted(reply: ClaimReply) -> bool:
    return reply.outcome is ClaimOutcome.GRANTED


def _has_outcome(result: Result[ClaimReply, Refusal], outcome: ClaimOutcome) -> bool:
    match result:
        case Success(reply):
            return reply.outcome is outcome
    return False


def _time_left_s() -> float:
    return trio.current_effective_deadline() - trio.current_time()


def _log_claim(call: Call, reply: ClaimReply) -> None:
    logging.info(
        "claim root=%s service=%s key=%s outcome=%s holder=%s",
        call.root,
        call.service,
        call.key,
        reply.outcome.value,
        reply.holder,
    )
