"""Stand in for servers, the operator and clients, as PROTOCOL.md describes them."""

import asyncio
import itertools
import json
import secrets
import time

from .http import Head, encode_request, exchange, read_body, read_head
from .platform import STARTUP_TIMEOUT_S, Machine, Platform, Record, SetupError

HOST = "hulo84.example"
PREFIX = "/leny950/"
ERRORS = (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError)


class Server:
    """Stand in for a sound server beside one node."""

    def __init__(self, machine: Machine, record: Record, *, work_s: float = 0.01):
        self.machine = machine
        self.record = record
        self.work_s = work_s
        self.slots = 39
        self.id = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.state = "ready"
        self.pings = True
        self.runs: list[tuple[float, str]] = []
        self._listener: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at the application address and report to the node."""
        host, _, port = self.machine.address("application").rpartition(":")
        self._listener = await asyncio.start_server(
            self._serve, host, int(port), limit=256 * 1024
        )
        self._tasks.append(asyncio.create_task(self._report()))

    async def stop(self) -> None:
        """Exit."""
        for task in self._tasks:
            task.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def make_answer(self, head: Head) -> bytes:
        """Return the body of the answer to a request."""
        return b"chart"

    def ping_body(self) -> bytes:
        """Encode what the server says of itself now."""
        fields = {
            "address": self.machine.address("application"),
            "born": self.born,
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "maxConcurrency": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": next(self.sequence),
                "warmupRemainingMs": 0,
            },
        }
        return json.dumps(fields).encode()

    async def call(self, name: str, body: bytes) -> int:
        """Make a call at the node's control address; return the status."""
        address = self.machine.address("controlPlane")
        headers = {"Host": address, "Content-Type": "application/json"}
        target = f"/rpc?call={name}&of={self.id}"
        status, _, _ = await exchange(address, "POST", target, headers, body, 1.0)
        return status

    async def deregister(self) -> bool:
        """Say that this server leaves; return whether that was acknowledged."""
        self.pings = False
        try:
            status = await self.call(
                "instances.deregister", json.dumps({"born": self.born}).encode()
            )
        except ERRORS:
            return False
        return 200 <= status < 300

    async def _report(self) -> None:
        while True:
            if self.pings:
                try:
                    await self.call("instances.heartbeat", self.ping_body())
                except ERRORS:
                    pass
            await asyncio.sleep(1.5)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                writer.write(await self._answer(head, body))
                await writer.drain()
        except (*ERRORS, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: Head, body: bytes) -> bytes:
        attempt = head.headers.get("x-attempt-id", "")
        expected = head.headers.get("x-expected-instance", self.id)
        if expected != self.id or not attempt:
            status = "421 Misdirected" if attempt else "400 No id"
            return self._encode(status, attempt, {"X-Not-Executed": "1"}, b"")
        self.runs.append((time.monotonic(), attempt))
        self.record(f"server {self.id} of {self.machine.name}: runs {attempt}")
        await asyncio.sleep(self.work_s)
        stamp = {"X-Server-Stamp": f"{self.id}.{attempt}"}
        return self._encode("200 OK", attempt, stamp, self.make_answer(head))

    def _encode(
        self, status: str, attempt: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {attempt}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Keep-Alive: timeout=10", f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body


class Operator:
    """Stand in for the operator, who asks one control VM after the other."""

    def __init__(self, platform: Platform, record: Record):
        self._addresses = [c.address("controlPlane") for c in platform.cores]
        self._record = record

    async def replace(self, manifest: dict, timeout_s: float = 20.0) -> None:
        """Send a manifest until it is acknowledged."""
        body = json.dumps(manifest).encode()
        end = time.monotonic() + timeout_s
        for address in itertools.cycle(self._addresses):
            if time.monotonic() > end:
                raise SetupError(f"manifest {manifest['version']} was not acknowledged")
            headers = {"Host": address, "Content-Type": "application/json"}
            target = "/rpc?call=configuration.replace"
            try:
                status, _, _ = await exchange(
                    address, "POST", target, headers, body, 2.0
                )
            except ERRORS:
                status = 0
            if status == 200:
                self._record(f"operator: manifest {manifest['version']} acknowledged")
                return
            await asyncio.sleep(0.3)


def make_manifest(
    version: int, base: int, services: tuple[str, ...], **changes: object
) -> dict:
    """Return a manifest with one route for each kind of request."""
    route = {
        "name": "r-read",
        "host": HOST,
        "pathPrefix": PREFIX,
        "routeKind": "idempotent",
        "timeoutMs": 5000,
        "targetLatencyMs": 1500,
        "priority": 2,
        "service": services[0],
        "maxAttempts": 2,
    }
    write = {
        **route,
        "name": "r-write",
        "pathPrefix": "/puka111/",
        "routeKind": "non_idempotent",
        "priority": 0,
        "service": services[-1],
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": f"{version:08x}",
        "routes": [route, write],
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 334,
                "protocol": "h1",
                "tls": False,
            }
            for name in dict.fromkeys(services)
        ],
        "limits": {**limits, **changes},
        "baseVersion": f"{base:08x}",
    }


def new_attempt() -> str:
    """Return the id of a client attempt."""
    return secrets.token_hex(8)


async def ask(
    machine: Machine,
    record: Record,
    *,
    target: str = PREFIX + "2f",
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 5000,
    attempt: str = "",
) -> tuple[int, bytes]:
    """Send one request as a client beside a node; return status 0 without an answer."""
    attempt = attempt or new_attempt()
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
    }
    record(f"client of {machine.name}: sends {attempt} {method} {target}")
    address = machine.address("outbound")
    try:
        status, answer_headers, answer = await exchange(
            address, method, target, headers, body, deadline_ms / 1000
        )
    except ERRORS as error:
        record(f"client of {machine.name}: {attempt} has no answer ({error!r})")
        return 0, b""
    stamp = answer_headers.get("x-server-stamp", "none")
    record(f"client of {machine.name}: {attempt} answered {status}, stamp {stamp}")
    return status, answer


async def wait_until_ready(nodes: list[Machine]) -> None:
    """Wait until every node answers its readiness check with 200."""
    end = time.monotonic() + STARTUP_TIMEOUT_S
    for node in nodes:
        address = node.address("ready")
        while True:
            if time.monotonic() > end:
                raise SetupError(f"{node.name} did not get ready")
            try:
                headers = {"Host": address}
                status, _, _ = await exchange(
                    address, "GET", "/ready", headers, b"", 1.0
                )
            except ERRORS:
                status = 0
            if status == 200:
                break
            await asyncio.sleep(0.1)


__all__ = [
    "HOST",
    "PREFIX",
    "Operator",
    "Server",
    "ask",
    "encode_request",
    "make_manifest",
    "new_attempt",
    "wait_until_ready",
]
