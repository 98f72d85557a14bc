"""Simulate backend servers with their own work and nested calls."""

import math
import random
from collections.abc import Callable

from harness.load_model.clock import EventQueue
from harness.load_model.scenario import Calls, Kind
from persimmonhall.dialect import HeaderNames
from persimmonhall.http.backend_pool import BackendAnswer, BackendRequest
from persimmonhall.http.message_reader import Message

HEADERS = HeaderNames()
# Fraction of a run's work done before its nested calls; the rest follows them.
WORK_FRACTION_BEFORE_CALLS = 0.5
MIN_FAILURE_STATUS = 400
REJECT_DELAY_S = 0.001


def route_host(kind: str) -> str:
    """Return the host of the route for a kind of request."""
    return f"{kind}.model"


def make_message(
    kind: Kind, attempt: str, left_ms: float, item: str = "", key: str = ""
) -> Message:
    """Build a completely received request."""
    message = Message()
    message.method = "GET" if kind.may_repeat else "POST"
    message.target = f"/{kind.name}/{item}".encode()
    message.headers = (
        (b"host", route_host(kind.name).encode()),
        (HEADERS.attempt, attempt.encode()),
        (HEADERS.deadline_ms, b"%d" % max(1, left_ms)),
    )
    if key:
        message.headers += ((b"authorization", b"Bearer " + key.encode()),)
    message.is_complete = True
    return message


class ModelExchange:
    """Pass the status and Retry-After seconds of a request to a callback."""

    def __init__(self, done: Callable[[int, float], None]):
        self.context = None
        self.end_reason = "caller timed out"
        self._done = done

    def answer(self, status: int, head: bytes, body: bytes) -> None:
        """Report the status of an answer."""
        self._done(status, 0.0)

    def refuse(self, refusal) -> None:
        """Report a refusal as status 503 with its Retry-After seconds."""
        self._done(503, refusal.retry_after_s)


class _Run:
    """Track one run through its work and its nested calls."""

    def __init__(self, server: "ModelServer", request: BackendRequest, kind: Kind):
        self._server = server
        self._request = request
        self._kind = kind
        self._steps = [c for calls in kind.calls for c in _batches(calls)]
        self._open_calls = 0
        self._has_failed_call = False
        self._exchanges: list[ModelExchange] = []
        self.is_ended = False
        self.started_at = server.events.now

    def start(self) -> None:
        """Start the run."""
        fraction = WORK_FRACTION_BEFORE_CALLS if self._steps else 1.0
        self._work(fraction, self._run_next_step)

    def abort(self) -> None:
        """Stop the run and its nested calls, since no caller waits for it."""
        self.is_ended = True
        for exchange in self._exchanges:
            self._server.entry.abandon(exchange)

    def _work(self, fraction: float, callback: Callable[[], None]) -> None:
        seconds = self._server.work_s(self._kind) * fraction
        self._server.events.after(
            seconds, lambda: None if self.is_ended else callback()
        )

    def _run_next_step(self) -> None:
        if self._has_failed_call:
            self._finish(500)
        elif self._steps:
            self._call_batch(self._steps.pop(0))
        else:
            fraction = 1 - WORK_FRACTION_BEFORE_CALLS if self._kind.calls else 0.0
            self._work(fraction, lambda: self._finish(200))

    def _call_batch(self, batch: list[str]) -> None:
        self._open_calls = len(batch)
        for name in batch:
            kind = self._server.kinds[name]
            exchange = ModelExchange(self._handle_call_end)
            self._exchanges.append(exchange)
            attempt = self._server.next_attempt()
            message = make_message(kind, attempt, kind.deadline_ms)
            self._server.entry.begin(message, exchange)

    def _handle_call_end(self, status: int, retry_after_s: float) -> None:
        if self.is_ended:
            return
        self._has_failed_call = self._has_failed_call or status >= MIN_FAILURE_STATUS
        self._open_calls -= 1
        if self._open_calls == 0:
            self._run_next_step()

    def _finish(self, status: int) -> None:
        self.is_ended = True
        self._server.finish_run(self._request, self._elapsed_s())
        headers = ((HEADERS.attempt, self._request.attempt_id),)
        self._request.on_result(BackendAnswer(status, headers, b""))

    def _elapsed_s(self) -> float:
        return self._server.events.now - self.started_at


def _batches(calls: Calls) -> list[list[str]]:
    if calls.together:
        return [[calls.kind] * calls.times]
    return [[calls.kind]] * calls.times


class ModelServer:
    """Run the requests of a gate; replaces the connection pool to a server."""

    def __init__(self, name, speed, kinds, events: EventQueue, rng: random.Random):
        self.name = name
        self.kinds = kinds
        self.events = events
        self.entry = None
        self.work_time_factor = speed
        self.slow_times = 1.0
        self.noise_times = 1.0
        self.rejected_fraction = 0.0
        self.busy_s = 0.0
        self.started = 0
        self._rng = rng
        self._runs: dict[BackendRequest, _Run] = {}

    def next_attempt(self) -> str:
        """Return a random attempt id for a nested call."""
        return f"{self.name}-{self._rng.getrandbits(48):x}"

    def work_s(self, kind: Kind) -> float:
        """Draw the work time of a run in seconds."""
        sigma = kind.spread
        factor = math.exp(self._rng.gauss(-sigma * sigma / 2, sigma))
        if kind.long_share and self._rng.random() < kind.long_share:
            factor *= kind.long_times
        factor *= self.work_time_factor * self.slow_times * self.noise_times
        return kind.work_ms / 1000 * factor

    def send(self, request: BackendRequest) -> None:
        """Start a run, or reject the request."""
        if self.rejected_fraction and self._rng.random() < self.rejected_fraction:
            self.events.after(REJECT_DELAY_S, lambda: self._reject(request))
            return
        name = request.data.split(b"/", 2)[1].decode()
        run = self._runs[request] = _Run(self, request, self.kinds[name])
        self.started += 1
        run.start()

    def _reject(self, request: BackendRequest) -> None:
        names = (HEADERS.attempt, HEADERS.not_executed)
        headers = tuple(zip(names, (request.attempt_id, b"1"), strict=True))
        request.on_result(BackendAnswer(503, headers, b""))

    def abort(self, request: BackendRequest) -> bool:
        """Stop a run whose connection was closed; it was sent."""
        run = self._runs.get(request)
        if run is not None:
            run.abort()
            self.finish_run(request, self.events.now - run.started_at)
        return False

    def finish_run(self, request: BackendRequest, run_s: float) -> None:
        """Remove a run that ended."""
        del self._runs[request]
        self.busy_s += run_s

    def probe(self, on_result: Callable[[bool], None]) -> None:
        """Report every probe as successful."""
        on_result(True)

    def set_max_connections(self, max_connections: int) -> None:
        """Do nothing: the model keeps no connections."""

    def close_expired(self, now: float) -> None:
        """Do nothing; the model has no connections."""

    def close(self) -> None:
        """Do nothing; the model has no connections."""
