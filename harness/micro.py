"""Measure the time per decision at several sizes and print a table."""

import importlib.util
import json
import random
import statistics
import sys
from dataclasses import asdict
from pathlib import Path
from time import perf_counter_ns

from harness.micro_row import Row
from persimmonhall.admission.core import AdmissionCore
from persimmonhall.admission.messages import Outcome, RequestKind, Start, Ticket
from persimmonhall.document.schema import Worth
from persimmonhall.ids import RootId, TicketId

SIZES = (5, 50, 1000)
ROUNDS = 5000
WARM_UP = 200
SERVICE_S = 0.05
DEADLINE_S = 3600.0
SEED = 1
RESULT = Path("results/micro.json")
ROUTING_MODULE = "harness.micro_routing"


def make_row(name: str, size: int, nanoseconds: list[int]) -> Row:
    """Summarise the times of one kind of decision."""
    cuts = statistics.quantiles(nanoseconds, n=100)
    return Row(name, size, cuts[49] / 1000, cuts[98] / 1000)


def measure_admission() -> list[Row]:
    """Time an arrival and a completion at equal in-flight and queued counts."""
    return [_measure_admission(size) for size in SIZES]


def _measure_admission(size: int) -> Row:
    rng = random.Random(SEED)
    core = AdmissionCore(slots=size)
    running: list[TicketId] = []
    now = 0.0
    times: list[int] = []
    for number in range(2 * size + ROUNDS + WARM_UP):
        ticket = _make_ticket(number, now, rng)
        is_filling = number < 2 * size
        ended = None if is_filling else running.pop(0)
        begin = perf_counter_ns()
        verdicts = core.add_request(ticket, now)
        if ended is not None:
            verdicts += core.finish(ended, Outcome.DONE, now)
        times.append(perf_counter_ns() - begin)
        running += [v.ticket_id for v in verdicts if isinstance(v, Start)]
        now += SERVICE_S / size
    assert core.in_flight == core.queued == size
    return make_row("admission", size, times[2 * size + WARM_UP :])


def _make_ticket(number: int, now: float, rng: random.Random) -> Ticket:
    return Ticket(
        TicketId(number),
        RootId(f"{rng.getrandbits(96):024x}"),
        rng.choice(tuple(Worth)),
        now + DEADLINE_S,
        rng.randrange(4),
        RequestKind("GET /segments"),
    )


def measure_all() -> list[Row]:
    """Run admission measurements, and routing ones if their module is present."""
    rows = measure_admission()
    if importlib.util.find_spec(ROUTING_MODULE) is not None:
        rows += importlib.import_module(ROUTING_MODULE).measure_routing()
    return rows


def main() -> int:
    """Run the measurement, print a table and write it as JSON."""
    rows = measure_all()
    print(f"{'decision':<24} {'size':>6} {'p50 us':>8} {'p99 us':>8}")
    for row in rows:
        print(f"{row.name:<24} {row.size:>6} {row.p50_us:>8.1f} {row.p99_us:>8.1f}")
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
