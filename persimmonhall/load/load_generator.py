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


class LoadGenerator:
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
        self._started_at = 0.0

    async def run(self) -> Report:
        """Run all phases, wait for outstanding answers and return the report."""
        self._started_at = trio.current_time()
        phase_start = self._started_at
        async with trio.open_nursery() as nursery:
            for phase in self._settings.phases:
                for request in self._settings.requests:
                    nursery.start_soon(
                        self._generate_requests, phase, request, phase_start
                    )
                phase_start += phase.seconds
        await self._client.aclose()
        return self._report

    async def _generate_requests(
        self, phase: PhaseSection, request: RequestSection, start: float
    ) -> None:
        rate = request.per_second * phase.factor
        if rate <= 0:
            return
        rng = random.Random(f"{self._settings.load.seed}/{phase.name}/{request.name}")
        send_at = start + rng.expovariate(rate)
        async with trio.open_nursery() as nursery:
            while send_at < start + phase.seconds:
                await trio.sleep_until(send_at)
                nursery.start_soon(
                    self._send_with_resends, phase.name, request, send_at
                )
                send_at += rng.expovariate(rate)

    async def _send_with_resends(
        self, phase: str, request: RequestSection, sent_at: float
    ) -> None:
        message = _make_request(request)
        reason = "timeout"
        is_good = False
        for _ in range(self._settings.load.resends + 1):
            with trio.move_on_after(self._settings.load.timeout_ms / 1000) as scope:
                is_good, reason = await self._send_once(message)
            if scope.cancelled_caught:
                reason = "timeout"
            if is_good:
                break
        sample = Sample(
            name=request.name,
            phase=phase,
            sent_at=sent_at - self._started_at,
            ended_at=trio.current_time() - self._started_at,
            is_good=is_good,
            reason=reason,
        )
        self._report.add(sample)
        if self._on_sample is not None:
            self._on_sample(sample)

    async def _send_once(self, message: HttpRequest) -> tuple[bool, str]:
        target = self._rng.choice(self._settings.load.targets)
        await trio.sleep(self._settings.load.client_ms / 1000)
        result = await self._client.send(target, message, MAX_ANSWER_BYTES)
        await trio.sleep(self._settings.load.client_ms / 1000)
        match result:
            case Success(answer):
                return _classify_answer(answer)
            case failure:
                return False, failure.failure().kind.value


def _make_request(request: RequestSection) -> HttpRequest:
    headers = [(b"persimmonhall-service", request.service.encode())]
    if request.keyed:
        headers.append((b"idempotency-key", uuid.uuid4().hex.encode()))
    body = b"x" * request.body_bytes
    return HttpRequest(request.method, request.path, tuple(headers), body)


def _classify_answer(answer: HttpAnswer) -> tuple[bool, str]:
    if answer.status < 400:
        return True, ""
    if answer.header(b"content-type") != PROBLEM_TYPE:
        return False, str(answer.status)
    problem = json.loads(answer.body)
    return False, problem["type"].removeprefix(PROBLEM_TYPE_PREFIX)
