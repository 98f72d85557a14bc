"""Take a caller's request in and bring one whole answer back."""

import random
from dataclasses import replace

import trio
from absl import logging
from returns.result import Failure, Success

from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.executions import Executions
from persimmonhall.call.gates import NO_LOAD, Gates
from persimmonhall.call.messages import Answered, Refused, Reply, pair_up, refused
from persimmonhall.call.plan import Listener, Plan, make_call, make_plan
from persimmonhall.call.retries import Retries
from persimmonhall.document.in_force import DocumentsInForce
from persimmonhall.errors import ErrorKind, Ran, Refusal, problem_answer, refuse
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.ids import NodeName
from persimmonhall.once.quarantine import NoQuarantine, SuspectRouting
from persimmonhall.routing.outcomes import outcome_of
from persimmonhall.routing.retry_rules import RetryDecision, decide_retry
from persimmonhall.routing.router import Choice, Observation, Router
from persimmonhall.routing.server_view import CallOutcome
from persimmonhall.stalls import Stalls
from persimmonhall.wire.answer_memory import AnswerMemory, Holding

RAN_HEADER = b"persimmonhall-ran"
SHED_STATUS = 503
MAX_REROUTES = 2


class Entry:
    """Route requests of callers and of the own backend server."""

    def __init__(
        self,
        node: NodeName,
        documents: DocumentsInForce,
        router: Router,
        retries: Retries,
        gates: Gates,
        rng: random.Random,
        self_limit: SelfLimit,
        executions: Executions,
        quarantine: SuspectRouting | None = None,
        answers: AnswerMemory | None = None,
        stalls: Stalls | None = None,
    ):
        self._node = node
        self._documents = documents
        self._router = router
        self._retries = retries
        self._gates = gates
        self._quarantine = quarantine or NoQuarantine()
        self._rng = rng
        self._self_limit = self_limit
        self._executions = executions
        self._answers = answers or AnswerMemory()
        self._stalls = stalls or Stalls()

    async def handle(
        self, request: HttpRequest, listener: Listener = Listener.CALLERS
    ) -> HttpAnswer:
        """Answer one request with a whole answer or a refusal."""
        match make_plan(request, listener, self._node, self._documents):
            case Failure(refusal):
                return problem_answer(refusal, self._rng)
            case Success(plan):
                refusal = self._quarantine.refusal(plan.fingerprint)
                if refusal is not None:
                    return problem_answer(refusal, self._rng)
                return await self._answer(request, plan)

    async def _answer(self, request: HttpRequest, plan: Plan) -> HttpAnswer:
        holding = self._answers.open()
        try:
            reply = await self._run(request, plan, holding)
        except BaseException:
            holding.close()
            raise
        if isinstance(reply, Answered):
            return _pass_on(reply, holding)
        holding.close()
        return problem_answer(reply.refusal, self._rng)

    async def _run(self, request: HttpRequest, plan: Plan, holding: Holding) -> Reply:
        refusal = self._self_limit.refusal(plan.chain.worth, plan.chain.root)
        if refusal is not None:
            return refused(refusal, NO_LOAD)
        now = trio.current_time()
        plan = plan.within(self._executions.left_ms(plan.chain.execution, now))
        if plan.budget_ms <= 0:
            detail = "nobody waits for this call any more"
            kind = ErrorKind.DEADLINE_EXCEEDED
            return refused(refuse(kind, detail, ran=Ran.NO), NO_LOAD)
        deadline = now + plan.budget_ms / 1000
        self._retries.open(plan, deadline)
        attempts = _Attempts(holding)
        reply: Reply | None = None
        try:
            with trio.move_on_at(deadline):
                reply = await self._run_attempts(request, plan, deadline, attempts)
            reply = reply or refused(attempts.refusal_at_deadline(), NO_LOAD)
        finally:
            self._retries.close(plan, reply)
        return reply

    async def _run_attempts(
        self, request: HttpRequest, plan: Plan, deadline: float, attempts: "_Attempts"
    ) -> Reply:
        if not await self._retries.may_start(plan):
            detail = "the retries of this root request are used up"
            return refused(refuse(ErrorKind.RETRY_LIMIT, detail), NO_LOAD)
        while True:
            choice = self._choose(plan, attempts)
            if choice is None:
                return attempts.final or _no_server(plan)
            reply = await self._attempt(request, plan, choice, deadline, attempts)
            match decide_retry(reply, idempotent=plan.rule.idempotent):
                case RetryDecision.REROUTE if attempts.reroutes < MAX_REROUTES:
                    attempts.reroutes += 1
                case RetryDecision.RETRY if await self._retries.may_retry(
                    plan, deadline
                ):
                    pass
                case _:
                    return attempts.final

    def _choose(self, plan: Plan, attempts: "_Attempts") -> Choice | None:
        now = trio.current_time()
        owner = self._quarantine.choose(plan.service, plan.fingerprint, attempts.tried)
        if owner is not None:
            self._router.start_call(plan.service, owner, now)
        choice = owner or self._router.choose(
            plan.service,
            attempts.tried,
            now,
            can_probe=plan.may_probe and not attempts.tried,
        )
        if choice is not None and logging.level_info():
            logging.info(
                "route root=%s service=%s depth=%d attempt=%d chosen=%s "
                "candidates=%s reason=%s",
                plan.chain.root,
                plan.service,
                plan.chain.depth,
                len(attempts.tried),
                choice.member.node,
                ",".join(choice.candidates),
                choice.reason.value,
            )
        return choice

    async def _attempt(
        self,
        request: HttpRequest,
        plan: Plan,
        choice: Choice,
        deadline: float,
        attempts: "_Attempts",
    ) -> Reply:
        node = choice.member.node
        start = trio.current_time()
        call = make_call(request, plan, max(0, int((deadline - start) * 1000)))
        attempts.tried.append(node)
        attempts.in_flight = True
        attempts.holding.clear()
        reply: Reply | None = None
        try:
            reply = await self._gates.call(choice.member, call, attempts.holding)
        finally:
            now = trio.current_time()
            outcome = outcome_of(reply) if reply else _outcome_at(now, deadline)
            if self._stalls.has_hit(start, now):
                outcome = CallOutcome.PROCESS_PAUSED
            load = reply.load if reply and reply.load.limit else None
            seen = Observation(outcome, plan.rule.path, now - start, load)
            self._router.observe(plan.service, node, seen, now)
        attempts.add(reply)
        return reply


