"""Take a caller's request in and bring one whole answer back."""

import random
from dataclasses import dataclass

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.chain import CHAIN_HEADER, Chain, new_root, parse_chain
from persimmonhall.call.gates import NO_LOAD, Gates
from persimmonhall.call.messages import (
    Answered,
    Call,
    Refused,
    Reply,
    flatten,
    pair_up,
    refused,
)
from persimmonhall.document.in_force import DocumentsInForce
from persimmonhall.document.schema import RequestRule
from persimmonhall.errors import ErrorKind, Ran, Refusal, problem_answer, refuse
from persimmonhall.http.messages import HttpAnswer, HttpRequest, end_to_end
from persimmonhall.ids import IdempotencyKey, NodeName, ServiceName
from persimmonhall.routing.ledger import RetryLedger
from persimmonhall.routing.router import Router

SERVICE_HEADER = b"persimmonhall-service"
KEY_HEADER = b"idempotency-key"
OWN_HEADERS = frozenset({CHAIN_HEADER, SERVICE_HEADER})
TRY_ANOTHER = frozenset(
    {ErrorKind.LEAVING, ErrorKind.CONNECT_FAILED, ErrorKind.NO_SERVER}
)


@dataclass(frozen=True)
class Plan:
    """Hold what the document and the chain say of a request."""

    service: ServiceName
    rule: RequestRule
    chain: Chain
    is_root: bool


class Entry:
    """Route requests of callers and of the own backend server."""

    def __init__(
        self,
        node: NodeName,
        documents: DocumentsInForce,
        router: Router,
        ledger: RetryLedger,
        gates: Gates,
        rng: random.Random,
        self_limit: SelfLimit,
    ):
        self._node = node
        self._documents = documents
        self._router = router
        self._ledger = ledger
        self._gates = gates
        self._rng = rng
        self._self_limit = self_limit

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request with a whole answer or a refusal."""
        match self._plan(request):
            case Failure(refusal):
                return problem_answer(refusal, self._rng)
            case Success(plan):
                reply = await self._run(request, plan)
        match reply:
            case Answered(status, headers, body):
                return HttpAnswer(status, pair_up(headers), body)
            case Refused():
                return problem_answer(reply.refusal, self._rng)

    def _plan(self, request: HttpRequest) -> Result[Plan, Refusal]:
        service = _service_of(request)
        document = self._documents.get(service)
        if document is None:
            detail = f"no document for service {service!r}"
            return Failure(refuse(ErrorKind.UNKNOWN_SERVICE, detail))
        rule = document.rule_for(request.method, request.target)
        if rule is None:
            detail = f"the document of {service} has no {request.method} request here"
            return Failure(refuse(ErrorKind.UNKNOWN_REQUEST, detail))
        header = request.header(CHAIN_HEADER)
        if header is None:
            chain = Chain(new_root(), self._node, 0, rule.worth, rule.deadline_ms)
            return Success(Plan(service, rule, chain, is_root=True))
        match parse_chain(header):
            case Success(chain):
                return Success(Plan(service, rule, chain, is_root=False))
            case Failure(reason):
                return Failure(refuse(ErrorKind.BAD_REQUEST, reason))

    async def _run(self, request: HttpRequest, plan: Plan) -> Reply:
        refusal = self._self_limit.refusal(plan.chain.worth, plan.chain.root)
        if refusal is not None:
            return refused(refusal, NO_LOAD)
        if plan.is_root:
            self._ledger.open(plan.chain.root, plan.rule.retries)
        try:
            return await self._run_attempts(request, plan)
        finally:
            if plan.is_root:
                self._ledger.close(plan.chain.root)

    async def _run_attempts(self, request: HttpRequest, plan: Plan) -> Reply:
        budget_ms = min(plan.rule.deadline_ms, plan.chain.remaining_ms)
        deadline = trio.current_time() + budget_ms / 1000
        tried: list[NodeName] = []
        reply: Reply | None = None
        while True:
            now = trio.current_time()
            choice = self._router.choose(plan.service, tried, now)
            if choice is None:
                return reply or _no_server(plan.service)
            logging.info(
                "route root=%s service=%s depth=%d attempt=%d chosen=%s "
                "candidates=%s reason=%s",
                plan.chain.root,
                plan.service,
                plan.chain.depth,
                len(tried),
                choice.member.node,
                ",".join(choice.candidates),
                choice.reason,
            )
            remaining_ms = max(0, int((deadline - now) * 1000))
            call = _make_call(request, plan, remaining_ms)
            reply = await self._gates.call(choice.member, call)
            self._router.observe(choice.member.node, reply.load, trio.current_time())
            tried.append(choice.member.node)
            if not self._may_retry(plan, reply):
                return reply

    def _may_retry(self, plan: Plan, reply: Reply) -> bool:
        if isinstance(reply, Answered):
            return False
        if reply.kind not in TRY_ANOTHER or reply.ran is not Ran.NO:
            return False
        return self._ledger.spend(plan.chain.root)


def _service_of(request: HttpRequest) -> ServiceName:
    named = request.header(SERVICE_HEADER)
    if named is None:
        named = (request.header(b"host") or "").partition(":")[0]
    return ServiceName(named.lower())


def _make_call(request: HttpRequest, plan: Plan, remaining_ms: int) -> Call:
    headers = tuple(
        (name, value)
        for name, value in end_to_end(request.headers)
        if name not in OWN_HEADERS
    )
    return Call(
        service=plan.service,
        method=request.method,
        target=request.target,
        headers=flatten(headers),
        body=request.body,
        root=plan.chain.root,
        entry=plan.chain.entry,
        depth=plan.chain.depth,
        worth=plan.chain.worth,
        remaining_ms=remaining_ms,
        idempotent=plan.rule.idempotent,
        key=IdempotencyKey(request.header(KEY_HEADER) or ""),
        max_answer_bytes=plan.rule.max_answer_bytes,
    )


def _no_server(service: ServiceName) -> Refused:
    refusal = refuse(ErrorKind.NO_SERVER, f"no server of {service} is known")
    return refused(refusal, NO_LOAD)
