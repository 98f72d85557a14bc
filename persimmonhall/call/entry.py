"""Route a request to a gate, with retries, and return one complete answer."""

import random
from dataclasses import replace

import trio
from absl import logging
from returns.result import Failure, Success

from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.executions import ExecutionTracker
from persimmonhall.call.gate_client import NO_LOAD, GateClient
from persimmonhall.call.messages import (
    Answered,
    Refused,
    Reply,
    make_refused,
    pair_headers,
)
from persimmonhall.call.request_plan import (
    Listener,
    RequestPlan,
    make_call,
    plan_request,
)
from persimmonhall.call.retries import RetryLimiter
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.document.active import ActiveDocuments
from persimmonhall.errors import ErrorKind, Ran, Refusal, problem_answer, refuse
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.ids import NodeName
from persimmonhall.once.quarantine import NoQuarantine, SuspectRouting
from persimmonhall.process_pauses import ProcessPauses
from persimmonhall.routing.outcomes import outcome_of
from persimmonhall.routing.retry_rules import RetryDecision, decide_retry
from persimmonhall.routing.router import Choice, Observation, Router
from persimmonhall.routing.server_view import CallOutcome
from persimmonhall.wire.answer_memory import AnswerMemory, AnswerReservation

RAN_HEADER = b"persimmonhall-ran"
SERVICE_UNAVAILABLE_STATUS = 503
MAX_REROUTES = 2


class Entry:
    """Route requests of callers and of the local backend server."""

    def __init__(
        self,
        node: NodeName,
        documents: ActiveDocuments,
        router: Router,
        retry_limiter: RetryLimiter,
        gate_client: GateClient,
        rng: random.Random,
        self_limit: SelfLimit,
        executions: ExecutionTracker,
        quarantine: SuspectRouting | None = None,
        answer_memory: AnswerMemory | None = None,
        process_pauses: ProcessPauses | None = None,
        shutdown: ShutdownWindow | None = None,
    ):
        self._node = node
        self._documents = documents
        self._router = router
        self._retry_limiter = retry_limiter
        self._gate_client = gate_client
        self._quarantine = quarantine or NoQuarantine()
        self._rng = rng
        self._self_limit = self_limit
        self._executions = executions
        self._answer_memory = answer_memory or AnswerMemory()
        self._process_pauses = process_pauses or ProcessPauses()
        self._shutdown = shutdown or ShutdownWindow()

    async def handle(
        self, request: HttpRequest, listener: Listener = Listener.CALLERS
    ) -> HttpAnswer:
        """Handle one request and return a complete answer or a refusal."""
        match plan_request(request, listener, self._node, self._documents):
            case Failure(refusal):
                return problem_answer(refusal, self._rng)
            case Success(plan):
                refusal = self._quarantine.refusal(plan.fingerprint)
                if refusal is not None:
                    return problem_answer(refusal, self._rng)
                return await self._answer(request, plan)

    async def _answer(self, request: HttpRequest, plan: RequestPlan) -> HttpAnswer:
        reservation = self._answer_memory.open_reservation()
        try:
            reply = await self._run_within_deadline(request, plan, reservation)
        except BaseException:
            reservation.close()
            raise
        if isinstance(reply, Answered):
            return _make_http_answer(reply, reservation)
        reservation.close()
        return problem_answer(reply.refusal, self._rng)

    async def _run_within_deadline(
        self, request: HttpRequest, plan: RequestPlan, reservation: AnswerReservation
    ) -> Reply:
        refusal = self._self_limit.refusal(plan.chain.worth, plan.chain.root)
        if refusal is not None:
            return make_refused(refusal, NO_LOAD)
        now = trio.current_time()
        plan = plan.with_remaining_ms(
            self._executions.remaining_ms(plan.chain.execution, now)
        )
        if plan.time_budget_ms <= 0:
            detail = "the deadline of this call has already passed"
            kind = ErrorKind.DEADLINE_EXCEEDED
            return make_refused(refuse(kind, detail, ran=Ran.NO), NO_LOAD)
        deadline = now + plan.time_budget_ms / 1000
        if plan.is_root and not self._shutdown.may_finish(deadline, 0.0, now):
            detail = "this node shuts down before the request could finish"
            return make_refused(refuse(ErrorKind.LEAVING, detail), NO_LOAD)
        self._retry_limiter.open_request(plan, deadline)
        attempts = _Attempts(reservation)
        reply: Reply | None = None
        try:
            with trio.move_on_at(deadline):
                reply = await self._run_attempts(request, plan, deadline, attempts)
            reply = reply or make_refused(attempts.refusal_at_deadline(), NO_LOAD)
        finally:
            self._retry_limiter.close_request(plan, reply)
        return reply

    async def _run_attempts(
        self,
        request: HttpRequest,
        plan: RequestPlan,
        deadline: float,
        attempts: "_Attempts",
    ) -> Reply:
        if not await self._retry_limiter.try_start(plan):
            detail = "the retry budget for this root request is exhausted"
            return make_refused(refuse(ErrorKind.RETRY_LIMIT, detail), NO_LOAD)
        while True:
            choice = self._choose_server(plan, attempts)
            if choice is None:
                return attempts.final_reply or _refuse_without_server(plan)
            reply = await self._make_attempt(request, plan, choice, deadline, attempts)
            match decide_retry(reply, idempotent=plan.rule.idempotent):
                case RetryDecision.REROUTE if attempts.reroutes < MAX_REROUTES:
                    attempts.reroutes += 1
                case RetryDecision.RETRY if await self._retry_limiter.try_retry(
                    plan, deadline
                ):
                    pass
                case _:
                    return attempts.final_reply

    def _choose_server(self, plan: RequestPlan, attempts: "_Attempts") -> Choice | None:
        now = trio.current_time()
        owner = self._quarantine.choose(
            plan.service, plan.fingerprint, attempts.tried_nodes
        )
        if owner is not None:
            self._router.start_call(plan.service, owner, now)
        choice = owner or self._router.choose(
            plan.service,
            attempts.tried_nodes,
            now,
            can_probe=plan.can_probe and not attempts.tried_nodes,
        )
        if choice is not None and logging.level_info():
            logging.info(
                "route root=%s service=%s depth=%d attempt=%d chosen=%s "
                "candidates=%s reason=%s",
                plan.chain.root,
                plan.service,
                plan.chain.depth,
                len(attempts.tried_nodes),
                choice.member.node,
                ",".join(choice.candidates),
                choice.reason.value,
            )
        return choice

    async def _make_attempt(
        self,
        request: HttpRequest,
        plan: RequestPlan,
        choice: Choice,
        deadline: float,
        attempts: "_Attempts",
    ) -> Reply:
        node = choice.member.node
        start = trio.current_time()
        call = make_call(request, plan, max(0, int((deadline - start) * 1000)))
        attempts.tried_nodes.append(node)
        attempts.is_in_flight = True
        attempts.reservation.clear()
        reply: Reply | None = None
        try:
            reply = await self._gate_client.call(
                choice.member, call, attempts.reservation
            )
        finally:
            now = trio.current_time()
            outcome = (
                outcome_of(reply) if reply else _outcome_without_reply(now, deadline)
            )
            if self._process_pauses.has_paused_since(start, now):
                outcome = CallOutcome.PROCESS_PAUSED
            load = reply.load if reply and reply.load.limit else None
            observation = Observation(outcome, plan.rule.path, now - start, load)
            self._router.observe(plan.service, node, observation, now)
        attempts.add_reply(reply)
        return reply


