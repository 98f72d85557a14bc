"""Resend a request with one idempotency key and count how often it ran."""

from dataclasses import dataclass, field

import trio
from returns.result import Success

from harness.outcome import answer_outcome
from harness.system import System
from persimmonhall.errors import ErrorKind
from persimmonhall.http.messages import HttpRequest

ENTRY, GATE, REMOTE_GATE = "suva-cue-1", "suva-cue-2", "nadi-cue-1"
NODES = {ENTRY: "suva", GATE: "suva", REMOTE_GATE: "nadi"}
GATES = (GATE, REMOTE_GATE)
RESEND_COUNT = 3
FINAL_OUTCOMES = {"200", "outcomeUnknown"}


@dataclass
class KeyedRequest:
    """Send a request with one idempotency key and record the answers."""

    system: System
    key: str
    nodes: tuple[str, ...] = tuple(NODES)
    gates: tuple[str, ...] = GATES
    answers: list[str] = field(default_factory=list)
    overload_refusals: int = 0

    async def send_until_admitted(self, node: str) -> None:
        """Send the request until the gate admits it; count the refusals."""

        async def admitted() -> bool:
            if await self.send(node) != ErrorKind.OVERLOADED.value:
                return True
            self.overload_refusals += 1
            self.answers.remove(ErrorKind.OVERLOADED.value)
            return False

        await self.system.wait_until(admitted, f"admission: {self.answers[-3:]}")

    async def send(self, node: str, body: bytes = b"warning") -> str:
        """Send the request to a node and return the status or kind of problem."""
        headers = (
            (b"persimmonhall-service", b"cue"),
            (b"idempotency-key", self.key.encode()),
        )
        request = HttpRequest("POST", "/publish/warnings", headers, body)
        match await self.system.send(node, request):
            case Success(answer):
                outcome = answer_outcome(answer)
            case failure:
                outcome = failure.failure().kind.value
        self.answers.append(outcome)
        return outcome

    async def send_to_all_nodes(self) -> None:
        """Send the request to every node at once."""
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                nursery.start_soon(self.send, node)

    async def resend_to_all_nodes(self) -> None:
        """Send the request to every node, several times."""
        for _ in range(RESEND_COUNT):
            async with trio.open_nursery() as nursery:
                for node in self.nodes:
                    nursery.start_soon(self.send_until_admitted, node)

    async def wait_for_final_outcome(self) -> None:
        """Send the request until no node reports it as running or refuses it."""

        async def is_final() -> bool:
            return {await self.send(node) for node in self.nodes} <= FINAL_OUTCOMES

        await self.system.wait_until(is_final, f"final outcome: {self.answers[-3:]}")

    async def wait_for_run(self) -> str:
        """Wait until a backend server has started the request; return its node."""

        async def started() -> bool:
            return any(self.count_runs().values())

        await self.system.wait_until(started, "a run")
        return next(node for node, count in self.count_runs().items() if count)

    def count_runs(self) -> dict[str, int]:
        """Count the runs of the request at each backend server, running or killed."""
        counts = {}
        for node in self.gates:
            log = self.system.folder / f"{node}.runs"
            lines = log.read_text().splitlines() if log.exists() else []
            counts[node] = sum(line.split()[0] == self.key for line in lines)
        return counts
