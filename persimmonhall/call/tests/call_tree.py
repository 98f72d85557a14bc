"""Model a call tree with real entries and fake gates, backend servers and links."""

import random
from collections import Counter
from collections.abc import Callable
from enum import Enum

import trio
from returns.result import Failure, Success

from persimmonhall.address import Address
from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.chain import CHAIN_HEADER, Chain
from persimmonhall.call.entry import Entry
from persimmonhall.call.executions import ExecutionTracker
from persimmonhall.call.gate_client import NO_LOAD
from persimmonhall.call.messages import Answered, Call, Reply, make_refused
from persimmonhall.call.request_plan import Listener
from persimmonhall.call.retries import RetryLimiter
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.document.active import ActiveDocuments
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.ids import NodeName, RootId, ServiceName
from persimmonhall.membership.messages import Member, MemberState
from persimmonhall.membership.table import MemberTable
from persimmonhall.process_pauses import ProcessPauses
from persimmonhall.routing.retry_ledger import RetryLedger
from persimmonhall.routing.retry_tokens import RetryTokens
from persimmonhall.routing.router import Router
from persimmonhall.wire.answer_memory import AnswerReservation
from persimmonhall.wire.link import LinkError
from tests.builders import add_members, make_held_document, make_member

DEADLINE_S = 60.0
DOCUMENT = """\
service = "{service}"
team = "publishing"

[[requests]]
path = "/*"
worth = "standard"
idempotent = true
deadline_ms = {deadline_ms}
retries = {retries}
"""


class Fault(Enum):
    """Define how one execution on a backend server ends."""

    NONE = "none"
    CONNECT_FAILED = "connectFailed"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    CONNECTION_LOST = "connectionLost"
    STATUS_500 = "status500"
    STATUS_503 = "status503"


FAULTS_BEFORE_RUN = {Fault.CONNECT_FAILED, Fault.LEAVING, Fault.OVERLOADED}
FaultSelector = Callable[[str, NodeName], Fault]


class CallTreeModel:
    """Hold the nodes of services s0, s1, ... where each service calls the next."""

    def __init__(
        self,
        depth: int,
        *,
        fan_out: int = 1,
        retries: int = 1,
        resends: int = 0,
        servers: int = 2,
        failed_call_status: int = 502,
        select_fault: FaultSelector = lambda path, node: Fault.CONNECTION_LOST,
        process_pauses: ProcessPauses | None = None,
    ):
        self._depth = depth
        self._fan_out = fan_out
        self._resends = resends
        self._failed_call_status = failed_call_status
        self._select_fault = select_fault
        self._process_pauses = process_pauses
        self.are_links_cut = False
        self.shutdown = ShutdownWindow()
        self.executions = ExecutionTracker()
        self.runs: Counter[tuple[RootId, str]] = Counter()
        self.calls: list[Call] = []
        self._documents = ActiveDocuments()
        self._tokens: dict[Address, RetryTokens] = {}
        self.entries: dict[NodeName, Entry] = {}
        first = make_member(0, state=MemberState.EMPTY, service=ServiceName(""))
        self._table = MemberTable(first)
        self._add_node(first)
        for level in range(depth):
            self._add_service(ServiceName(f"s{level}"), servers, retries)

    @property
    def fault_free_runs(self) -> int:
        """Return the number of executions of a request without faults."""
        return sum(self._fan_out**level for level in range(self._depth))

    def _add_service(self, service: ServiceName, servers: int, retries: int) -> None:
        text = DOCUMENT.format(
            service=service, retries=retries, deadline_ms=int(DEADLINE_S * 1000)
        )
        self._documents.apply(make_held_document(service=service, text=text))
        for _ in range(servers):
            number = len(self.entries)
            member = make_member(number, service=service)
            add_members(self._table, [member])
            self._add_node(member)

    def _add_node(self, member: Member) -> None:
        rng = random.Random(len(self.entries))
        tokens = RetryTokens(member.node, RetryLedger(), self._table, self)
        host, _, port = member.frames.partition(":")
        self._tokens[Address(host, int(port))] = tokens
        self.entries[member.node] = Entry(
            member.node,
            self._documents,
            Router(self._table, member.zone, rng),
            self._make_retry_limiter(tokens),
            self,
            rng,
            SelfLimit(),
            self.executions,
            process_pauses=self._process_pauses,
            shutdown=self.shutdown,
        )

    def _make_retry_limiter(self, tokens: RetryTokens) -> RetryLimiter:
        return RetryLimiter(tokens)

    async def send(
        self, path: str = "/r", node: str = "suva-cue-0", chain: bytes | None = None
    ) -> HttpAnswer:
        """Send a request of a caller to a node."""
        request = make_request(0, path, chain)
        return await self.entries[NodeName(node)].handle(request)

    async def request(self, address: Address, channel, payload: bytes):
        """Deliver a message of the retry ledger to another node."""
        if self.are_links_cut:
            await trio.sleep_forever()
        tokens = self._tokens.get(address)
        if tokens is None:
            return Failure(LinkError("no such node", is_sent=False))
        return Success(await tokens.handle(payload))

    async def call(
        self, member: Member, call: Call, reservation: AnswerReservation
    ) -> Reply:
        """Simulate the gate of a member and its backend server."""
        self.calls.append(call)
        fault = self._select_fault(call.target, member.node)
        if fault in FAULTS_BEFORE_RUN:
            return make_refused(refuse(ErrorKind(fault.value), "fault"), NO_LOAD)
        self.runs[call.root, call.target] += 1
        status = await self._call_next_service(member, call)
        if fault is Fault.CONNECTION_LOST:
            return make_refused(refuse(ErrorKind.CONNECTION_LOST, "fault"), NO_LOAD)
        if fault is not Fault.NONE:
            status = int(fault.value.removeprefix("status"))
        return Answered(status, (), b"", NO_LOAD)

    async def _call_next_service(self, member: Member, call: Call) -> int:
        level = call.depth + 1
        if level == self._depth:
            return 200
        chain = Chain(call.root, call.entry, call.depth, call.worth, call.remaining_ms)
        header = chain.child(call.remaining_ms).encode()
        status = 200
        for number in range(self._fan_out):
            path = f"{call.target}/{number}"
            request = make_request(level, path, header)
            answer = await self._call_with_resends(member.node, request)
            if answer.status >= 400:
                status = self._failed_call_status
        return status

    async def _call_with_resends(
        self, node: NodeName, request: HttpRequest
    ) -> HttpAnswer:
        for _ in range(self._resends + 1):
            answer = await self.entries[node].handle(request, Listener.LOCAL)
            if answer.status < 400:
                break
        return answer

    def max_runs_per_call(self) -> int:
        """Return the highest number of executions of one call for one root."""
        return max(self.runs.values(), default=0)

    def runs_by_root(self) -> Counter[RootId]:
        """Return the number of executions for each root."""
        totals: Counter[RootId] = Counter()
        for (root, _), count in self.runs.items():
            totals[root] += count
        return totals


def make_request(level: int, path: str, chain: bytes | None) -> HttpRequest:
    """Build a request to the service of a level."""
    service = (b"persimmonhall-service", f"s{level}".encode())
    headers = (service, (CHAIN_HEADER, chain)) if chain else (service,)
    return HttpRequest("GET", path, headers)
