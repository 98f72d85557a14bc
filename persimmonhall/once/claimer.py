"""Run a keyed request only under a claim granted by the log."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.call.messages import Call
from persimmonhall.control.client import SILENCE_S, ControlClient
from persimmonhall.document.schema import DAY_S
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import ClaimId, Fingerprint, NodeName
from persimmonhall.once.answers import IsLive, answer_without_run, keep_answer
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
from persimmonhall.once.quorum import QuorumWatch
from persimmonhall.once.settler import Settler
from persimmonhall.once.slot import Slot

DERIVED_KEY_WINDOW_S = 10 * 60
CLAIM_TIMEOUT_S = 2.0
RELEASE_TIMEOUT_S = 0.35
END_PAUSE_S = 0.05
MAX_WITHOUT_SLOT = 1000
RUN_TIME_MARGIN = 1.2
LEAST_WAIT_S = 0.25
LEAST_SHARE_OF_TIME_LEFT = 0.5
NO_QUORUM_RETRY_AFTER_S = 1.0

Send = Callable[[], Awaitable[Result[HttpAnswer, Refusal]]]


@dataclass(frozen=True)
class Holder:
    """Name one run of a node's process."""

    node: NodeName
    incarnation: int


class Claimer:
    """Claim a key, send the request once and record how it ended."""

    def __init__(
        self,
        holder: Holder,
        control: ControlClient,
        settler: Settler,
        quorum: QuorumWatch,
        is_live: IsLive,
    ):
        self._holder = holder
        self._control = control
        self._settler = settler
        self._is_live = is_live
        self._quorum = quorum
        self._waiting = _Waiting()
        self._ids = itertools.count(1)

    def lose_earlier_runs(self) -> None:
        """Declare what this node ran before it restarted lost."""
        ending = LoseClaims(self._holder.node, self._holder.incarnation)
        self._settler.settle(ending)

    async def run(
        self, call: Call, fingerprint: Fingerprint, slot: Slot, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request if its key is granted to this attempt."""
        command = self._make_claim(call, fingerprint)
        result = await self._claim(command, slot)
        if _has_outcome(result, ClaimOutcome.WITHDRAWN):
            # A later claim of this node was withdrawn before this one arrived.
            command = self._make_claim(call, fingerprint)
            result = await self._claim(command, slot)
        elif _has_outcome(result, ClaimOutcome.RUNNING):
            # The end of a run comes to the log after its answer to the caller.
            slot.release()
            await trio.sleep(END_PAUSE_S)
            command = self._make_claim(call, fingerprint)
            result = await self._claim_again(command, slot, result)
        match result:
            case Failure() as failure:
                return failure
            case Success(reply):
                _log_claim(call, reply)
        if not _is_granted(reply):
            return answer_without_run(reply, self._is_live)
        match await self._take_slot(command, slot):
            case Failure() as failure:
                return failure
        return await self._run_granted(command, send)

    def _make_claim(self, call: Call, fingerprint: Fingerprint) -> ClaimKey:
        holder = self._holder
        return ClaimKey(
            claim=ClaimId(f"{holder.node}/{holder.incarnation}/{next(self._ids)}"),
            service=call.service,
            key=call.key,
            fingerprint=fingerprint,
            holder=holder.node,
            incarnation=holder.incarnation,
            keep_ms=_window_s(call) * 1000 + 2 * call.remaining_ms,
        )

    async def _claim(
        self, command: ClaimKey, slot: Slot
    ) -> Result[ClaimReply, Refusal]:
        begin = trio.current_time()
        if self._quorum.is_lost(begin):
            return Failure(_no_quorum("control has not answered for some time"))
        wait_s = _longest_wait_s(_time_left_s(), slot.run_s)
        result = Failure(
            replace(
                _no_quorum("the claim was not answered in time"),
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
            self._quorum.answered()
            return result
        if wait_s >= SILENCE_S:
            self._quorum.unanswered(begin)
        # The claim may still be granted, but this attempt will never run.
        self._release(command)
        return result

    async def _claim_again(
        self, command: ClaimKey, slot: Slot, running: Result[ClaimReply, Refusal]
    ) -> Result[ClaimReply, Refusal]:
        """Claim a key that ran before; without an answer it still counts as running."""
        result = await self._claim(command, slot)
        if isinstance(result, Failure) or _has_outcome(result, ClaimOutcome.WITHDRAWN):
            return running
        return result

    async def _submit(
        self, command: ClaimKey, slot: Slot
    ) -> Result[ClaimReply, Refusal]:
        delayed = _Delayed(self._waiting, slot)
        try:
            result = await self._control.submit_widely(command, delayed.begin)
        finally:
            delayed.end()
        match result:
            case Failure(refusal):
                return Failure(_no_quorum(refusal.detail))
            case Success(reply) if delayed.begun and not _is_granted(reply):
                # A copy that comes late would be granted to nobody.
                self._release(command)
        return result

    async def _take_slot(self, command: ClaimKey, slot: Slot) -> Result[None, Refusal]:
        try:
            result = await slot.reacquire()
        except BaseException:
            self._release(command)
            raise
        if isinstance(result, Failure):
            # A retry elsewhere needs the key free before this reply.
            await self._wait_released(command)
        elif _time_left_s() <= 0:
            self._release(command)
            detail = "no time was left after the claim"
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
                self._finish(command, ClaimState.FINISHED, keep_answer(answer))
            case Failure(refusal) if refusal.ran is Ran.NO:
                await self._wait_released(command)
            case _:
                self._finish(command, ClaimState.UNKNOWN)
        return result

    def _finish(self, command: ClaimKey, state: ClaimState, answer=NO_ANSWER) -> None:
        self._settler.settle(
            FinishKey(command.claim, command.service, command.key, state, answer)
        )

    async def _wait_released(self, command: ClaimKey) -> None:
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            await self._release(command).wait()

    def _release(self, command: ClaimKey) -> trio.Event:
        ending = ReleaseKey(command.claim, command.service, command.key)
        return self._settler.settle(ending)


@dataclass
class _Waiting:
    """Count the claims that wait without a slot."""

    count: int = 0


class _Delayed:
    """Give the slot back once control is late; too many claims keep theirs."""

    def __init__(self, waiting: _Waiting, slot: Slot):
        self._waiting = waiting
        self._slot = slot
        self._counted = False
        self.begun = False

    def begin(self) -> None:
        """Take in that control is late."""
        if self.begun:
            return
        self.begun = True
        if self._waiting.count < MAX_WITHOUT_SLOT:
            self._waiting.count += 1
            self._counted = True
            self._slot.release()

    def end(self) -> None:
        """Take in that the wait is over."""
        self._waiting.count -= self._counted


def _no_quorum(detail: str) -> Refusal:
    return refuse(ErrorKind.NO_QUORUM, f"the key could not be claimed: {detail}")


def _window_s(call: Call) -> int:
    window_s = call.resend_window_s or DAY_S
    return min(window_s, DERIVED_KEY_WINDOW_S) if is_derived(call.key) else window_s


def _longest_wait_s(left_s: float, run_s: float) -> float:
    """Leave the run the time that it usually takes."""
    least_s = LEAST_SHARE_OF_TIME_LEFT * left_s
    if run_s <= 0:
        return min(CLAIM_TIMEOUT_S, least_s)
    wait_s = left_s - RUN_TIME_MARGIN * run_s
    return min(CLAIM_TIMEOUT_S, max(wait_s, min(LEAST_WAIT_S, least_s)))


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
