"""Guard the one way into a backend server."""

from collections.abc import Callable
from functools import partial

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.admission.admission import Admission, AdmissionRequest
from persimmonhall.admission.counters import GateCounters
from persimmonhall.admission.messages import Outcome, request_kind
from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.admission.slot import AdmittedSlot
from persimmonhall.call.backend import Backend, BackendState
from persimmonhall.call.chain import CHAIN_HEADER, Chain
from persimmonhall.call.executions import Executions
from persimmonhall.call.messages import (
    REPLIES,
    Answered,
    Call,
    Load,
    Reply,
    decode_call,
    flatten,
    pair_up,
    refused,
)
from persimmonhall.call.ranking import CriticalShare, Ranking, unbounded_share
from persimmonhall.call.run_outcome import run_outcome
from persimmonhall.document.schema import MAX_ANSWER_BYTES
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.client import HttpClient, PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.once.runner import DirectRunner, Runner
from persimmonhall.stalls import Stalls
from persimmonhall.wire.answer_memory import AnswerMemory, Holding
from persimmonhall.wire.link_server import HeldReply


class Gate:
    """Admit calls, run them on the backend server and answer whole."""

    def __init__(
        self,
        critical_share: CriticalShare = unbounded_share,
        self_limit: SelfLimit | None = None,
        runner: Runner | None = None,
        make_client: Callable[[int], HttpClient] = PooledClient,
        answers: AnswerMemory | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        stalls: Stalls | None = None,
    ):
        self._runner = runner or DirectRunner()
        self._admission = Admission(stalls)
        self._ranking = Ranking(critical_share, self._admission.counters)
        self._self_limit = self_limit or SelfLimit()
        self._executions = Executions()
        self._backend: Backend | None = None
        self._client: HttpClient | None = None
        self._make_client = make_client
        self._answers = answers or AnswerMemory()
        self._max_answer_bytes = max_answer_bytes
        self._connect_failed = False
        self._leaving = False
        self._calls = 0
        self._changed = trio.Event()

    @property
    def backend(self) -> Backend | None:
        """Return the backend server, if one has announced itself."""
        return self._backend

    @property
    def executions(self) -> Executions:
        """Return the runs in progress on the backend server."""
        return self._executions

    @property
    def counters(self) -> GateCounters:
        """Return the counts since the start."""
        return self._admission.counters

    @property
    def load(self) -> Load:
        """Report how busy the gate is."""
        core = self._admission.core
        latency_us = int(core.mean_service_time_s * 1_000_000)
        return Load(core.in_flight, core.queued, core.limit, latency_us)

    async def keep_time(self) -> None:
        """Refuse in time what cannot start any more, until cancelled."""
        await self._admission.run_timer()

    def set_backend(self, backend: Backend | None) -> None:
        """Take in an announcement, or its absence."""
        if backend is None or self._backend is None or self._client is None:
            self._client = self._make_client(backend.connections) if backend else None
        if backend is not None:
            self._admission.set_slots(backend.slots, is_cold=self._is_cold(backend))
            self._connect_failed = False
        self._backend = backend
        self._hand_back()

    def leave(self) -> None:
        """Refuse new calls, and those that wait, from now on."""
        self._leaving = True
        self._hand_back()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no call is in flight, at most the timeout."""
        with trio.move_on_after(timeout_s):
            while self._calls:
                await self._changed.wait()
            await self._answers.wait_idle()

    async def handle(self, payload: bytes) -> HeldReply:
        """Answer a call that came as bytes."""
        call = decode_call(payload)
        holding = self._answers.open()
        try:
            reply = REPLIES.encode(await self.run(call, holding))
        except BaseException:
            holding.close()
            raise
        return HeldReply(reply, holding.close)

    async def run(self, call: Call, holding: Holding | None = None) -> Reply:
        """Admit and run one call within its remaining time."""
        self._calls += 1
        try:
            return await self._run_in_time(self._ranking.rank(call), holding)
        finally:
            self._calls -= 1
            self._changed.set()
            self._changed = trio.Event()

    def _hand_back(self) -> None:
        """Refuse at once what waits for a backend server that takes no more."""
        refusal = self._closed()
        if refusal is not None:
            self._admission.refuse_queued(refusal)

    def _closed(self) -> Refusal | None:
        if self._backend is None:
            return refuse(ErrorKind.NO_SERVER, "no backend server here")
        if self._leaving or self._backend.state is BackendState.LEAVING:
            return refuse(ErrorKind.LEAVING, "the backend server is leaving")
        return None

    def _is_cold(self, backend: Backend) -> bool:
        known = self._backend
        is_new = known is None or known.address != backend.address
        return is_new or self._connect_failed

    async def _run_in_time(self, call: Call, holding: Holding | None) -> Reply:
        started = False
        with trio.move_on_after(call.remaining_ms / 1000) as scope:
            match await self._admit(call, scope.deadline):
                case Failure(refusal):
                    return refused(refusal, self.load)
                case Success(slot):
                    started = True
                    return await self._run_admitted(call, slot, holding)
        ran = Ran.UNKNOWN if started else Ran.NO
        refusal = refuse(ErrorKind.DEADLINE_EXCEEDED, "no time was left", ran=ran)
        return refused(refusal, self.load)

    async def _admit(
        self, call: Call, deadline: float
    ) -> Result[AdmittedSlot, Refusal]:
        refusal = self._refusal_before_queue(call)
        if refusal is not None:
            self._admission.count_refusal(refusal, call.worth)
            return Failure(refusal)
        kind = request_kind(call.method, call.target)
        asked = AdmissionRequest(call.root, call.worth, call.depth, kind, deadline)
        admitted = await self._admission.admit(asked)
        return admitted.map(
            lambda given: AdmittedSlot(self._admission, asked, given, self._closed)
        )

    def _refusal_before_queue(self, call: Call) -> Refusal | None:
        backend = self._backend
        if backend is not None and backend.service != call.service:
            detail = f"no backend server of {call.service} here"
            return refuse(ErrorKind.NO_SERVER, detail)
        return (
            self._closed()
            or self._self_limit.refusal(call.worth, call.root)
            or self._runner.refusal(call)
        )

    async def _run_admitted(
        self, call: Call, slot: AdmittedSlot, holding: Holding | None
    ) -> Reply:
        outcome = Outcome.CANCELLED
        try:
            result = await self._send_once(call, slot, holding)
            outcome = run_outcome(result)
        finally:
            slot.finish(outcome)
        match result:
            case Success(answer):
                return Answered(
                    answer.status, flatten(answer.headers), answer.body, self.load
                )
            case Failure(refusal):
                self._note_failure(call, refusal)
                return refused(refusal, self.load)

    def _note_failure(self, call: Call, refusal: Refusal) -> None:
        if refusal.kind is ErrorKind.CONNECT_FAILED:
            self._connect_failed = True
        logging.info(
            "backend failed root=%s error=%s ran=%s %s",
            call.root,
            refusal.kind.value,
            refusal.ran.value,
            refusal.detail,
        )

    async def _send_once(
        self, call: Call, slot: AdmittedSlot, holding: Holding | None
    ) -> Result[HttpAnswer, Refusal]:
        if self._backend is None:
            return Failure(_backend_gone())
        address = self._backend.address
        send = partial(self._send, call, slot, holding)
        return await self._runner.run(call, address, slot, send)

    async def _send(
        self, call: Call, slot: AdmittedSlot, holding: Holding | None
    ) -> Result[HttpAnswer, Refusal]:
        backend, client = self._backend, self._client
        if backend is None or client is None:
            return Failure(_backend_gone())
        remaining_ms = max(0, _remaining_ms())
        chain = Chain(call.root, call.entry, call.depth, call.worth, remaining_ms)
        child = chain.child(remaining_ms)
        headers = (*pair_up(call.headers), (CHAIN_HEADER, child.encode()))
        request = HttpRequest(call.method, call.target, headers, call.body)
        deadline = trio.current_effective_deadline()
        slot.mark_sent()
        with self._executions.running(child.execution, deadline):
            limit = min(call.max_answer_bytes, self._max_answer_bytes)
            return await client.send(backend.address, request, limit, holding)


def _backend_gone() -> Refusal:
    return refuse(ErrorKind.NO_SERVER, "the backend server is gone")


def _remaining_ms() -> int:
    left = trio.current_effective_deadline() - trio.current_time()
    return int(min(left * 1000, 2**31))
