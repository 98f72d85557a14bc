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
from persimmonhall.once.claimer import Holder
from persimmonhall.once.crash_messages import Suspicion
from persimmonhall.once.quarantine import quarantine_refusal
from persimmonhall.once.spread import SuspectSpreader
from persimmonhall.once.suspects import SuspectRequest, SuspectTable

LOST = frozenset({ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_CUT})
SHED_STATUS = 503
PROBE_TIMEOUT_S = 0.5
MAX_PROBES = 10
WATCH_S = 0.05
TELL_WAIT_S = 0.1
SAME_DEATH_S = 0.25
ABANDONED_S = 5.0
MAX_ABANDONED = 16
MAX_REQUEST_LENGTH = 120

Send = Callable[[], Awaitable[Result[HttpAnswer, Refusal]]]


class _Run:
    """Track one request in flight."""

    def __init__(self, request: SuspectRequest):
        self.request = request
        self.implicated = False
        self.given_up_at = math.inf


class CrashWatch:
    """Run requests, with suspects one at a time, and report deaths."""

    def __init__(
        self,
        own: Holder,
        suspects: SuspectTable,
        spreader: SuspectSpreader,
        on_death: Callable[[], None],
    ):
        self._source = f"{own.node}/{own.incarnation}"
        self._suspects = suspects
        self._spreader = spreader
        self._on_death = on_death
        self._running: set[_Run] = set()
        # A backend server may keep running an abandoned request and crash on it.
        self._abandoned: deque[_Run] = deque(maxlen=MAX_ABANDONED)
        self._suspect_turn = trio.Lock()
        self._probe_done: trio.Event | None = None
        self._died_at = -SAME_DEATH_S
        self._numbers = itertools.count(1)

    def refusal(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return the final refusal if the request is quarantined."""
        return quarantine_refusal(self._suspects, fingerprint, trio.current_time())

    async def run(
        self, call: Call, fingerprint: Fingerprint, address: Address, send: Send
    ) -> Result[HttpAnswer, Refusal]:
        """Send a request; a suspect waits until no other suspect is running."""
        if self._suspicion(fingerprint) is Suspicion.NONE:
            return await self._run(call, fingerprint, address, send)
        async with self._suspect_turn:
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
        request = f"{call.method} {call.target}"[:MAX_REQUEST_LENGTH]
        run = _Run(SuspectRequest(fingerprint, call.service, request))
        self._running.add(run)
        try:
            result = await send()
            match result:
                case Success(answer) if answer.status != SHED_STATUS:
                    self._clear(fingerprint)
                case Failure(refusal) if refusal.kind in LOST:
                    await self._look_into(run, address)
                case Failure(refusal) if refusal.kind is ErrorKind.CONNECT_FAILED:
                    self._running.discard(run)
                    if self._unfinished():
                        await self._look_into(run, address)
        except trio.Cancelled:
            run.given_up_at = trio.current_time()
            self._abandoned.append(run)
            raise
        finally:
            self._running.discard(run)
        return result

    def _unfinished(self) -> list[_Run]:
        """Return recently abandoned requests that the server may still be running."""
        since = trio.current_time() - ABANDONED_S
        return [
            run
            for run in self._abandoned
            if run.given_up_at >= since and not run.implicated
        ]

    def _clear(self, fingerprint: Fingerprint) -> None:
        now = trio.current_time()
        changed = self._suspects.clear(fingerprint, now)
        if changed:
            # A request that reliably crashes servers never gets a complete answer, so
            # this one is not the cause.
            logging.info("suspect cleared fingerprint=%016x", fingerprint)
            self._spreader.tell_all(changed)

    async def _look_into(self, run: _Run, address: Address) -> None:
        if self._probe_done is not None:
            await self._probe_done.wait()
            return
        is_known = trio.current_time() - self._died_at < SAME_DEATH_S
        if run.implicated or is_known:
            return
        done = self._probe_done = trio.Event()
        try:
            with trio.CancelScope(shield=True):
                if await _is_dead(address):
                    await self._report()
        finally:
            self._probe_done = None
            done.set()

    async def _report(self) -> None:
        now = self._died_at = trio.current_time()
        in_flight = [run for run in self._running if not run.implicated]
        in_flight += self._unfinished()
        death = DeathId(f"{self._source}/{next(self._numbers)}")
        for run in in_flight:
            run.implicated = True
        requests = {run.request.fingerprint: run.request for run in in_flight}
        suspects = self._suspects.report(death, requests.values(), now)
        for request in requests.values():
            state = self._suspects.suspicion(request.fingerprint, now)
            _log_suspect(death, request, state)
        self._on_death()
        # Callers may resend to another node once they are answered, so the other
        # nodes should have the suspects first.
        with trio.move_on_after(TELL_WAIT_S):
            await self._spreader.tell_all(suspects).wait()


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
        with trio.move_on_after(WATCH_S):
            await stream.receive_some(1)
            return False
    except trio.BrokenResourceError:
        return False
    finally:
        await trio.aclose_forcefully(stream)
    return True


def _log_suspect(death: DeathId, request: SuspectRequest, state: Suspicion) -> None:
    logging.warning(
        "backend server died death=%s fingerprint=%016x service=%s request=%s "
        "suspicion=%s",
        death,
        request.fingerprint,
        request.service,
        request.request,
        state.value,
    )
