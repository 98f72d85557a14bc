"""Play backend servers with slots, work of their own and calls of their own."""

import math
import random
from collections.abc import Callable

from harness.load_model.clock import Events
from harness.load_model.scenario import Calls, Kind
from persimmonhall.dialect import HeaderNames
from persimmonhall.http.backend_pool import BackendAnswer, BackendRequest
from persimmonhall.http.message_reader import Message

HEADERS = HeaderNames()
# Work before the calls of a run; the rest comes after them.
WORK_BEFORE_CALLS = 0.5
FIRST_FAILURE = 400
TURN_AWAY_S = 0.001


def host_of(kind: str) -> str:
    """Return the host whose route leads to a kind of request."""
    return f"{kind}.model"


def make_message(kind: Kind, attempt: str, left_ms: float) -> Message:
    """Build a request that has arrived whole."""
    message = Message()
    message.method = "GET" if kind.may_repeat else "POST"
    message.target = f"/{kind.name}/".encode()
    message.headers = (
        (b"host", host_of(kind.name).encode()),
        (HEADERS.attempt, attempt.encode()),
        (HEADERS.deadline_ms, b"%d" % max(1, left_ms)),
    )
    message.is_complete = True
    return message


class ModelExchange:
    """Hand the outcome of one request to a function, with the time to return."""

    def __init__(self, done: Callable[[int, float], None]):
        self.context = None
        self.end_reason = "its caller gave up"
        self._done = done

    def answer(self, status: int, head: bytes, body: bytes) -> None:
        """Take in an answer."""
        self._done(status, 0.0)

    def refuse(self, refusal) -> None:
        """Take in a refusal; only the time to return is kept of it."""
        self._done(503, refusal.retry_after_s)


class _Run:
    """Follow one run through its work and its calls."""

    def __init__(self, server: "ModelServer", request: BackendRequest, kind: Kind):
        self._server = server
        self._request = request
        self._kind = kind
        self._steps = [c for calls in kind.calls for c in _batches(calls)]
        self._open = 0
        self._failed = False
        self._exchanges: list[ModelExchange] = []
        self.ended = False
        self.began = server.events.now

    def start(self) -> None:
        """Begin the work."""
        share = WORK_BEFORE_CALLS if self._steps else 1.0
        self._work(share, self._next)

    def abort(self) -> None:
        """Stop, for nobody waits."""
        self.ended = True
        for exchange in self._exchanges:
            self._server.entry.abandon(exchange)

    def _work(self, share: float, then: Callable[[], None]) -> None:
        seconds = self._server.work_s(self._kind) * share
        self._server.events.after(seconds, lambda: None if self.ended else then())

    def _next(self) -> None:
        if self._failed:
            self._finish(500)
        elif self._steps:
            self._call(self._steps.pop(0))
        else:
            share = 1 - WORK_BEFORE_CALLS if self._kind.calls else 0.0
            self._work(share, lambda: self._finish(200))

    def _call(self, batch: list[str]) -> None:
        self._open = len(batch)
        for name in batch:
            kind = self._server.kinds[name]
            exchange = ModelExchange(self._take)
            self._exchanges.append(exchange)
            attempt = self._server.next_attempt()
            message = make_message(kind, attempt, kind.deadline_ms)
            self._server.entry.begin(message, exchange)

    def _take(self, status: int, retry_after_s: float) -> None:
        if self.ended:
            return
        self._failed = self._failed or status >= FIRST_FAILURE
        self._open -= 1
        if self._open == 0:
            self._next()

    def _finish(self, status: int) -> None:
        self.ended = True
        self._server.end(self._request, self._run_s())
        headers = ((HEADERS.attempt, self._request.attempt_id),)
        self._request.on_result(BackendAnswer(status, headers, b""))

    def _run_s(self) -> float:
        return self._server.events.now - self.began


def _batches(calls: Calls) -> list[list[str]]:
    if calls.together:
        return [[calls.kind] * calls.times]
    return [[calls.kind]] * calls.times


class ModelServer:
    """Run what a gate sends; it stands in for the connections to a server."""

    def __init__(self, name, speed, kinds, events: Events, rng: random.Random):
        self.name = name
        self.kinds = kinds
        self.events = events
        self.entry = None
        self.speed = speed
        self.slow_times = 1.0
        self.shed_share = 0.0
        self.busy_s = 0.0
        self.started = 0
        self._rng = rng
        self._runs: dict[BackendRequest, _Run] = {}

    def next_attempt(self) -> str:
        """Return an id for a call of this server."""
        return f"{self.name}-{self._rng.getrandbits(48):x}"

    def work_s(self, kind: Kind) -> float:
        """Draw how long one run works."""
        sigma = kind.spread
        factor = math.exp(self._rng.gauss(-sigma * sigma / 2, sigma))
        return kind.work_ms / 1000 * factor * self.speed * self.slow_times

    def send(self, request: BackendRequest) -> None:
        """Start a run, or turn the request away."""
        if self.shed_share and self._rng.random() < self.shed_share:
            self.events.after(TURN_AWAY_S, lambda: self._turn_away(request))
            return
        name = request.data.split(b"/", 2)[1].decode()
        run = self._runs[request] = _Run(self, request, self.kinds[name])
        self.started += 1
        run.start()

    def _turn_away(self, request: BackendRequest) -> None:
        names = (HEADERS.attempt, HEADERS.not_executed)
        headers = tuple(zip(names, (request.attempt_id, b"1"), strict=True))
        request.on_result(BackendAnswer(503, headers, b""))

    def abort(self, request: BackendRequest) -> None:
        """Stop a run whose connection was closed."""
        run = self._runs.get(request)
        if run is not None:
            run.abort()
            self.end(request, self.events.now - run.began)

    def end(self, request: BackendRequest, run_s: float) -> None:
        """Forget a run."""
        del self._runs[request]
        self.busy_s += run_s

    def probe(self, on_result: Callable[[bool], None]) -> None:
        """Take every connection."""
        on_result(True)

    def close_expired(self, now: float) -> None:
        """Keep no connections."""

    def close(self) -> None:
        """Keep no connections."""
