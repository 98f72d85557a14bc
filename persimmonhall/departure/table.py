"""Store the latest departures of each node as replicated state."""

from collections.abc import Iterator
from itertools import islice
from pathlib import Path

from persimmonhall.departure.messages import (
    DepartureRows,
    RecordDeparture,
    RecordedDeparture,
)
from persimmonhall.ids import InstanceId, NodeName
from persimmonhall.wire.codec import decode, encode, load_schema

SCHEMA = load_schema(Path(__file__).with_name("table.capnp"))
# Only the last instances can still have a report under way.
MAX_DEPARTURES_PER_NODE = 8
MAX_NODES = 4096
ROWS_PER_BLOCK = 1000


class DepartureTable:
    """Apply departures in log order; drop the nodes that changed longest ago."""

    def __init__(self):
        self._nodes: dict[NodeName, dict[InstanceId, RecordedDeparture]] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of stored departures."""
        return self._count

    def departures_of(self, node: NodeName) -> tuple[RecordedDeparture, ...]:
        """Return the latest departures of a node, the newest last."""
        return tuple(self._nodes.get(node, {}).values())

    def record(self, command: RecordDeparture) -> None:
        """Record a departure unless a later one of the instance is known."""
        departure = command.departure
        departures = self._nodes.pop(command.node, {})
        self._count -= len(departures)
        known = departures.pop(departure.instance, departure)
        departures[departure.instance] = max(known, departure, key=_order)
        if len(departures) > MAX_DEPARTURES_PER_NODE:
            del departures[next(iter(departures))]
        self._nodes[command.node] = departures
        self._count += len(departures)
        if len(self._nodes) > MAX_NODES:
            self._count -= len(self._nodes.pop(next(iter(self._nodes))))

    def blocks(self) -> Iterator[bytes]:
        """Encode the table as of the call, some rows in each block."""
        rows = [
            RecordDeparture(node, departure)
            for node, departures in self._nodes.items()
            for departure in departures.values()
        ]
        return _encode_blocks(rows)

    def restore(self, block: bytes) -> None:
        """Add the rows of the next block of an encoded table."""
        for row in decode(SCHEMA.DepartureRows, DepartureRows, block).rows:
            self.record(row)


def _order(departure: RecordedDeparture) -> tuple[int, int]:
    return departure.order


def _encode_blocks(rows: list[RecordDeparture]) -> Iterator[bytes]:
    remaining = iter(rows)
    while block := tuple(islice(remaining, ROWS_PER_BLOCK)):
        yield encode(SCHEMA.DepartureRows, DepartureRows(block))