class _Attempts:
    """Collect what the attempts of one request came to."""

    def __init__(self, holding: Holding):
        self.holding = holding
        self.tried: list[NodeName] = []
        self.reroutes = 0
        self.in_flight = False
        self.last: Reply | None = None
        self._may_have_run = False

    @property
    def final(self) -> Reply | None:
        """Return the last reply; it is "not run" only if no attempt ran."""
        last = self.last
        if self._may_have_run and isinstance(last, Refused) and last.ran is Ran.NO:
            return replace(last, ran=Ran.UNKNOWN)
        return last

    def add(self, reply: Reply) -> None:
        """Take in the reply of one attempt."""
        self.in_flight = False
        self.last = reply
        if isinstance(reply, Refused) and reply.ran is not Ran.NO:
            self._may_have_run = True

    def refusal_at_deadline(self) -> Refusal:
        """Refuse for lack of time and tell whether any attempt may have run."""
        may_have_run = self.in_flight or self._may_have_run
        ran = Ran.UNKNOWN if may_have_run else Ran.NO
        return refuse(ErrorKind.DEADLINE_EXCEEDED, "no time was left", ran=ran)


def _outcome_at(now: float, deadline: float) -> CallOutcome:
    return CallOutcome.TIMED_OUT if now >= deadline else CallOutcome.CANCELLED


def _pass_on(reply: Answered, holding: Holding) -> HttpAnswer:
    """Pass a backend server's answer on; its 503 does not prove it did nothing."""
    ran = Ran.UNKNOWN if reply.status == SHED_STATUS else Ran.YES
    headers = tuple(h for h in pair_up(reply.headers) if h[0] != RAN_HEADER)
    headers = (*headers, (RAN_HEADER, ran.value.encode()))
    return HttpAnswer(reply.status, headers, reply.body, holding)


def _no_server(plan: Plan) -> Reply:
    refusal = refuse(ErrorKind.NO_SERVER, f"no server of {plan.service} is known")
    return refused(refusal, NO_LOAD)
