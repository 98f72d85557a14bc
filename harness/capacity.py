"""Measure how a node's memory and CPU time grow, with a least squares fit."""

import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from persimmonhall.document.active import ActiveDocuments
from persimmonhall.document.messages import HeldDocument
from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.membership.messages import Member, MemberState
from persimmonhall.membership.table import MemberTable

RESULT = Path("results/capacity.json")
MEMBER_COUNTS = (100, 300, 1000)
DOCUMENT_COUNTS = (20, 60, 190)
SERVICE_COUNT = 190
DOCUMENT = "".join(
    [
        'service = "{service}"\nteam = "operators"\n',
        *(
            f'[[requests]]\npath = "/part{n}/*"\nworth = "standard"\n'
            for n in range(10)
        ),
    ]
)


@dataclass(frozen=True)
class Slope:
    """Store points and their line of best fit, in bytes or seconds."""

    name: str
    points: dict[int, float]
    per_item: float
    base: float


def make_member(number: int) -> Member:
    """Build the member record of one node."""
    return Member(
        node=NodeName(f"zone-service-{number}"),
        zone=ZoneName(f"zone-{number % 8}"),
        region="region",
        frames=f"10.0.{number // 250}.{number % 250}:7000",
        incarnation=1,
        version=1,
        service=ServiceName(f"service-{number % SERVICE_COUNT}"),
        slots=30,
        state=MemberState.READY,
    )


def fill_members(count: int) -> MemberTable:
    """Build a member table with the given number of nodes."""
    table = MemberTable(make_member(0))
    for number in range(1, count):
        table.put(replace(make_member(number)))
    return table


def fill_documents(count: int) -> ActiveDocuments:
    """Build the active documents of the given number of services."""
    documents = ActiveDocuments()
    for number in range(count):
        service = ServiceName(f"service-{number}")
        text = DOCUMENT.replace("{service}", service)
        held = HeldDocument(service, 1, text, "operators", "operators", "c", number)
        documents.apply(held)
    return documents


def measure_bytes(make: Callable[[int], object], count: int) -> float:
    """Return the bytes that an object with the given number of items takes."""
    tracemalloc.start()
    thing = make(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del thing
    return size


def measure_cpu_s(make: Callable[[int], object], count: int) -> float:
    """Return the CPU seconds that making an object takes."""
    begin = time.process_time()
    make(count)
    return time.process_time() - begin


def fit_line(name: str, points: dict[int, float]) -> Slope:
    """Fit a line through points by least squares."""
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    sum_squares_x = sum((x - mean_x) ** 2 for x in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points.items()) / sum_squares_x
    return Slope(name, points, slope, mean_y - slope * mean_x)


def measure_slopes() -> list[Slope]:
    """Measure the slope of each kind of state."""
    kinds = {
        "member": (fill_members, MEMBER_COUNTS),
        "document of 10 requests": (fill_documents, DOCUMENT_COUNTS),
    }
    slopes = []
    for name, (make, counts) in kinds.items():
        for unit, measure in (("bytes", measure_bytes), ("seconds", measure_cpu_s)):
            points = {count: measure(make, count) for count in counts}
            slopes.append(fit_line(f"{name}, {unit}", points))
    return slopes


def main() -> int:
    """Print the slopes and write them as JSON."""
    slopes = measure_slopes()
    for slope in slopes:
        points = " ".join(f"{n}:{value:.6g}" for n, value in slope.points.items())
        print(f"{slope.name:<34} {slope.per_item:>12.6g} each  ({points})")
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps([asdict(slope) for slope in slopes], indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
