"""Serve requests as backend servers that fail in many ways and report themselves."""

import random
import re
import time
from enum import Enum

import trio

from harness.soak.cluster import (
    Process,
    content_length,
    encode_request,
    exchange,
)
from harness.soak.network import CONNECTION_ERRORS
from harness.soak.organisations import KEY_PREFIX
from harness.soak.probes import SLOW_PREFIX
from harness.soak.record import (
    DRAIN_ALLOWANCE_S,
    Record,
    RequestKind,
    expected_body,
    expected_order,
)
from persimmonhall.wire.duplex import RESET_ON_CLOSE

REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 2.0
SLOTS = 8
SLOW_S = 2.2
FAULTY_FRACTION = 0.4
ATTEMPT = re.compile(rb"persimmonhall-attempt: ([^\r]*)")
ORGANISATION = re.compile(rb"(?i)\r\npersimmonhall-organisation: ([^\r]*)")
EXPECTED = re.compile(rb"persimmonhall-expected-instance: ([^\r]*)")


class Behaviour(Enum):
    """Define how a server treats a fraction of its requests."""

    NORMAL = "normal"
    HANG = "hang"
    LATE = "late"
    TWICE = "twice"
    PART = "part"
    RESET = "reset"
    REFUSE = "refuse"
    GARBAGE = "garbage"
    FAIL = "fail"
    # The answer has no length: it ends with its connection, or is reset within.
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframedReset"


