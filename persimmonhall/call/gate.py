"""Guard the one way into a backend server."""

import itertools
from functools import partial

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.messages import Outcome, Refuse, Start, Ticket, Verdict
from persimmonhall.call.backend import Backend, BackendState
from persimmonhall.call.chain import CHAIN_HEADER, Chain
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
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.ids import TicketId
from persimmonhall.once.runner import DirectRunner, Runner

SHED_STATUS = 503


class Gate:
    """Admit calls, run them on the backend server and answer whole."""

    def __init__(self, runner: Runner | None = None):
        self._runner = runner or DirectRunner()
        self._core = AdmissionCore()
        self._backend: Backend | None = None
        self._client: PooledClient | None = None
        self._ids = itertools.count(1)
        self._waiters: dict[TicketId, _Waiter] = {}
        self._leaving = False
        self._calls = 0
        self._changed = trio.Event()

    @property
    def backend(self) -> Backend | None:
        """Return the backend server, if one has announced itself."""
        return self._backend

    @property
    def load(self) -> Load:
        """Report how busy the gate is."""
        core = self._core
        return Load(core.in_flight, core.queued, core.limit, 0)

    def set_backend(self, backend: Backend | None) -> None:
        """Take in an announcement, or its absence."""
        if backend is None or self._backend is None or self._client is None:
            self._client = PooledClient(backend.connections) if backend else None
        if backend is not None:
            self._core.slots = backend.slots
        self._backend = backend

    def leave(self) -> None:
        """Refuse new calls from now on."""
        self._leaving = True

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no call is in flight, at most the timeout."""
        with trio.move_on_after(timeout_s):
            while self._calls:
                await self._changed.wait()

    async def handle(self, payload: bytes) -> bytes:
        """Answer a call that came as bytes."""
        return REPLIES.encode(await self.run(decode_call(payload)))

    async def run(self, call: Call) -> Reply:
        """Admit and run one call within its remaining time."""
        self._calls += 1
        try:
            return await self._run_in_time(call)
        finally:
            self._calls -= 1
            self._changed.set()
            self._changed = trio.Event()

    async def _run_in_time(self, call: Call) -> Reply:
        started = False
        with trio.move_on_after(call.remaining_ms / 1000) as scope:
            match await self._admit(call, scope.deadline):
                case Failure(refusal):
                    return refused(refusal, self.load)
                case Success(ticket):
                    started = True
                    return await self._run_admitted(call, ticket)
        ran = Ran.UNKNOWN if started else Ran.NO
        refusal = refuse(ErrorKind.DEADLINE_EXCEEDED, "no time was left", ran=ran)
        return refused(refusal, self.load)

    async def _admit(self, call: Call, deadline: float) -> Result[TicketId, Refusal]:
        refusal = self._refusal_before_queue(call)
        if refusal is not None:
            return Failure(refusal)
        ticket = Ticket(TicketId(next(self._ids)), call.root, call.worth, deadline)
        waiter = self._waiters[ticket.id] = _Waiter()
        try:
            self._deliver(self._core.arrive(ticket, trio.current_time()))
            await waiter.decided.wait()
        except trio.Cancelled:
            if waiter.started:
                self._finish(ticket.id, Outcome.CANCELLED)
            else:
                self._deliver(self._core.abandon(ticket.id, trio.current_time()))
            raise
        finally:
            del self._waiters[ticket.id]
        if waiter.refusal is not None:
            return Failure(waiter.refusal)
        return Success(ticket.id)

    def _refusal_before_queue(self, call: Call) -> Refusal | None:
        backend = self._backend
        if backend is None or backend.service != call.service:
            detail = f"no backend server of {call.service} here"
            return refuse(ErrorKind.NO_SERVER, detail)
        if self._leaving or backend.state is BackendState.LEAVING:
            return refuse(ErrorKind.LEAVING, "the backend server is leaving")
        return self._runner.refusal(call)

    def _deliver(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            waiter = self._waiters.get(verdict.ticket)
            if waiter is None:
                continue
            match verdict:
                case Start():
                    waiter.started = True
                case Refuse(_, refusal):
                    waiter.refusal = refusal
            waiter.decided.set()

    async def _run_admitted(self, call: Call, ticket: TicketId) -> Reply:
        outcome = Outcome.CANCELLED
        try:
            result = await self._send_once(call)
            outcome = _outcome_of(result)
        finally:
            self._finish(ticket, outcome)
        match result:
            case Success(answer):
                return Answered(
                    answer.status, flatten(answer.headers), answer.body, self.load
                )
            case Failure(refusal):
                logging.info(
                    "backend failed root=%s error=%s ran=%s %s",
                    call.root,
                    refusal.kind.value,
                    refusal.ran.value,
                    refusal.detail,
                )
                return refused(refusal, self.load)

    def _finish(self, ticket: TicketId, outcome: Outcome) -> None:
        self._deliver(self._core.finish(ticket, outcome, trio.current_time()))

    async def _send_once(self, call: Call) -> Result[HttpAnswer, Refusal]:
        if self._backend is None:
            return Failure(_backend_gone())
        address = self._backend.address
        return await self._runner.run(call, address, partial(self._send, call))

    async def _send(self, call: Call) -> Result[HttpAnswer, Refusal]:
        if self._backend is None:
            return Failure(_backend_gone())
        remaining_ms = max(0, _remaining_ms())
        chain = Chain(call.root, call.entry, call.depth, call.worth, remaining_ms)
        headers = (
            *pair_up(call.headers),
            (CHAIN_HEADER, chain.child(remaining_ms).encode()),
        )
        request = HttpRequest(call.method, call.target, headers, call.body)
        return await self._client.send(
            self._backend.address, request, call.max_answer_bytes
        )


class _Waiter:
    """Wait for the verdict on one request."""

    def __init__(self):
        self.decided = trio.Event()
        self.started = False
        self.refusal: Refusal | None = None


def _backend_gone() -> Refusal:
    return refuse(ErrorKind.NO_SERVER, "the backend server is gone")


def _remaining_ms() -> int:
    left = trio.current_effective_deadline() - trio.current_time()
    return int(min(left * 1000, 2**31))


def _outcome_of(result: Result[HttpAnswer, Refusal]) -> Outcome:
    match result:
        case Success(answer):
            return Outcome.SHED if answer.status == SHED_STATUS else Outcome.DONE
        case _:
            return Outcome.FAILED
