"""Detect deaths of the backend server and the requests that were in flight."""

import itertools
import math
from collections import deque
from collections.abc import Awaitable, Callable

import trio
from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.call.messages import Call
from persimmonhall.errors import ErrorKind, Refusal
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import DeathId, Fingerprint
from persimmonhall.once.claimer import NodeIncarnation
from persimmonhall.once.crash_messages import Suspicion
from persimmonhall.once.propagation import SuspectPropagator
from persimmonhall.once.quarantine import quarantine_refusal
from persimmonhall.once.suspects import SuspectRequest, SuspectTable

CONNECTION_LOST_KINDS = frozenset({ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_CUT})
SHED_STATUS = 503
PROBE_TIMEOUT_S = 0.5
MAX_PROBES = 10
MIN_PROBE_OPEN_S = 0.05
MAX_BROADCAST_WAIT_S = 0.1
SAME_DEATH_WINDOW_S = 0.25
ABANDONED_RUN_WINDOW_S = 5.0
MAX_ABANDONED_RUNS = 16
MAX_REQUEST_LINE_CHARS = 120

Send = Callable[[], Awaitable[Result[HttpAnswer, Refusal]]]


class _Run:
    """Track one request in flight."""

    def __init__(self, request: SuspectRequest):
        self.request = request
        self.is_implicated = False
        self.abandoned_at = math.inf


class CrashDetector:
    """Run requests, with suspects one at a time, and report deaths."""

    def __init__(
        self,
        local_node: NodeIncarnation,
        suspects: SuspectTable,
        propagator: SuspectPropagator,
        on_death: Callable[[], None],
    ):
        self._death_id_prefix = f"{local_node.node}/{local_node.incarnation}"
        self._suspects = suspects
        self._propagator = propagator
        self._on_death = on_death
        self._running: set[_Run] = set()
        # A backend server may keep running an abandoned request and crash on it.
        self._abandoned: deque[_Run] = deque(maxlen=MAX_ABANDONED_RUNS)
        self._suspect_lock = trio.Lock()
        self._probe_done: trio.Event | None = None
        self._last_death_at = -SAME_DEATH_WINDOW_S
        self._death_numbers = itertools.count(1)

    def refusal(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return the final refusal if the request is quarantined."""
        return quarantine_refusal(self._suspects, fingerprint, trio.current_time())

    async def run(
        self, call: Call, fingerprint: Fingerprint, address: Address, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request; a suspect waits until no other suspect is running."""
        if self._suspicion(fingerprint) is Suspicion.NONE:
            return await self._run(call, fingerprint, address, send)
        async with self._suspect_lock:
            if self._suspicion(fingerprint) is Suspicion.SUSPECT:
                return await self._run(call, fingerprint, address, send)
        refusal = self.refusal(fingerprint)
        if refusal is not None:
            return Failure(refusal)
        return await self._run(call, fingerprint, address, send)

    def _suspicion(self, fingerprint: Fingerprint) -> Suspicion:
        return self._suspects.suspicion(fingerprint, trio.current_time())

    async def _run(
        self, call: Call, fingerprint: Fingerprint, address: Address, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        request = f"{call.method} {call.target}"[:MAX_REQUEST_LINE_CHARS]
        run = _Run(SuspectRequest(fingerprint, call.service, request))
        self._running.add(run)
        try:
            result = await send()
            match result:
                case Success(answer) if answer.status != SHED_STATUS:
                    self._clear_suspect(fingerprint)
                case Failure(refusal) if refusal.kind in CONNECTION_LOST_KINDS:
                    await self._probe_for_death(run, address)
                case Failure(refusal) if refusal.kind is ErrorKind.CONNECT_FAILED:
                    self._running.discard(run)
                    if self._recently_abandoned():
                        await self._probe_for_death(run, address)
        except trio.Cancelled:
            run.abandoned_at = trio.current_time()
            self._abandoned.append(run)
            raise
        finally:
            self._running.discard(run)
        return result

    def _recently_abandoned(self) -> list[_Run]:
        """Return recently abandoned requests that the server may still be running."""
        since = trio.current_time() - ABANDONED_RUN_WINDOW_S
        return [
            run
            for run in self._abandoned
            if run.abandoned_at >= since and not run.is_implicated
        ]

    def _clear_suspect(self, fingerprint: Fingerprint) -> None:
        now = trio.current_time()
        changed = self._suspects.clear(fingerprint, now)
        if changed:
            # A request that reliably crashes servers never gets a complete answer, so
            # this one is not the cause.
            logging.info("suspect cleared fingerprint=%016x", fingerprint)
            self._propagator.broadcast(changed)

    async def _probe_for_death(self, run: _Run, address: Address) -> None:
        if self._probe_done is not None:
            await self._probe_done.wait()
            return
        is_same_death = trio.current_time() - self._last_death_at < SAME_DEATH_WINDOW_S
        if run.is_implicated or is_same_death:
            return
        done = self._probe_done = trio.Event()
        try:
            with trio.CancelScope(shield=True):
                if await _is_dead(address):
                    await self._report_death()
        finally:
            self._probe_done = None
            done.set()

    async def _report_death(self) -> None:
        now = self._last_death_at = trio.current_time()
        in_flight = [run for run in self._running if not run.is_implicated]
        in_flight += self._recently_abandoned()
        death = DeathId(f"{self._death_id_prefix}/{next(self._death_numbers)}")
        for run in in_flight:
            run.is_implicated = True
        requests = {run.request.fingerprint: run.request for run in in_flight}
        suspects = self._suspects.record_death(death, requests.values(), now)
        for request in requests.values():
            state = self._suspects.suspicion(request.fingerprint, now)
            _log_suspect(death, request, state)
        self._on_death()
        # Callers may resend to another node once they are answered, so the other
        # nodes should have the suspects first.
        with trio.move_on_after(MAX_BROADCAST_WAIT_S):
            await self._propagator.broadcast(suspects).wait()


async def _is_dead(address: Address) -> bool:
    """Return whether a server refuses connections.

    A terminating process may close its connections before its listener, so a
    probe connection that closes at once is repeated.
    """
    with trio.move_on_after(PROBE_TIMEOUT_S):
        for _ in range(MAX_PROBES):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                return True
            if await _stays_open(stream):
                return False
    return False


async def _stays_open(stream: trio.SocketStream) -> bool:
    try:
        with trio.move_on_after(MIN_PROBE_OPEN_S):
            await stream.receive_some(1)
            return False
    except trio.BrokenResourceError:
        return False
    finally:
        await trio.aclose_forcefully(stream)
    return True


def _log_suspect(death: DeathId, request: SuspectRequest, state: Suspicion) -> None:
    logging.warning(
        "backend died death=%s fingerprint=%016x service=%s request=%s suspicion=%s",
        death,
        request.fingerprint,
        request.service,
        request.request,
        state.value,
    )
