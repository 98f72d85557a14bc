"""Measure how a node's state and work grow, point by point, with a line of best fit."""

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
MEMBER_POINTS = (100, 300, 1000)
DOCUMENT_POINTS = (20, 60, 190)
SERVICES = 190
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
    """Hold points and their line of best fit; bytes and seconds."""

    name: str
    points: dict[int, float]
    per_item: float
    base: float


def make_member(number: int) -> Member:
    """Make the record of one node."""
    return Member(
        node=NodeName(f"zone-service-{number}"),
        zone=ZoneName(f"zone-{number % 8}"),
        region="region",
        frames=f"10.0.{number // 250}.{number % 250}:7000",
        incarnation=1,
        version=1,
        service=ServiceName(f"service-{number % SERVICES}"),
        slots=30,
        state=MemberState.READY,
    )


def fill_members(count: int) -> MemberTable:
    """Make a table that knows so many nodes."""
    table = MemberTable(make_member(0))
    for number in range(1, count):
        table.put(replace(make_member(number)))
    return table


def fill_documents(count: int) -> ActiveDocuments:
    """Put so many documents in force."""
    documents = ActiveDocuments()
    for number in range(count):
        service = ServiceName(f"service-{number}")
        text = DOCUMENT.replace("{service}", service)
        held = HeldDocument(service, 1, text, "operators", "operators", "c", number)
        documents.apply(held)
    return documents


def memory_of(make: Callable[[int], object], count: int) -> float:
    """Return the bytes that making a thing of so many items takes."""
    tracemalloc.start()
    thing = make(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del thing
    return size


def seconds_of(make: Callable[[int], object], count: int) -> float:
    """Return the processor seconds that making a thing takes."""
    begin = time.process_time()
    make(count)
    return time.process_time() - begin


def fit(name: str, points: dict[int, float]) -> Slope:
    """Fit a line through points by least squares."""
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    spread = sum((x - mean_x) ** 2 for x in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points.items()) / spread
    return Slope(name, points, slope, mean_y - slope * mean_x)


def measure_slopes() -> list[Slope]:
    """Measure every slope."""
    kinds = {
        "member": (fill_members, MEMBER_POINTS),
        "document of 10 requests": (fill_documents, DOCUMENT_POINTS),
    }
    slopes = []
    for name, (make, counts) in kinds.items():
        for unit, measure in (("bytes", memory_of), ("seconds", seconds_of)):
            points = {count: measure(make, count) for count in counts}
            slopes.append(fit(f"{name}, {unit}", points))
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
