"""Send requests at a steady rate and count those that were interrupted."""

import json
import random
from collections import Counter

import trio
from returns.result import Failure, Success

from harness.processes import RunningProcess
from harness.standin import REFUSED_CALL_HEADER, NestedCallOutcome
from persimmonhall.errors import ErrorKind
from persimmonhall.http.client import PooledClient
from persimmonhall.http.messages import HttpAnswer, HttpRequest

SEND_INTERVAL_S = 0.01
REQUEST_TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 1024 * 1024
REQUESTS = (
    HttpRequest("GET", "/segments/7", ((b"host", b"cue"),)),
    HttpRequest("POST", "/publish/warnings", ((b"host", b"cue"),), b"warning"),
    HttpRequest("GET", "/segments/7", ((b"host", b"reels"),)),
)


class LoadSender:
    """Send requests to running nodes, on reused and on new connections."""

    def __init__(self, nodes: dict[str, RunningProcess]):
        self._nodes = nodes
        self._rng = random.Random(1)
        self._reused_client = PooledClient(500)
        self._scope = trio.CancelScope()
        self.ended = trio.Event()
        self.outcomes: Counter = Counter()

    @property
    def interrupted(self) -> dict[str, int]:
        """Return the outcomes that a graceful shutdown must not cause."""
        return {k: n for k, n in self.outcomes.items() if k.startswith("interrupted")}

    async def run(self) -> None:
        """Send until stopped, then wait for the last answers."""
        async with trio.open_nursery() as nursery:
            with self._scope:
                while True:
                    nursery.start_soon(self._send, self._rng.choice(REQUESTS))
                    await trio.sleep(SEND_INTERVAL_S)
        self.ended.set()

    async def stop(self) -> None:
        """Stop sending and wait for the last answers."""
        self._scope.cancel()
        await self.ended.wait()

    async def _send(self, request: HttpRequest) -> None:
        name = self._rng.choice(list(self._nodes))
        node = self._nodes[name]
        is_new = self._rng.random() < 0.5
        client = PooledClient(1) if is_new else self._reused_client
        with trio.move_on_after(REQUEST_TIMEOUT_S) as scope:
            address = node.addresses["callers"]
            result = await client.send(address, request, MAX_ANSWER_BYTES)
        if scope.cancelled_caught:
            self.outcomes["interrupted: timeout"] += 1
            return
        outcome = _outcome(result, node)
        if outcome.startswith("interrupted"):
            outcome += f" on a {'new' if is_new else 'kept'} connection"
        self.outcomes[outcome] += 1
        if is_new:
            await client.aclose()


def _outcome(result, node: RunningProcess) -> str:
    match result:
        case Failure(refusal) if refusal.kind is ErrorKind.CONNECT_FAILED:
            # Connections fail between the exit of a process and its restart.
            return "no listener" if node.is_stopping else "interrupted: no connection"
        case Failure(refusal):
            return f"interrupted: {refusal.kind.value} {refusal.detail}"
        case Success(answer):
            return _answer_outcome(answer)


def _answer_outcome(answer: HttpAnswer) -> str:
    if answer.status < 400:
        return "complete"
    if answer.header(REFUSED_CALL_HEADER) == NestedCallOutcome.REFUSED.value:
        return "refused: call of the backend server"
    if answer.header(b"content-type") != "application/problem+json":
        return f"interrupted: {answer.status} of the backend server"
    problem = json.loads(answer.body)
    if problem.get("ran") == "no":
        return f"refused: {problem['type']}"
    return f"interrupted: {answer.status} {problem}"
