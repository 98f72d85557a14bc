"""Admit calls to the backend server and run them."""

from collections.abc import Callable
from dataclasses import replace
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
from persimmonhall.call.critical_limiter import (
    CriticalLimiter,
    CriticalRateLookup,
    unlimited_critical_rate,
)
from persimmonhall.call.executions import ExecutionTracker
from persimmonhall.call.messages import (
    REPLIES,
    Answered,
    Call,
    Reply,
    decode_call,
    flatten_headers,
    make_refused,
    pair_headers,
)
from persimmonhall.call.run_outcome import run_outcome
from persimmonhall.document.schema import MAX_ANSWER_BYTES
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.client import HttpClient, PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.once.runner import DirectRunner, Runner
from persimmonhall.process_pauses import MIN_PROCESS_PAUSE_S, ProcessPauses
from persimmonhall.routing.load import Load
from persimmonhall.wire.answer_memory import AnswerMemory, AnswerReservation
from persimmonhall.wire.link_server import ReplyWithCallback


class Gate:
    """Admit calls, run them on the backend server and return complete answers."""

    def __init__(
        self,
        critical_rate_per_s: CriticalRateLookup = unlimited_critical_rate,
        self_limit: SelfLimit | None = None,
        runner: Runner | None = None,
        make_client: Callable[[int], HttpClient] = PooledClient,
        answer_memory: AnswerMemory | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        process_pauses: ProcessPauses | None = None,
    ):
        self._runner = runner or DirectRunner()
        self._process_pauses = process_pauses or ProcessPauses()
        self._admission = Admission(process_pauses)
        self._critical_limiter = CriticalLimiter(
            critical_rate_per_s, self._admission.counters
        )
        self._self_limit = self_limit or SelfLimit()
        self._executions = ExecutionTracker()
        self._backend: Backend | None = None
        self._client: HttpClient | None = None
        self._make_client = make_client
        self._answer_memory = answer_memory or AnswerMemory()
        self._max_answer_bytes = max_answer_bytes
        self._connect_failed = False
        self._is_draining = False
        self._call_count = 0
        self._call_ended = trio.Event()

    @property
    def backend(self) -> Backend | None:
        """Return the backend server, if one has announced itself."""
        return self._backend

    @property
    def executions(self) -> ExecutionTracker:
        """Return the tracker of executions on the backend server."""
        return self._executions

    @property
    def counters(self) -> GateCounters:
        """Return the counts since the start."""
        return self._admission.counters

    @property
    def load(self) -> Load:
        """Return the load of the gate."""
        core = self._admission.core
        latency_us = int(core.mean_service_time_s * 1_000_000)
        return Load(core.in_flight, core.queued, core.limit, latency_us)

    async def run_queue_timer(self) -> None:
        """Refuse queued calls that can no longer start in time, until cancelled."""
        await self._admission.run_timer()

    def set_backend(self, backend: Backend | None) -> None:
        """Set the announced backend server; None removes it."""
        if backend is None or self._backend is None or self._client is None:
            self._client = self._make_client(backend.connections) if backend else None
        if backend is not None:
            self._admission.set_slots(backend.slots, is_cold=self._is_cold(backend))
            self._connect_failed = False
        self._backend = backend
        self._refuse_queued()

    def drain(self) -> None:
        """Start draining: refuse new and queued calls; running ones continue."""
        self._is_draining = True
        self._refuse_queued()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no call is in flight, at most the timeout in seconds."""
        with trio.move_on_after(timeout_s):
            while self._call_count:
                await self._call_ended.wait()
            await self._answer_memory.wait_idle()

    async def handle(self, payload: bytes) -> ReplyWithCallback:
        """Run an encoded call and return its encoded reply."""
        call = self._without_time_paused(decode_call(payload))
        reservation = self._answer_memory.open_reservation()
        try:
            reply = REPLIES.encode(await self.run(call, reservation))
        except BaseException:
            reservation.close()
            raise
        return ReplyWithCallback(reply, reservation.close)

    async def run(
        self, call: Call, reservation: AnswerReservation | None = None
    ) -> Reply:
        """Admit and run one call within its remaining time."""
        self._call_count += 1
        try:
            return await self._run_before_deadline(
                self._critical_limiter.limit_worth(call), reservation
            )
        finally:
            self._call_count -= 1
            self._call_ended.set()
            self._call_ended = trio.Event()

    def _without_time_paused(self, call: Call) -> Call:
        """Take a pause of this process, in which the call lay unread, off its time."""
        age_s = self._process_pauses.input_age_s(trio.current_time())
        if age_s < MIN_PROCESS_PAUSE_S:
            # Heartbeats of an idle process follow each other only every half second.
            return call
        return replace(call, remaining_ms=max(0, call.remaining_ms - int(age_s * 1000)))

    def _refuse_queued(self) -> None:
        """Refuse the queued calls if the backend server accepts no more."""
        refusal = self._closed_refusal()
        if refusal is not None:
            self._admission.refuse_queued(refusal)

    def _closed_refusal(self) -> Refusal | None:
        if self._backend is None:
            return refuse(ErrorKind.NO_SERVER, "this node has no backend server")
        if self._is_draining or self._backend.state is BackendState.LEAVING:
            return refuse(ErrorKind.LEAVING, "the backend server is draining")
        return None

    def _is_cold(self, backend: Backend) -> bool:
        previous = self._backend
        is_new = previous is None or previous.address != backend.address
        return is_new or self._connect_failed

    async def _run_before_deadline(
        self, call: Call, reservation: AnswerReservation | None
    ) -> Reply:
        is_started = False
        with trio.move_on_after(call.remaining_ms / 1000) as scope:
            match await self._admit(call, scope.deadline):
                case Failure(refusal):
                    return make_refused(refusal, self.load)
                case Success(slot):
                    is_started = True
                    return await self._run_admitted(call, slot, reservation)
        ran = Ran.UNKNOWN if is_started else Ran.NO
        refusal = refuse(
            ErrorKind.DEADLINE_EXCEEDED,
            "the deadline passed before the call ended",
            ran=ran,
        )
        return make_refused(refusal, self.load)

    async def _admit(
        self, call: Call, deadline: float
    ) -> Result[AdmittedSlot, Refusal]:
        refusal = self._refusal_before_queue(call)
        if refusal is not None:
            self._admission.count_refusal(refusal, call.worth)
            return Failure(refusal)
        kind = request_kind(call.method, call.target)
        admission_request = AdmissionRequest(
            call.root, call.worth, call.depth, kind, deadline
        )
        admitted = await self._admission.admit(admission_request)
        return admitted.map(
            lambda given: AdmittedSlot(
                self._admission, admission_request, given, self._closed_refusal
            )
        )

    def _refusal_before_queue(self, call: Call) -> Refusal | None:
        if call.remaining_ms <= 0:
            detail = "no time was left when the call was read"
            return refuse(ErrorKind.DEADLINE_EXCEEDED, detail, ran=Ran.NO)
        backend = self._backend
        if backend is not None and backend.service != call.service:
            detail = f"this node has no backend server of {call.service}"
            return refuse(ErrorKind.NO_SERVER, detail)
        return (
            self._closed_refusal()
            or self._self_limit.refusal(call.worth, call.root)
            or self._runner.refusal(call)
        )

    async def _run_admitted(
        self, call: Call, slot: AdmittedSlot, reservation: AnswerReservation | None
    ) -> Reply:
        outcome = Outcome.CANCELLED
        try:
            result = await self._send_once(call, slot, reservation)
            outcome = run_outcome(result)
        finally:
            slot.finish(outcome)
        match result:
            case Success(answer):
                return Answered(
                    answer.status,
                    flatten_headers(answer.headers),
                    answer.body,
                    self.load,
                )
            case Failure(refusal):
                self._record_failure(call, refusal)
                return make_refused(refusal, self.load)

    def _record_failure(self, call: Call, refusal: Refusal) -> None:
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
        self, call: Call, slot: AdmittedSlot, reservation: AnswerReservation | None
    ) -> Result[HttpAnswer, Refusal]:
        if self._backend is None:
            return Failure(_refuse_without_backend())
        address = self._backend.address
        send = partial(self._send, call, slot, reservation)
        return await self._runner.run(call, address, slot, send)

    async def _send(
        self, call: Call, slot: AdmittedSlot, reservation: AnswerReservation | None
    ) -> Result[HttpAnswer, Refusal]:
        backend, client = self._backend, self._client
        if backend is None or client is None:
            return Failure(_refuse_without_backend())
        remaining_ms = max(0, _remaining_ms())
        chain = Chain(call.root, call.entry, call.depth, call.worth, remaining_ms)
        child_chain = chain.child(remaining_ms)
        headers = (*pair_headers(call.headers), (CHAIN_HEADER, child_chain.encode()))
        request = HttpRequest(call.method, call.target, headers, call.body)
        deadline = trio.current_effective_deadline()
        slot.mark_sent()
        with self._executions.track(child_chain.execution, deadline):
            max_answer_bytes = min(call.max_answer_bytes, self._max_answer_bytes)
            return await client.send(
                backend.address, request, max_answer_bytes, reservation
            )


def _refuse_without_backend() -> Refusal:
    return refuse(ErrorKind.NO_SERVER, "the backend server is no longer available")


def _remaining_ms() -> int:
    left = trio.current_effective_deadline() - trio.current_time()
    return int(min(left * 1000, 2**31))
