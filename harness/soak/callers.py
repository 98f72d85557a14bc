"""Send pipelined requests on kept connections and check each answer."""

import itertools
import random
from dataclasses import dataclass

import trio

from harness.soak.cluster import Cluster, Process, content_length
from harness.soak.network import CONNECTION_ERRORS
from harness.soak.organisations import GREEDY, MODEST, USUAL, Organisations
from harness.soak.record import (
    Record,
    RequestKind,
    SentRequest,
    describe,
    expected_body,
    expected_order,
)

# Time beyond the deadline in which the answer must have come.
ANSWER_BOUND_S = 1.0
# A request may cross the close of a kept connection that was idle.
CROSSING_S = 0.2
MAX_BURST = 4
MANY_BURSTS = 1000
# Callers read large answers in steps.
SLOW_READING_BYTES = 100_000
SLOW_READING_PAUSE_S = 0.01
FORGED_NAME = "persimmonhall-organisation: harbour"
KINDS = (RequestKind.READ,) * 5 + (RequestKind.WRITE,) * 4 + (RequestKind.CUE,)
DEADLINES_S = (0.5, 1.0, 2.5)


@dataclass(frozen=True)
class CallerGroup:
    """Define how many callers there are of an organisation and what they send."""

    organisation: str
    count: int
    bursts: tuple[int, ...]
    min_pause_s: float
    max_pause_s: float
    keyed_fraction: float = 1.0


GROUPS = (
    CallerGroup(USUAL, 14, (1, 1, 2, MAX_BURST), 0.05, 0.25, 0.5),
    CallerGroup(GREEDY, 8, (1,), 0.05, 0.15),
    CallerGroup(MODEST, 2, (1,), 0.6, 1.4),
)


