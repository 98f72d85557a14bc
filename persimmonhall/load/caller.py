"""Generate open-loop load from callers with a timeout and resends."""

import json
import random
import uuid
from collections.abc import Callable

import trio
from returns.result import Success

from persimmonhall.errors import PROBLEM_TYPE_PREFIX
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.load.report import Report, Sample
from persimmonhall.load.settings import LoadSettings, PhaseSection, RequestSection

MAX_ANSWER_BYTES = 64 * 1024 * 1024
PROBLEM_TYPE = "application/problem+json"


class Callers:
    """Send every kind of request at its rate, independent of the answers."""

    def __init__(
        self,
        settings: LoadSettings,
        on_sample: Callable[[Sample], None] | None = None,
    ):
        self._settings = settings
        self._on_sample = on_sample
        self._client = PooledClient(settings.load.connections)
        self._rng = random.Random(settings.load.seed)
        self._report = Report()
        self._start = 0.0

    async def run(self) -> Report:
        """Run all phases, wait for outstanding answers and return the report."""
        self._start = trio.current_time()
        phase_start = self._start
        async with trio.open_nursery() as nursery:
            for phase in self._settings.phases:
                for request in self._settings.requests:
                    nursery.start_soon(self._arrive, phase, request, phase_start)
                phase_start += phase.seconds
        await self._client.aclose()
        return self._report

    async def _arrive(
        self, phase: PhaseSection, request: RequestSection, start: float
    ) -> None:
        rate = request.per_second * phase.factor
        if rate <= 0:
            return
        rng = random.Random(f"{self._settings.load.seed}/{phase.name}/{request.name}")
        at = start + rng.expovariate(rate)
        async with trio.open_nursery() as nursery:
            while at < start + phase.seconds:
                await trio.sleep_until(at)
                nursery.start_soon(self._call, phase.name, request, at)
                at += rng.expovariate(rate)

    async def _call(self, phase: str, request: RequestSection, at: float) -> None:
        message = _make_request(request)
        reason = "timeout"
        good = False
        for _ in range(self._settings.load.resends + 1):
            with trio.move_on_after(self._settings.load.timeout_ms / 1000) as scope:
                good, reason = await self._send(message)
            if scope.cancelled_caught:
                reason = "timeout"
            if good:
                break
        sample = Sample(
            name=request.name,
            phase=phase,
            begin=at - self._start,
            end=trio.current_time() - self._start,
            good=good,
            reason=reason,
        )
        self._report.add(sample)
        if self._on_sample is not None:
            self._on_sample(sample)

    async def _send(self, message: HttpRequest) -> tuple[bool, str]:
        target = self._rng.choice(self._settings.load.targets)
        await trio.sleep(self._settings.load.client_ms / 1000)
        result = await self._client.send(target, message, MAX_ANSWER_BYTES)
        await trio.sleep(self._settings.load.client_ms / 1000)
        match result:
            case Success(answer):
                return _judge(answer)
            case failure:
                return False, failure.failure().kind.value


def _make_request(request: RequestSection) -> HttpRequest:
    headers = [(b"persimmonhall-service", request.service.encode())]
    if request.keyed:
        headers.append((b"idempotency-key", uuid.uuid4().hex.encode()))
    body = b"x" * request.body_bytes
    return HttpRequest(request.method, request.path, tuple(headers), body)


def _judge(answer: HttpAnswer) -> tuple[bool, str]:
    if answer.status < 400:
        return True, ""
    if answer.header(b"content-type") != PROBLEM_TYPE:
        return False, str(answer.status)
    problem = json.loads(answer.body)
    return False, problem["type"].removeprefix(PROBLEM_TYPE_PREFIX)