class Backend:
    """Serve the requests of one node, as a succession of instances."""

    def __init__(self, node: Process, record: Record, rng: random.Random):
        self._node = node
        self._record = record
        self._rng = rng
        self.address = node.address("backend", "releases")
        self.behaviour = Behaviour.NORMAL
        self._number = 0
        self._scope: trio.CancelScope | None = None
        self._forbidden_since = 0.0
        self.begin_instance()

    def begin_instance(self) -> None:
        """Replace the instance by a new one."""
        self._number += 1
        self.instance = f"{self._node.name}-i{self._number}"
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state = "ready"
        self._is_reporting = True
        self._forbidden_since = 0.0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; `crash` ends all connections and the listener."""
        while True:
            listeners = await trio.open_tcp_listeners(
                self.address.port, host=self.address.host
            )
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._report_forever)
                    task_status.started()
                    await trio.serve_listeners(self._serve, listeners)
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(self._rng.uniform(0.2, 1.0))
            self.begin_instance()

    def crash(self) -> None:
        """End the instance; another one starts in its place."""
        self._scope.cancel()

    async def drain(self) -> None:
        """Drain, leave, and start a new instance."""
        self._state = "draining"
        if await self._report():
            self._forbidden_since = trio.current_time()
        await trio.sleep(self._rng.uniform(0.5, 2.0))
        self._is_reporting = False
        request = encode_request("DELETE", f"/-/instances/{self.instance}")
        reply = await exchange(self._local, request, REPORT_TIMEOUT_S)
        if reply is not None and reply[0] == 200:
            self._forbidden_since = self._forbidden_since or trio.current_time()
        for _ in range(3):
            await trio.sleep(self._rng.uniform(0.1, 0.6))
            if self._forbidden_since:
                # A report that was sent before the leave arrives late, also at a node
                # that has restarted meanwhile.
                await self._report(sequence=1, state="ready")
        self.begin_instance()

    @property
    def _local(self):
        return self._node.address("local")

    async def _report_forever(self) -> None:
        while True:
            if self._is_reporting:
                await self._report()
            await trio.sleep(REPORT_INTERVAL_S)

    async def _report(self, **changes) -> bool:
        self._sequence += 1
        body = {
            "instance": self.instance,
            "born_ms": self._born_ms,
            "sequence": self._sequence,
            "service": self._node.settings["releases"]["service"],
            "address": str(self.address),
            "slots": SLOTS,
            "state": self._state,
            "warm_up_ms": 0,
        } | changes
        request = encode_request("POST", "/-/instances", body)
        reply = await exchange(self._local, request, REPORT_TIMEOUT_S)
        return reply is not None and reply[0] == 200

    async def _serve(self, stream: trio.SocketStream) -> None:
        received = b""
        try:
            while True:
                head, end, body = received.partition(b"\r\n\r\n")
                if not end or len(body) < content_length(head):
                    part = await stream.receive_some(65536)
                    if not part:
                        return
                    received += part
                    continue
                size = content_length(head)
                received = body[size:]
                self._check_headers(head)
                self._check_body(head, body[:size])
                if not await self._answer(stream, head):
                    return
        except CONNECTION_ERRORS:
            pass
        finally:
            await trio.aclose_forcefully(stream)

    def _check_headers(self, head: bytes) -> None:
        """Check that no key has come and that the organisation is the true one."""
        request_id = ATTEMPT.search(head)[1].decode()
        if KEY_PREFIX.encode() in head or b"\r\nauthorization:" in head.lower():
            self._record.report_violation(f"{request_id} brought a key to a server")
        request = self._record.requests.get(request_id)
        if request is None:
            return
        expected = [request.credential.organisation] if request.credential else []
        names = [name.decode() for name in ORGANISATION.findall(head)]
        if names != expected:
            text = f"{request_id} came as of {names} instead of {expected}"
            self._record.report_violation(text)

    def _check_body(self, head: bytes, body: bytes) -> None:
        """Check that an order has come whole."""
        request_id = ATTEMPT.search(head)[1].decode()
        request = self._record.requests.get(request_id)
        is_order = request is not None and request.kind is RequestKind.WRITE
        if is_order and body != expected_order(request_id):
            text = f"{request_id} came with {len(body)} bytes: {body[:60]!r}"
            self._record.report_violation(text)

    async def _answer(self, stream: trio.SocketStream, head: bytes) -> bool:
        """Answer one request; return whether the connection stays open."""
        request_id = ATTEMPT.search(head)[1].decode()
        name = f"{request_id} at {self.instance}"
        behaviour = Behaviour.NORMAL
        if self._rng.random() < FAULTY_FRACTION:
            behaviour = self.behaviour
        answer = _encode_answer(200, request_id, expected_body(request_id))
        if EXPECTED.search(head)[1].decode() != self.instance:
            await stream.send_all(_encode_answer(421, request_id, b"other instance"))
            return True
        if behaviour is Behaviour.REFUSE:
            extra = b"persimmonhall-not-executed: 1\r\n"
            await stream.send_all(_encode_answer(503, request_id, b"no", extra))
            return True
        since = self._forbidden_since
        if since and trio.current_time() > since + DRAIN_ALLOWANCE_S:
            late_s = trio.current_time() - since
            self._record.report_violation(f"{name} ran {late_s:.2f} s after its drain")
        self._record.add_run(request_id, self.instance)
        if request_id.startswith(SLOW_PREFIX):
            await trio.sleep(SLOW_S)
        await trio.sleep(self._rng.uniform(0.002, 0.03))
        match behaviour:
            case Behaviour.HANG:
                await trio.sleep(30)
                return False
            case Behaviour.LATE:
                await trio.sleep(self._rng.uniform(0.3, 3.0))
            case Behaviour.FAIL:
                answer = _encode_answer(500, request_id, b"failed")
            case Behaviour.PART:
                await stream.send_all(answer[: len(answer) // 2])
                return False
            case Behaviour.RESET:
                return False
            case Behaviour.UNFRAMED:
                await stream.send_all(_without_length(answer))
                return False
            case Behaviour.UNFRAMED_RESET:
                answer = _without_length(answer)
                await stream.send_all(answer[: max(len(answer) // 2, 200)])
                stream.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE
                )
                return False
            case Behaviour.GARBAGE:
                answer = self._rng.randbytes(300)
        await stream.send_all(answer)
        if behaviour is Behaviour.TWICE:
            await trio.sleep(self._rng.choice((0.0, 0.01, 0.1)))
            await stream.send_all(answer)
        return True


def _without_length(answer: bytes) -> bytes:
    return re.sub(rb"content-length: \d+\r\n", b"", answer, count=1)


def _encode_answer(
    status: int, request_id: str, body: bytes, extra: bytes = b""
) -> bytes:
    return (
        b"HTTP/1.1 %d Status\r\npersimmonhall-attempt: %s\r\n%scontent-length: %d\r\n"
        b"\r\n%s" % (status, request_id.encode(), extra, len(body), body)
    )
