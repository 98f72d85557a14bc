"""Work out what the document and the chain say of a request."""

from dataclasses import dataclass, replace
from enum import Enum

from returns.result import Failure, Result, Success

from persimmonhall.call.chain import CHAIN_HEADER, Chain, new_root, parse_chain
from persimmonhall.call.messages import Call, flatten
from persimmonhall.document.in_force import DocumentsInForce
from persimmonhall.document.schema import RequestRule, Worth
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.http.messages import HttpRequest, end_to_end
from persimmonhall.ids import Fingerprint, IdempotencyKey, NodeName, ServiceName
from persimmonhall.once.fingerprint import fingerprint_of
from persimmonhall.once.keys import IDEMPOTENCY_KEY_HEADER, get_idempotency_key
from persimmonhall.routing.failed_calls import CallKey, make_call_key

SERVICE_HEADER = b"persimmonhall-service"
NO_KEY = IdempotencyKey("")
OWN_HEADERS = frozenset({CHAIN_HEADER, SERVICE_HEADER})


class Listener(Enum):
    """Tell who sends the requests of a listener."""

    CALLERS = "callers"
    LOCAL = "local"


@dataclass(frozen=True)
class Plan:
    """Hold what the document and the chain say of a request."""

    service: ServiceName
    rule: RequestRule
    chain: Chain
    is_root: bool
    tokens: int
    key: CallKey
    fingerprint: Fingerprint = Fingerprint(0)
    idempotency_key: IdempotencyKey = NO_KEY

    @property
    def budget_ms(self) -> int:
        """Return how long the request may take."""
        return min(self.rule.deadline_ms, self.chain.remaining_ms)

    @property
    def may_probe(self) -> bool:
        """Tell whether the request may try a server that was ejected."""
        return self.rule.idempotent and self.chain.worth is not Worth.CRITICAL

    def within(self, left_ms: int | None) -> "Plan":
        """Return the plan with no more time than is left, if that is known."""
        if left_ms is None or left_ms >= self.chain.remaining_ms:
            return self
        return replace(self, chain=replace(self.chain, remaining_ms=left_ms))


def make_plan(
    request: HttpRequest,
    listener: Listener,
    node: NodeName,
    documents: DocumentsInForce,
) -> Result[Plan, Refusal]:
    """Find the rule of a request and continue its chain, or start one."""
    service = _service_of(request)
    document = documents.get(service)
    if document is None:
        detail = f"no document for service {service!r}"
        return Failure(refuse(ErrorKind.UNKNOWN_SERVICE, detail))
    rule = document.rule_for(request.method, request.target)
    if rule is None:
        detail = f"the document of {service} has no {request.method} request here"
        return Failure(refuse(ErrorKind.UNKNOWN_REQUEST, detail))
    header = request.header(CHAIN_HEADER)
    if header is None:
        return _identify(request, _plan_root(request, listener, node, service, rule))
    match parse_chain(header):
        case Success(chain):
            plan = _plan_nested(request, listener, service, rule, chain)
            return _identify(request, plan)
        case Failure(reason):
            return Failure(refuse(ErrorKind.BAD_REQUEST, reason))


def _plan_root(
    request: HttpRequest,
    listener: Listener,
    node: NodeName,
    service: ServiceName,
    rule: RequestRule,
) -> Plan:
    """Start a chain; without one a call of a backend server gets no retry."""
    tokens = rule.retries if listener is Listener.CALLERS else 0
    chain = Chain(new_root(), node, 0, rule.worth, rule.deadline_ms)
    key = _key_of(request, listener.value, service)
    return Plan(service, rule, chain, is_root=True, tokens=tokens, key=key)


def _plan_nested(
    request: HttpRequest,
    listener: Listener,
    service: ServiceName,
    rule: RequestRule,
    chain: Chain,
) -> Plan:
    """Continue a chain; from outside it may lower the worth but not raise it."""
    if listener is Listener.CALLERS and chain.worth.rank < rule.worth.rank:
        chain = replace(chain, worth=rule.worth)
    key = _key_of(request, chain.execution or chain.root, service)
    return Plan(service, rule, chain, is_root=False, tokens=0, key=key)


def _identify(request: HttpRequest, plan: Plan) -> Result[Plan, Refusal]:
    """Add what tells the request from others, and its key if it needs one."""
    fingerprint = fingerprint_of(
        plan.service, request.method, request.target, request.body
    )
    plan = replace(plan, fingerprint=fingerprint)
    if plan.rule.idempotent:
        return Success(plan)
    key = get_idempotency_key(request, plan.chain.root, fingerprint)
    return key.map(lambda found: replace(plan, idempotency_key=found))


def _key_of(request: HttpRequest, scope: str, service: ServiceName) -> CallKey:
    named = request.header(IDEMPOTENCY_KEY_HEADER)
    content = named.encode() if named else request.body
    return make_call_key(scope, service, request.method, request.target, content)


def _service_of(request: HttpRequest) -> ServiceName:
    named = request.header(SERVICE_HEADER)
    if named is None:
        named = (request.header(b"host") or "").partition(":")[0]
    return ServiceName(named.lower())


def make_call(request: HttpRequest, plan: Plan, remaining_ms: int) -> Call:
    """Build the call that carries a request to a gate."""
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
        key=plan.idempotency_key,
        max_answer_bytes=plan.rule.max_answer_bytes,
        resend_window_s=plan.rule.resend_window_s,
    )
