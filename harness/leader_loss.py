"""Measure how losing the leader of the control VMs affects keyed requests.

A refusal is needless if the request did not run though a server was free.
"""

import itertools
import json
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path

import trio
from returns.result import Success

from harness.leader_fault import disrupt_leader
from harness.outcome import answer_outcome
from harness.system import System, open_system
from persimmonhall.errors import ErrorKind
from persimmonhall.http.messages import HttpRequest

CONTROL_VMS = 3
NODES = {"suva-cue-1": "suva", "suva-cue-2": "suva", "nadi-cue-1": "nadi"}
SERVICE_MS = 250.0
SLOTS = 16
KEYED_PER_S = 25.0
UNKEYED_PER_S = 25.0
DEADLINE_MS = 1500
FAULTS = ("killed", "frozen")
ROUNDS = 3
BEFORE_S = 2.0
MIN_OUTAGE_S = 5.0
AFTER_S = 1.0
RESULT = Path("results/leader_loss.json")
DOCUMENT = f"""\
service = "cue"
team = "operators"

[[requests]]
path = "/publish"
method = "POST"
worth = "critical"
deadline_ms = {DEADLINE_MS}

[[requests]]
path = "/segments/*"
worth = "standard"
idempotent = true
deadline_ms = {DEADLINE_MS}
"""


@dataclass(frozen=True)
class Sample:
    """Record how a request ended; times in seconds after the fault."""

    key: str
    begin: float
    end: float
    outcome: str


@dataclass(frozen=True)
class Row:
    """Summarise one leader loss; times in seconds after the fault."""

    fault: str
    new_leader_s: float
    keyed: int
    whole: int
    needless: int
    needless_with_leader: int
    last_needless_s: float
    other: dict[str, int]
    most_runs: int
    unkeyed: int
    unkeyed_whole: int


class RequestSender:
    """Send keyed and unkeyed requests at fixed rates to all nodes in rotation."""

    def __init__(self, system: System):
        self._system = system
        self._numbers = itertools.count(1)
        self.fault_at = 0.0
        self.keyed: list[Sample] = []
        self.unkeyed: list[Sample] = []

    async def run(self, seconds: float) -> None:
        """Send for the given time and wait for the last answers."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_at_rate, KEYED_PER_S, self._send_keyed, end)
            nursery.start_soon(
                self._send_at_rate, UNKEYED_PER_S, self._send_unkeyed, end
            )

    async def _send_at_rate(self, per_s: float, send, end: float) -> None:
        at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while at < end:
                await trio.sleep_until(at)
                nursery.start_soon(send, next(self._numbers))
                at += 1 / per_s

    async def _send_keyed(self, number: int) -> None:
        key = f"key-{number}-{self.fault_at:.3f}"
        headers = ((b"host", b"cue"), (b"idempotency-key", key.encode()))
        request = HttpRequest("POST", "/publish", headers, b"segment")
        self.keyed.append(await self._send(number, key, request))

    async def _send_unkeyed(self, number: int) -> None:
        request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))
        self.unkeyed.append(await self._send(number, "", request))

    async def _send(self, number: int, key: str, request: HttpRequest) -> Sample:
        node = list(NODES)[number % len(NODES)]
        begin = trio.current_time()
        match await self._system.send(node, request):
            case Success(answer):
                outcome = answer_outcome(answer)
            case failure:
                outcome = failure.failure().kind.value
        end = trio.current_time()
        return Sample(key, begin - self.fault_at, end - self.fault_at, outcome)


async def measure_loss(system: System, fault: str) -> Row:
    """Kill or freeze the leader under load and summarise the requests."""
    caller = RequestSender(system)
    leader = await system.wait_for_leader()
    caller.fault_at = trio.current_time() + BEFORE_S
    new_leader_s = 0.0

    async def disrupt() -> None:
        nonlocal new_leader_s
        await trio.sleep_until(caller.fault_at)
        lost = await disrupt_leader(system, leader, fault, MIN_OUTAGE_S)
        new_leader_s = lost.new_leader_at - caller.fault_at

    async with trio.open_nursery() as nursery:
        nursery.start_soon(disrupt)
        await caller.run(BEFORE_S + MIN_OUTAGE_S + AFTER_S)
    await system.wait_for_voters(CONTROL_VMS)
    return _make_row(fault, new_leader_s, caller, _count_runs(system))


def _count_runs(system: System) -> Counter:
    runs: Counter = Counter()
    for node in NODES:
        lines = (system.folder / f"{node}.runs").read_text().splitlines()
        runs.update(line.split()[0] for line in lines if line.startswith("key-"))
    return runs


def _make_row(
    fault: str, new_leader_s: float, caller: RequestSender, runs: Counter
) -> Row:
    after = [s for s in caller.keyed if s.end >= 0]
    refused = [s for s in after if s.outcome != "200" and not runs[s.key]]
    needless = [s for s in refused if s.outcome == ErrorKind.NO_QUORUM.value]
    outcomes = Counter(s.outcome for s in after)
    other = {
        name: count
        for name, count in outcomes.items()
        if name not in ("200", ErrorKind.NO_QUORUM.value)
    }
    unkeyed = [s for s in caller.unkeyed if s.end >= 0]
    return Row(
        fault=fault,
        new_leader_s=new_leader_s,
        keyed=len(after),
        whole=outcomes["200"],
        needless=len(needless),
        needless_with_leader=sum(s.end > new_leader_s for s in needless),
        last_needless_s=max((s.end for s in needless), default=0.0),
        other=other,
        most_runs=max(runs.values()),
        unkeyed=len(unkeyed),
        unkeyed_whole=sum(s.outcome == "200" for s in unkeyed),
    )


async def start(system: System) -> None:
    """Start control VMs, nodes and backend servers with slots for all requests."""
    await system.start_controls(CONTROL_VMS)
    await system.start_nodes(NODES)
    for node in NODES:
        run_log = str(system.folder / f"{node}.runs")
        await system.start_backend(
            node, "cue", service_ms=SERVICE_MS, slots=SLOTS, run_log=run_log
        )
    await system.deploy_service("cue", DOCUMENT, len(NODES))


async def run() -> int:
    """Print and save a row per leader loss; fail if a key ran twice."""
    rows = []
    async with open_system() as system:
        await start(system)
        for fault in FAULTS * ROUNDS:
            rows.append(await measure_loss(system, fault))
            print(_format_row(rows[-1]), flush=True)
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps([asdict(row) for row in rows], indent=1))
    return int(any(row.most_runs > 1 for row in rows))


def _format_row(row: Row) -> str:
    return "  ".join(f"{k}={_format_value(v)}" for k, v in asdict(row).items())


def _format_value(value: object) -> object:
    return f"{value:.2f}" if isinstance(value, float) else value


if __name__ == "__main__":
    sys.exit(trio.run(run))
