"""Resolve the rule and the chain of a request."""

from dataclasses import dataclass, replace
from enum import Enum

from returns.result import Failure, Result, Success

from persimmonhall.call.chain import CHAIN_HEADER, Chain, new_root_id, parse_chain
from persimmonhall.call.messages import Call, flatten_headers
from persimmonhall.document.active import ActiveDocuments
from persimmonhall.document.schema import RequestRule, Worth
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.messages import HttpRequest, end_to_end_headers
from persimmonhall.ids import Fingerprint, IdempotencyKey, NodeName, ServiceName
from persimmonhall.once.fingerprint import fingerprint_of
from persimmonhall.once.keys import IDEMPOTENCY_KEY_HEADER, get_idempotency_key
from persimmonhall.routing.failed_calls import CallKey, make_call_key

SERVICE_HEADER = b"persimmonhall-service"
NO_IDEMPOTENCY_KEY = IdempotencyKey("")
INTERNAL_HEADERS = frozenset({CHAIN_HEADER, SERVICE_HEADER})


class Listener(Enum):
    """Define who sends the requests of a listener."""

    CALLERS = "callers"
    LOCAL = "local"


@dataclass(frozen=True)
class RequestPlan:
    """Hold the rule, the chain and the identity of a request."""

    service: ServiceName
    rule: RequestRule
    chain: Chain
    is_root: bool
    retry_tokens: int
    call_key: CallKey
    fingerprint: Fingerprint = Fingerprint(0)
    idempotency_key: IdempotencyKey = NO_IDEMPOTENCY_KEY

    @property
    def time_budget_ms(self) -> int:
        """Return how long the request may take, in milliseconds."""
        return min(self.rule.deadline_ms, self.chain.remaining_ms)

    @property
    def can_probe(self) -> bool:
        """Return whether the request may probe an ejected server."""
        return self.rule.idempotent and self.chain.worth is not Worth.CRITICAL

    def with_remaining_ms(self, remaining_ms: int | None) -> "RequestPlan":
        """Return the plan limited to the remaining time, if that is known."""
        if remaining_ms is None or remaining_ms >= self.chain.remaining_ms:
            return self
        return replace(self, chain=replace(self.chain, remaining_ms=remaining_ms))


def plan_request(
    request: HttpRequest,
    listener: Listener,
    node: NodeName,
    documents: ActiveDocuments,
) -> Result[RequestPlan, Refusal]:
    """Find the rule of a request and continue or start its chain."""
    service = _target_service(request)
    document = documents.get(service)
    if document is None:
        detail = f"no document for service {service!r}"
        return Failure(refuse(ErrorKind.UNKNOWN_SERVICE, detail))
    rule = document.rule_for(request.method, request.target)
    if rule is None:
        detail = f"the document of {service} has no matching {request.method} request"
        return Failure(refuse(ErrorKind.UNKNOWN_REQUEST, detail))
    header = request.header(CHAIN_HEADER)
    if header is None:
        return _add_identity(
            request, _plan_root_request(request, listener, node, service, rule)
        )
    match parse_chain(header):
        case Success(chain):
            plan = _plan_nested_request(request, listener, service, rule, chain)
            return _add_identity(request, plan)
        case Failure(reason):
            return Failure(refuse(ErrorKind.BAD_REQUEST, reason))


def _plan_root_request(
    request: HttpRequest,
    listener: Listener,
    node: NodeName,
    service: ServiceName,
    rule: RequestRule,
) -> RequestPlan:
    """Start a chain; a backend server's call without a chain gets no retry tokens."""
    retry_tokens = rule.retries if listener is Listener.CALLERS else 0
    chain = Chain(new_root_id(), node, 0, rule.worth, rule.deadline_ms)
    call_key = _make_call_key(request, listener.value, service)
    return RequestPlan(
        service, rule, chain, is_root=True, retry_tokens=retry_tokens, call_key=call_key
    )


def _plan_nested_request(
    request: HttpRequest,
    listener: Listener,
    service: ServiceName,
    rule: RequestRule,
    chain: Chain,
) -> RequestPlan:
    """Continue a chain; one sent by a caller may only lower the worth."""
    if listener is Listener.CALLERS and chain.worth.rank < rule.worth.rank:
        chain = replace(chain, worth=rule.worth)
    call_key = _make_call_key(request, chain.execution or chain.root, service)
    return RequestPlan(
        service, rule, chain, is_root=False, retry_tokens=0, call_key=call_key
    )


def _add_identity(
    request: HttpRequest, plan: RequestPlan
) -> Result[RequestPlan, Refusal]:
    """Add the fingerprint, and an idempotency key if the request needs one."""
    fingerprint = fingerprint_of(
        plan.service, request.method, request.target, request.body
    )
    plan = replace(plan, fingerprint=fingerprint)
    if plan.rule.idempotent:
        return Success(plan)
    idempotency_key = get_idempotency_key(request, plan.chain.root, fingerprint)
    return idempotency_key.map(lambda found: replace(plan, idempotency_key=found))


def _make_call_key(request: HttpRequest, scope: str, service: ServiceName) -> CallKey:
    idempotency_key = request.header(IDEMPOTENCY_KEY_HEADER)
    content = idempotency_key.encode() if idempotency_key else request.body
    return make_call_key(scope, service, request.method, request.target, content)


def _target_service(request: HttpRequest) -> ServiceName:
    name = request.header(SERVICE_HEADER)
    if name is None:
        name = (request.header(b"host") or "").partition(":")[0]
    return ServiceName(name.lower())


def make_call(request: HttpRequest, plan: RequestPlan, remaining_ms: int) -> Call:
    """Build the call that carries a request to a gate."""
    headers = tuple(
        (name, value)
        for name, value in end_to_end_headers(request.headers)
        if name not in INTERNAL_HEADERS
    )
    return Call(
        service=plan.service,
        method=request.method,
        target=request.target,
        headers=flatten_headers(headers),
        body=request.body,
        root=plan.chain.root,
        entry=plan.chain.entry,
        depth=plan.chain.depth,
        worth=plan.chain.worth,
        remaining_ms=remaining_ms,
        idempotent=plan.rule.idempotent,
        key=plan.idempotency_key,
        max_answer_bytes=plan.rule.max_answer_bytes,
        resend_window_s=plan.rule.resend_window_s,
    )
