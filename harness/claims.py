"""Measure the cost of claims: call latency, and the table of a control VM."""

import json
import sys
import time
import tracemalloc
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import trio

from harness.raw_caller import measure_latencies, new_histogram
from harness.system import System, open_system
from persimmonhall.ids import (
    ClaimId,
    Fingerprint,
    IdempotencyKey,
    NodeName,
    ServiceName,
)
from persimmonhall.once.claims import ClaimTable
from persimmonhall.once.messages import (
    ClaimKey,
    ClaimState,
    ElapseTime,
    FinishKey,
    KeptAnswer,
)

IN_FLIGHT_COUNTS = (1, 16)
CALLS_PER_ROUND = 600
WARM_UP_CALLS = 100
ROUNDS = 3
TABLE_SIZES = (1_000, 10_000, 50_000)
ANSWER_BYTES = 200
HOUR_MS = 3_600_000
RESULT = Path("results/claims.json")
REQUESTS = {
    "unclaimed": b"GET /segments/7 HTTP/1.1\r\nHost: cue\r\n\r\n",
    "claimed": b"POST /publish HTTP/1.1\r\nHost: cue\r\nContent-Length: 0\r\n\r\n",
}
DOCUMENT = """\
service = "cue"
team = "operators"

[[requests]]
path = "/segments/*"
idempotent = true
deadline_ms = 20000

[[requests]]
path = "/publish"
method = "POST"
deadline_ms = 20000
"""


@dataclass(frozen=True)
class CallRow:
    """Store the latency of calls with or without a claim, in milliseconds."""

    way: str
    in_flight: int
    p50_ms: float
    p99_ms: float


@dataclass(frozen=True)
class TableRow:
    """Store the costs of a claim table of one size."""

    claims: int
    bytes_per_claim: int
    claim_us: float
    finish_us: float
    snapshot_ms: float
    expire_ms: float


async def measure_calls(system: System) -> list[CallRow]:
    """Call the same node with and without claims, alternately."""
    histograms = {
        (way, count): new_histogram() for count in IN_FLIGHT_COUNTS for way in REQUESTS
    }
    address = system.nodes["suva-cue-1"].addresses["callers"]
    for count in IN_FLIGHT_COUNTS:
        for request in REQUESTS.values():
            await measure_latencies(address, request, count, WARM_UP_CALLS)
        for _ in range(ROUNDS):
            for way, request in REQUESTS.items():
                round_ = await measure_latencies(
                    address, request, count, CALLS_PER_ROUND
                )
                histograms[way, count].add(round_)
    return [
        CallRow(
            way,
            count,
            histogram.get_value_at_percentile(50) / 1000,
            histogram.get_value_at_percentile(99) / 1000,
        )
        for (way, count), histogram in histograms.items()
    ]


def measure_table(size: int) -> TableRow:
    """Fill a claim table, take a snapshot and expire all claims."""
    table = ClaimTable()
    claims = [make_claim(number) for number in range(size)]
    finishes = [make_finish(claim) for claim in claims]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for claim, finish in zip(claims, finishes, strict=True):
        table.claim(claim)
        table.finish(replace(finish, answer=_make_answer()))
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    timed = ClaimTable()
    claim_s = _measure_s(lambda: [timed.claim(claim) for claim in claims])
    finish_s = _measure_s(lambda: [timed.finish(finish) for finish in finishes])
    snapshot_s = _measure_s(lambda: [*timed.blocks()])
    expire_s = _measure_s(lambda: timed.advance_clock(ElapseTime(HOUR_MS)))
    assert timed.count == 0
    return TableRow(
        claims=size,
        bytes_per_claim=memory // size,
        claim_us=claim_s / size * 1e6,
        finish_us=finish_s / size * 1e6,
        snapshot_ms=snapshot_s * 1000,
        expire_ms=expire_s * 1000,
    )


def _measure_s(work) -> float:
    started = time.perf_counter()
    work()
    return time.perf_counter() - started


def make_claim(number: int) -> ClaimKey:
    """Build the command that claims a key."""
    return ClaimKey(
        claim=ClaimId(f"suva-cue-1/1796336209451/{number}"),
        service=ServiceName("cue"),
        key=IdempotencyKey(f"caller:7f3c5df9-13e8-4f3c-9df9-{number:012}"),
        fingerprint=Fingerprint(number),
        holder=NodeName(f"suva-cue-{number % 10}"),
        incarnation=1796336209451,
        keep_ms=HOUR_MS,
    )


def make_finish(claim: ClaimKey) -> FinishKey:
    """Build the command that completes a claim."""
    return FinishKey(
        claim.claim, claim.service, claim.key, ClaimState.FINISHED, _make_answer()
    )


def _make_answer() -> KeptAnswer:
    body = bytes(ANSWER_BYTES)
    return KeptAnswer(200, (b"content-length", b"200"), body, ANSWER_BYTES, 1, True)


async def run() -> int:
    """Run the measurement, print it and write it as JSON."""
    async with open_system() as system:
        await system.start_control()
        await system.start_node("suva-cue-1", "suva")
        await system.start_backend("suva-cue-1", "cue", service_ms=0.0, slots=64)
        await system.put_document("cue", DOCUMENT)
        await system.wait_for_document("cue", 1)
        await system.wait_for_members("cue", 1)
        calls = await measure_calls(system)
    tables = [measure_table(size) for size in TABLE_SIZES]
    for row in (*calls, *tables):
        print("  ".join(f"{k}={_format_value(v)}" for k, v in asdict(row).items()))
    RESULT.parent.mkdir(exist_ok=True)
    rows = {"calls": [asdict(r) for r in calls], "tables": [asdict(r) for r in tables]}
    RESULT.write_text(json.dumps(rows, indent=1))
    return 0


def _format_value(value: object) -> object:
    return f"{value:.3f}" if isinstance(value, float) else value


if __name__ == "__main__":
    sys.exit(trio.run(run))