class _Attempts:
    """Track the attempts of one request and their replies."""

    def __init__(self, reservation: AnswerReservation):
        self.reservation = reservation
        self.tried_nodes: list[NodeName] = []
        self.reroutes = 0
        self.is_in_flight = False
        self.last_reply: Reply | None = None
        self._may_have_run = False

    @property
    def final_reply(self) -> Reply | None:
        """Return the last reply; it says "not run" only if no attempt may have run."""
        last = self.last_reply
        if self._may_have_run and isinstance(last, Refused) and last.ran is Ran.NO:
            return replace(last, ran=Ran.UNKNOWN)
        return last

    def add_reply(self, reply: Reply) -> None:
        """Add the reply of one attempt."""
        self.is_in_flight = False
        self.last_reply = reply
        if isinstance(reply, Refused) and reply.ran is not Ran.NO:
            self._may_have_run = True

    def refusal_at_deadline(self) -> Refusal:
        """Return the deadline refusal and whether any attempt may have run."""
        may_have_run = self.is_in_flight or self._may_have_run
        ran = Ran.UNKNOWN if may_have_run else Ran.NO
        return refuse(
            ErrorKind.DEADLINE_EXCEEDED, "no answer before the deadline", ran=ran
        )


def _outcome_without_reply(now: float, deadline: float) -> CallOutcome:
    return CallOutcome.TIMED_OUT if now >= deadline else CallOutcome.CANCELLED


def _make_http_answer(reply: Answered, reservation: AnswerReservation) -> HttpAnswer:
    """Convert a backend server's answer; its 503 does not prove that nothing ran."""
    ran = Ran.UNKNOWN if reply.status == SERVICE_UNAVAILABLE_STATUS else Ran.YES
    headers = tuple(h for h in pair_headers(reply.headers) if h[0] != RAN_HEADER)
    headers = (*headers, (RAN_HEADER, ran.value.encode()))
    return HttpAnswer(reply.status, headers, reply.body, reservation)


def _refuse_without_server(plan: RequestPlan) -> Reply:
    refusal = refuse(ErrorKind.NO_SERVER, f"no server of {plan.service} is known")
    return make_refused(refusal, NO_LOAD)
