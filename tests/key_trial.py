"""Resend a request with one idempotency key and count how often it ran."""

from dataclasses import dataclass, field

import trio
from returns.result import Success

from harness.outcome import outcome_of
from harness.system import System
from persimmonhall.errors import ErrorKind
from persimmonhall.http.messages import HttpRequest

ENTRY, GATE, FAR_GATE = "suva-cue-1", "suva-cue-2", "nadi-cue-1"
NODES = {ENTRY: "suva", GATE: "suva", FAR_GATE: "nadi"}
GATES = (GATE, FAR_GATE)
RESENDS = 3
KNOWN_OR_UNKNOWN = {"200", "outcomeUnknown"}


@dataclass
class Trial:
    """Send a request with one idempotency key and record the answers."""

    system: System
    key: str
    nodes: tuple[str, ...] = tuple(NODES)
    gates: tuple[str, ...] = GATES
    answers: list[str] = field(default_factory=list)
    overloaded: int = 0

    async def send_admitted(self, node: str) -> None:
        """Send the request until the gate admits it; count the refusals."""

        async def admitted() -> bool:
            if await self.send(node) != ErrorKind.OVERLOADED.value:
                return True
            self.overloaded += 1
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
                outcome = outcome_of(answer)
            case failure:
                outcome = failure.failure().kind.value
        self.answers.append(outcome)
        return outcome

    async def send_everywhere(self) -> None:
        """Send the request to every node at once."""
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                nursery.start_soon(self.send, node)

    async def resend(self) -> None:
        """Send the request to every node, several times."""
        for _ in range(RESENDS):
            async with trio.open_nursery() as nursery:
                for node in self.nodes:
                    nursery.start_soon(self.send_admitted, node)

    async def settle(self) -> None:
        """Send the request until no node reports it as running or refuses it."""

        async def settled() -> bool:
            return {await self.send(node) for node in self.nodes} <= KNOWN_OR_UNKNOWN

        await self.system.wait_until(settled, f"final outcome: {self.answers[-3:]}")

    async def wait_for_run(self) -> str:
        """Wait until a backend server has started the request; return its node."""

        async def started() -> bool:
            return any(self.runs().values())

        await self.system.wait_until(started, "a run")
        return next(node for node, count in self.runs().items() if count)

    def runs(self) -> dict[str, int]:
        """Count the runs of the request at each backend server, running or killed."""
        counts = {}
        for node in self.gates:
            log = self.system.folder / f"{node}.runs"
            lines = log.read_text().splitlines() if log.exists() else []
            counts[node] = sum(line.split()[0] == self.key for line in lines)
        return counts
