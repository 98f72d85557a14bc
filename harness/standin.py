"""Simulate a backend server with slots, service time, faults and nested calls."""

import argparse
import json
import os
import random
import sys
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import trio
from returns.result import Success

from persimmonhall.address import Address
from persimmonhall.errors import Refusal
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.http.server import serve_http
from persimmonhall.table_reader import read_toml

ANNOUNCE_INTERVAL_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
CHAIN_HEADER = b"persimmonhall-chain"
RAN_HEADER = b"persimmonhall-ran"
CONTROL_PREFIX = "/-/"
REFUSED_CALL_HEADER = b"standin-refused-call"


class NestedCallOutcome(Enum):
    """Classify how the nested calls of a backend server ended."""

    SUCCEEDED = "whole"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class StandinSettings:
    """Configure a stand-in backend server."""

    service: str
    node: Address
    listen: Address = Address("127.0.0.1", 0)
    slots: int = 4
    connections: int = 64
    service_ms: float = 5.0
    answer_bytes: int = 200
    calls: tuple[str, ...] = ()
    resends: int = 0
    run_log: str = ""


@dataclass
class Behaviour:
    """Store the behaviour that can be changed at run time."""

    service_ms: float
    announce: bool = True
    state: str = "ready"
    fail_status: int = 0
    fail_share: float = 1.0


@dataclass
class Counts:
    """Count requests and runs of the backend server."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    most_at_once: int = 0
    running: int = 0
    runs: dict[str, int] = field(default_factory=dict)


class StandinServer:
    """Serve requests with a limited number of slots."""

    def __init__(self, settings: StandinSettings):
        self._settings = settings
        self._behaviour = Behaviour(settings.service_ms)
        self._counts = Counts()
        self._slots = trio.CapacityLimiter(settings.slots)
        self._client = PooledClient(settings.connections)
        self._rng = random.Random(1)
        self._run_log = open(settings.run_log, "a") if settings.run_log else None  # noqa: SIM115

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer a request, or a control command on its reserved path."""
        if request.target.startswith(CONTROL_PREFIX):
            return self._handle_control(request)
        async with self._slots:
            return await self._run_request(request)

    def _handle_control(self, request: HttpRequest) -> HttpAnswer:
        parts = urlsplit(request.target)
        if parts.path == "/-/behave":
            for name, [value] in parse_qs(parts.query).items():
                value_type = type(getattr(self._behaviour, name))
                setattr(self._behaviour, name, value_type(json.loads(value)))
            return HttpAnswer(204, ())
        return HttpAnswer(200, (), json.dumps(self._counts.__dict__).encode())

    async def _run_request(self, request: HttpRequest) -> HttpAnswer:
        counts = self._counts
        self._count_start(request)
        try:
            if "crash-late" in request.target:
                # Simulates a server that keeps running after its caller disconnects.
                with trio.CancelScope(shield=True):
                    await trio.sleep(self._behaviour.service_ms / 1000)
            if "crash" in request.target:
                os._exit(1)
            await trio.sleep(self._behaviour.service_ms / 1000)
            nested_outcome = await self._make_nested_calls(request)
            counts.finished += 1
        except trio.Cancelled:
            counts.cancelled += 1
            raise
        finally:
            counts.running -= 1
        if nested_outcome is not NestedCallOutcome.SUCCEEDED:
            headers = ((REFUSED_CALL_HEADER, nested_outcome.value.encode()),)
            return HttpAnswer(502, headers, self._body(request))
        status = 200
        if self._behaviour.fail_status and self._rng.random() < (
            self._behaviour.fail_share
        ):
            status = self._behaviour.fail_status
        return HttpAnswer(status, (), self._body(request))

    def _count_start(self, request: HttpRequest) -> None:
        counts = self._counts
        counts.started += 1
        counts.running += 1
        counts.most_at_once = max(counts.most_at_once, counts.running)
        key = request.header(b"idempotency-key") or ""
        if key:
            counts.runs[key] = counts.runs.get(key, 0) + 1
        if self._run_log is not None:
            # Logged before the work, so that a run that crashes is still recorded.
            self._run_log.write(f"{key} {request.method} {request.target}\n")
            self._run_log.flush()

    async def _make_nested_calls(self, request: HttpRequest) -> NestedCallOutcome:
        chain = request.header(CHAIN_HEADER) or ""
        for call in self._settings.calls:
            service, _, path = call.partition("/")
            headers = (
                (b"persimmonhall-service", service.encode()),
                (CHAIN_HEADER, chain.encode()),
            )
            nested_request = HttpRequest("GET", "/" + path, headers)
            outcome = await self._send_with_resends(nested_request)
            if outcome is not NestedCallOutcome.SUCCEEDED:
                return outcome
        return NestedCallOutcome.SUCCEEDED

    async def _send_with_resends(
        self, nested_request: HttpRequest
    ) -> NestedCallOutcome:
        outcome = NestedCallOutcome.FAILED
        for _ in range(self._settings.resends + 1):
            match await self._client.send(
                self._settings.node, nested_request, MAX_ANSWER_BYTES
            ):
                case Success(answer) if answer.status < 400:
                    return NestedCallOutcome.SUCCEEDED
                case Success(answer) if answer.header(RAN_HEADER) == "no":
                    outcome = NestedCallOutcome.REFUSED
                case _:
                    outcome = NestedCallOutcome.FAILED
        return outcome

    def _body(self, request: HttpRequest) -> bytes:
        query = parse_qs(urlsplit(request.target).query)
        size = int(query.get("bytes", [self._settings.answer_bytes])[0])
        return b"a" * size

    async def announce(self, address: Address) -> None:
        """Announce this server to the local node until cancelled."""
        while True:
            if self._behaviour.announce:
                await self._announce_once(address)
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_once(self, address: Address) -> None:
        body = {
            "service": self._settings.service,
            "address": str(address),
            "slots": self._settings.slots,
            "connections": self._settings.connections,
            "state": self._behaviour.state,
        }
        request = HttpRequest("POST", "/-/announce", (), json.dumps(body).encode())
        with trio.move_on_after(ANNOUNCE_INTERVAL_S):
            await self._client.send(self._settings.node, request, MAX_ANSWER_BYTES)


def _write_refusal(refusal: Refusal) -> HttpAnswer:
    return HttpAnswer(400, (), refusal.detail.encode())


async def run_standin(settings: StandinSettings) -> None:
    """Serve and announce until the process ends."""
    standin = StandinServer(settings)
    async with trio.open_nursery() as nursery:

        async def serve(task_status=trio.TASK_STATUS_IGNORED):
            await serve_http(
                standin.handle,
                settings.listen,
                trio.Event(),
                write_refusal=_write_refusal,
                task_status=task_status,
            )

        address = await nursery.start(serve)
        nursery.start_soon(standin.announce, address)
        print(json.dumps({"ready": {"listen": str(address)}}), flush=True)


def main() -> int:
    """Run a stand-in server from its settings file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    options = parser.parse_args()
    match read_toml(StandinSettings, options.settings.read_text()):
        case Success(settings):
            trio.run(run_standin, settings)
            return 0
        case failure:
            print(*failure.failure(), sep="\n", file=sys.stderr)
            return 2


if __name__ == "__main__":
    sys.exit(main())