class Callers:
    """Run callers, each with one open connection at a time."""

    def __init__(
        self,
        cluster: Cluster,
        record: Record,
        organisations: Organisations,
        seed: int,
    ):
        self._cluster = cluster
        self._record = record
        self._organisations = organisations
        self._seed = seed
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Run the callers of all groups until cancelled."""
        async with trio.open_nursery() as nursery:
            for group in GROUPS:
                for number in range(group.count):
                    rng = random.Random(f"{self._seed}-{group.organisation}-{number}")
                    nursery.start_soon(self._run_caller, group, rng)

    async def _run_caller(self, group: CallerGroup, rng: random.Random) -> None:
        while True:
            node = rng.choice(self._cluster.nodes)
            address = node.address("callers")
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                await trio.sleep(0.1)
                continue
            async with stream:
                connection = CallerConnection(node, stream, self._record)
                # Some use their connection until the node closes it or is gone.
                count = rng.choice((rng.randrange(5, 40), MANY_BURSTS))
                for _ in range(count):
                    burst = [
                        self._make_request(group, rng, node)
                        for _ in range(rng.choice(group.bursts))
                    ]
                    is_abort = rng.random() < 0.02
                    if not await connection.send(burst, is_abort):
                        break
                    await trio.sleep(rng.uniform(group.min_pause_s, group.max_pause_s))
            await trio.sleep(0.02)

    def _make_request(
        self, group: CallerGroup, rng: random.Random, node: Process
    ) -> SentRequest:
        request_id = f"q{self._seed}-{next(self._numbers)}"
        kind = rng.choice(KINDS)
        now = trio.current_time()
        request = SentRequest(request_id, kind, node.name, now, rng.choice(DEADLINES_S))
        if rng.random() < group.keyed_fraction:
            request.credential = self._organisations.choose(rng, group.organisation)
        self._record.requests[request_id] = request
        return request


class CallerConnection:
    """Send requests over one connection and read the answers in order."""

    def __init__(self, node: Process, stream: trio.SocketStream, record: Record):
        self._node = node
        self._life = node.lives
        self._stream = stream
        self._record = record
        self._received = b""

    async def send(self, burst: list[SentRequest], is_abort: bool = False) -> bool:
        """Send requests at once; return whether the connection can be used again."""
        deadline_s = max(request.deadline_s for request in burst)
        data = b""
        for request in burst:
            request.deadline_s = deadline_s
            data += _encode(request)
        try:
            await self._stream.send_all(data)
            if is_abort:
                await trio.sleep(0.01)
                for request in burst:
                    request.outcome = "aborted"
                return False
            for number, request in enumerate(burst):
                closes = await self._read_answer(request)
                if closes and number + 1 < len(burst):
                    for rest in burst[number + 1 :]:
                        rest.outcome = "not read"
                        rest.must_not_run = "behind the last answer of a connection"
                if closes:
                    return False
        except CONNECTION_ERRORS as error:
            self._handle_end(burst, type(error).__name__)
            return False
        return True

    async def _read_answer(self, request: SentRequest) -> bool:
        """Read and check one answer; return whether the server closes."""
        while True:
            head, end, body = self._received.partition(b"\r\n\r\n")
            if end and len(body) >= content_length(head):
                break
            left_s = self._left_s(request)
            if left_s <= 0:
                request.outcome = "no answer"
                waited_s = trio.current_time() - request.sent_at
                text = f"no answer after {waited_s:.2f} s: {describe(request)}"
                self._record.report_violation(text)
                raise trio.ClosedResourceError
            with trio.move_on_after(left_s):
                part = await self._stream.receive_some(65536)
                if not part:
                    raise trio.BrokenResourceError
                self._received += part
            if len(self._received) > SLOW_READING_BYTES:
                await trio.sleep(SLOW_READING_PAUSE_S)
        length = content_length(head)
        self._received = body[length:]
        request.status = int(head.split()[1])
        request.answered_at = trio.current_time()
        head = head.lower()
        self._check_answer(request, head, body[:length])
        return b"\r\nconnection: close" in head

    def _left_s(self, request: SentRequest) -> float:
        limit = request.sent_at + request.deadline_s + ANSWER_BOUND_S
        paused_s = self._node.paused_s(request.sent_at)
        return limit + paused_s - trio.current_time() + 0.02 * self._node.is_paused

    def _check_answer(self, request: SentRequest, head: bytes, body: bytes) -> None:
        if request.status in (403, 404):
            text = f"{describe(request)} got {request.status} on a route that is there"
            self._record.report_violation(text)
        if request.status == 200:
            request.outcome = "ok"
            if body != expected_body(request.id):
                text = f"{describe(request)} got the body {body[:60]!r}"
                self._record.report_violation(text)
            elif not self._record.runs[request.id]:
                self._record.report_violation(f"{describe(request)} ran nowhere")
        elif b"\r\npersimmonhall-ran: no" in head:
            request.outcome = "not run"
            request.must_not_run = "answered as not run"
        else:
            request.outcome = f"failed-{request.status}"

    def _handle_end(self, burst: list[SentRequest], error: str) -> None:
        now = trio.current_time()
        node = self._node
        is_killed = node.killed_life >= self._life
        is_stopping = node.is_stopping or not node.is_up or node.lives != self._life
        for request in burst:
            if request.outcome != "open":
                continue
            request.outcome = "lost"
            if is_killed:
                continue
            if is_stopping and now - request.sent_at < CROSSING_S:
                request.outcome = "crossed the close"
                request.must_not_run = "cut off by a planned stop"
                continue
            text = f"{describe(request)} cut off after {now - request.sent_at:.2f} s"
            self._record.report_violation(f"{text}: {error}")


def _encode(request: SentRequest) -> bytes:
    method, body = "GET", b""
    if request.kind is RequestKind.WRITE:
        method, body = "POST", expected_order(request.id)
    path, lines = request.kind.value, ""
    if request.credential is not None:
        path = f"keyed/{path}"
        lines = f"{FORGED_NAME}\r\n"
        if request.credential.key:
            lines += f"Authorization: Bearer {request.credential.key}\r\n"
    return (
        f"{method} /{path}/{request.id} HTTP/1.1\r\n{lines}"
        f"host: maps.example\r\npersimmonhall-attempt: {request.id}\r\n"
        f"persimmonhall-deadline-ms: {request.deadline_s * 1000:.0f}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    ).encode() + body
