"""Define the messages and rows that concern departures."""

from dataclasses import dataclass

from persimmonhall.ids import InstanceId, NodeName


@dataclass(frozen=True)
class RecordedDeparture:
    """Name the last report up to which an instance is known to leave its node."""

    instance: InstanceId
    born_ms: int
    sequence: int

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which reports and departures of an instance are ordered."""
        return (self.born_ms, self.sequence)


@dataclass(frozen=True)
class RecordDeparture:
    """Record a departure; also a command of the log, which may be applied again."""

    node: NodeName
    departure: RecordedDeparture


@dataclass(frozen=True)
class DepartureRecorded:
    """Answer that a majority of the control VMs has the departure on disk."""


@dataclass(frozen=True)
class ListDepartures:
    """Request the departures of a node that were recorded before the request."""

    node: NodeName


@dataclass(frozen=True)
class Departures:
    """Answer with the latest departures of a node."""

    items: tuple[RecordedDeparture, ...]


@dataclass(frozen=True)
class DepartureRows:
    """Represent some rows of the departure table in a snapshot."""

    rows: tuple[RecordDeparture, ...]
