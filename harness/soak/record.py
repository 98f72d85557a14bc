"""Record what callers, operators and backend servers see, and check it."""

import math
import zlib
from collections import Counter, defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import trio

MAX_SERVERS = 2
PROBE_ID = "probe"
SOAK_NAME = "the soak itself"
# What a process was until this long ago may still show at it.
CALM_S = 3.0
RESEND_RATIO = 0.2
RESEND_SLACK = 10
# Requests that had already left the gate when it heard that the server drains.
DRAIN_ALLOWANCE_S = 0.3
# Sent in parts between nodes.
LARGE_BYTES = 700_000


class RequestKind(Enum):
    """Define the kinds of requests by their path."""

    READ = "read"
    WRITE = "write"
    CUE = "cue"


SERVICES = {
    RequestKind.READ: "maps",
    RequestKind.WRITE: "maps",
    RequestKind.CUE: "cue",
}


class Credential(NamedTuple):
    """Name the key that a request carries, and whose it is; empty for nobody's."""

    key: str
    organisation: str


@dataclass
class SentRequest:
    """Represent one request of a caller and how it ended."""

    id: str
    kind: RequestKind
    node: str
    sent_at: float
    deadline_s: float
    status: int = 0
    must_not_run: str = ""
    outcome: str = "open"
    # None for the public routes.
    credential: Credential | None = None
    answered_at: float = math.inf


@dataclass(frozen=True)
class Run:
    """Represent the receipt of a request by a server."""

    at: float
    server: str


@dataclass
class SentRelease:
    """Represent one release that was put; each has a number of its own.

    Two may have the same version. `base` is the number of the release it was built on.
    """

    number: int
    version: int
    base: int
    body: dict
    put_at: float
    acked_at: float = math.inf
    refused_with: int = 0

    def find(self, path: str) -> dict | None:
        """Return the route of a path, None if there is none."""
        found = [r for r in self.body["routes"] if path.startswith(r["path_prefix"])]
        return max(found, key=lambda route: len(route["path_prefix"]), default=None)


@dataclass
class Probe:
    """Represent one request that shows which release is in force at a node."""

    id: str
    node: str
    life: int
    path: str
    sent_at: float
    status: int = 0
    answered_at: float = math.inf
    has_ended: bool = False


@dataclass
class Disturbance:
    """Tell from when until when a process or a server was harmed."""

    name: str
    begin: float
    end: float = math.inf
    # It was away all the time, and nothing was done to it but at the begin and end.
    is_absence: bool = False


