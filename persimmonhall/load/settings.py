"""Define the settings file of persimmonhall-load."""

from dataclasses import dataclass

from persimmonhall.address import Address
from persimmonhall.document.schema import METHOD_PATTERN, PATH_PATTERN
from persimmonhall.ids import ServiceName
from persimmonhall.settings import NAME_PATTERN
from persimmonhall.table_reader import bounded


@dataclass(frozen=True)
class LoadSection:
    """Define the targets of the load and the timeout of callers."""

    targets: tuple[Address, ...]
    timeout_ms: int = bounded(3000, min_value=1)
    resends: int = bounded(0, min_value=0, max_value=20)
    connections: int = bounded(200, min_value=1)
    client_ms: float = bounded(0.0, min_value=0.0)
    seed: int = 1


@dataclass(frozen=True)
class PhaseSection:
    """Define a phase and the factor that multiplies all rates in it."""

    name: str = bounded(pattern=NAME_PATTERN)
    seconds: float = bounded(min_value=0.1)
    factor: float = bounded(1.0, min_value=0.0)


@dataclass(frozen=True)
class RequestSection:
    """Describe one kind of request and its rate."""

    name: str = bounded(pattern=NAME_PATTERN)
    service: ServiceName = bounded(pattern=NAME_PATTERN)
    path: str = bounded(pattern=PATH_PATTERN)
    per_second: float = bounded(min_value=0.0)
    method: str = bounded("GET", pattern=METHOD_PATTERN)
    body_bytes: int = bounded(0, min_value=0)
    keyed: bool = False


@dataclass(frozen=True)
class LoadSettings:
    """Represent the settings of persimmonhall-load."""

    load: LoadSection
    phases: tuple[PhaseSection, ...]
    requests: tuple[RequestSection, ...]
