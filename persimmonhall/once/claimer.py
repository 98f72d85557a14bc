"""Run a keyed request only under a claim granted by the log."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.call.messages import Call
from persimmonhall.control.client import ControlClient
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
from persimmonhall.once.quorum import QuorumBreaker
from persimmonhall.once.settler import Settler

CALLER_KEY_KEEP_MS = 24 * 3600 * 1000
DERIVED_KEY_KEEP_MS = 10 * 60 * 1000
CLAIM_TIMEOUT_S = 2.0
TRY_TIMEOUT_S = 0.35
PAUSE_S = 0.02
CLAIM_SHARE_OF_TIME_LEFT = 0.5

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
        is_live: IsLive,
    ):
        self._holder = holder
        self._control = control
        self._settler = settler
        self._is_live = is_live
        self._breaker = QuorumBreaker()
        self._ids = itertools.count(1)

    def lose_earlier_runs(self) -> None:
        """Declare what this node ran before it restarted lost."""
        ending = LoseClaims(self._holder.node, self._holder.incarnation)
        self._settler.settle(ending)

    async def run(
        self, call: Call, fingerprint: Fingerprint, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request if its key is granted to this attempt."""
        command = self._make_claim(call, fingerprint)
        match await self._claim(command):
            case Failure() as failure:
                return failure
            case Success(reply):
                _log_claim(call, reply)
        if reply.outcome is not ClaimOutcome.GRANTED:
            return answer_without_run(reply, self._is_live)
        if _time_left_s() <= 0:
            self._release(command)
            detail = "no time was left after the claim"
            return Failure(refuse(ErrorKind.DEADLINE_EXCEEDED, detail, ran=Ran.NO))
        return await self._run_granted(command, send)

    def _make_claim(self, call: Call, fingerprint: Fingerprint) -> ClaimKey:
        holder = self._holder
        keep_ms = DERIVED_KEY_KEEP_MS if is_derived(call.key) else CALLER_KEY_KEEP_MS
        return ClaimKey(
            claim=ClaimId(f"{holder.node}/{holder.incarnation}/{next(self._ids)}"),
            service=call.service,
            key=call.key,
            fingerprint=fingerprint,
            holder=holder.node,
            incarnation=holder.incarnation,
            keep_ms=keep_ms + 2 * call.remaining_ms,
        )

    async def _claim(self, command: ClaimKey) -> Result[ClaimReply, Refusal]:
        if not self._breaker.allow(trio.current_time()):
            return Failure(_no_quorum("the last claim found no quorum"))
        timeout_s = min(CLAIM_TIMEOUT_S, CLAIM_SHARE_OF_TIME_LEFT * _time_left_s())
        result = Failure(_no_quorum("the claim was not answered in time"))
        try:
            with trio.move_on_after(timeout_s):
                result = await self._submit(command)
        except trio.Cancelled:
            self._release(command)
            raise
        reached = isinstance(result, Success)
        if reached or timeout_s >= TRY_TIMEOUT_S:
            self._breaker.record(trio.current_time(), reached=reached)
        if not reached:
            # The claim may still be granted, but this attempt will never run.
            self._release(command)
        return result

    async def _submit(self, command: ClaimKey) -> Result[ClaimReply, Refusal]:
        while True:
            with trio.move_on_after(TRY_TIMEOUT_S):
                match await self._control.submit(command):
                    case Success() as success:
                        return success
                    case Failure(refusal) if refusal.ran is Ran.NO:
                        return Failure(_no_quorum(refusal.detail))
            await trio.sleep(PAUSE_S)

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
                # A retry elsewhere needs the key free before this reply.
                with trio.move_on_after(TRY_TIMEOUT_S):
                    await self._release(command).wait()
            case _:
                self._finish(command, ClaimState.UNKNOWN)
        return result

    def _finish(self, command: ClaimKey, state: ClaimState, answer=NO_ANSWER) -> None:
        self._settler.settle(
            FinishKey(command.claim, command.service, command.key, state, answer)
        )

    def _release(self, command: ClaimKey) -> trio.Event:
        ending = ReleaseKey(command.claim, command.service, command.key)
        return self._settler.settle(ending)


def _no_quorum(detail: str) -> Refusal:
    return refuse(ErrorKind.NO_QUORUM, f"the key could not be claimed: {detail}")


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