@dataclass
class Record:
    """Hold the observations of one seed."""

    started_at: float = field(default_factory=trio.current_time)
    requests: dict[str, SentRequest] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    timeline: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    acked_releases: dict[int, float] = field(default_factory=dict)
    release_bases: dict[int, int] = field(default_factory=dict)
    releases: dict[int, SentRelease] = field(default_factory=dict)
    final_release: int = 0
    probes: dict[str, Probe] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    calm_probes: int = 0
    starved: int = 0

    def note(self, text: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append(f"{trio.current_time() - self.started_at:7.3f} {text}")

    def report_violation(self, text: str) -> None:
        """Add a broken promise."""
        self.note(f"VIOLATION {text}")
        self.violations.append(text)

    def is_calm(self, names: Collection[str], since: float, until: float) -> bool:
        """Return whether none of the processes was harmed then or just before."""
        return not any(
            item.name in names and item.begin <= until and item.end >= since - CALM_S
            for item in self.disturbances
        )

    def is_core_stable(self, control: Collection[str], at: float) -> bool:
        """Return whether more than half of the control VMs were well, and are still."""
        absent = 0
        for item in self.disturbances:
            if item.name not in control or item.begin > at:
                continue
            if item.is_absence and item.begin < at - CALM_S and item.end > at:
                absent += 1
            elif item.end >= at - CALM_S:
                return False
        return 2 * absent < len(control)

    def chain(self) -> list[int]:
        """Return the numbers of all releases that were ever accepted, oldest first."""
        numbers = []
        number = self.final_release
        while number:
            numbers.insert(0, number)
            number = self.release_bases.get(number, 0)
        return numbers

    def add_run(self, request_id: str, server: str) -> None:
        """Record that a server has received a request and runs it."""
        self.runs[request_id].append(Run(trio.current_time(), server))

    def check_runs(self) -> None:
        """Check how often and where the requests have run."""
        for request_id, runs in self.runs.items():
            if request_id == PROBE_ID:
                continue
            if request_id in self.probes:
                if len(runs) > MAX_SERVERS:
                    self.report_violation(f"run by too many servers: {request_id}")
                continue
            request = self.requests.get(request_id)
            if request is None:
                self.report_violation(f"{request_id} was run but never sent")
                continue
            seen = " ".join(
                f"{run.server}@{run.at - self.started_at:.3f}" for run in runs
            )
            described = f"{describe(request)}, run by {seen}"
            if request.kind is RequestKind.WRITE and len(runs) > 1:
                self.report_violation(f"run more than once: {described}")
            if len(runs) > MAX_SERVERS:
                self.report_violation(f"run by too many servers: {described}")
            if any(service_of(run.server) != SERVICES[request.kind] for run in runs):
                self.report_violation(f"run by another service: {described}")
            if request.must_not_run:
                self.report_violation(f"{request.must_not_run}, but ran: {described}")

    def check_resends(self) -> None:
        """Check the resends of each service in any window."""
        for kinds in ({RequestKind.READ, RequestKind.WRITE}, {RequestKind.CUE}):
            events = []
            for request in self.requests.values():
                if request.kind in kinds:
                    events.append((request.sent_at, -RESEND_RATIO))
                    events += [(r.at, 1.0) for r in self.runs.get(request.id, ())[1:]]
            services = {SERVICES[kind] for kind in kinds}
            for probe in self.probes.values():
                runs = self.runs.get(probe.id, ())
                if runs and service_of(runs[0].server) in services:
                    events.append((probe.sent_at, -RESEND_RATIO))
                    events += [(run.at, 1.0) for run in runs[1:]]
            excess = worst = 0.0
            for _, change in sorted(events):
                excess = max(0.0, excess + change)
                worst = max(worst, excess)
            if worst > RESEND_SLACK:
                names = sorted(kind.value for kind in kinds)
                self.report_violation(f"{worst:.1f} resends over the ratio of {names}")

    def check_final_release(self, version: int, acked: tuple[int, ...]) -> None:
        """Check that no acknowledged release has been lost."""
        chain = set()
        while version:
            chain.add(version)
            version = self.release_bases.get(version, 0)
        for lost in sorted(set(acked) - chain):
            self.report_violation(f"acknowledged release {lost} was lost")

    def summary(self) -> str:
        """Return the counts of outcomes in one line."""
        outcomes = Counter(request.outcome for request in self.requests.values())
        runs = sum(map(len, self.runs.values()))
        counts = " ".join(f"{k}={v}" for k, v in sorted(outcomes.items()))
        others = f"releases={len(self.acked_releases)} probes={len(self.probes)}"
        others += f" calm={self.calm_probes} starved={self.starved}"
        return f"{counts} runs={runs} {others}"


def service_of(server: str) -> str:
    """Return the service of a server by its name."""
    return server.partition("-")[0]


def describe(request: SentRequest) -> str:
    """Return a request in one phrase."""
    return f"{request.kind.value} {request.id} at {request.node} ({request.outcome})"


def expected_body(request_id: str) -> bytes:
    """Return the only right body of the answer to a request."""
    digest = zlib.crc32(request_id.encode())
    size = 60_000 if digest % 20 == 0 else 20 + digest % 700
    return _fill(request_id, LARGE_BYTES if digest % 61 == 0 else size)


def expected_order(request_id: str) -> bytes:
    """Return the body of a write, large for a few."""
    is_large = zlib.crc32(request_id.encode()) % 53 == 0
    return _fill(request_id, LARGE_BYTES if is_large else 30)


def _fill(request_id: str, size: int) -> bytes:
    text = f"{request_id};".encode()
    return (text * (size // len(text) + 1))[:size]
