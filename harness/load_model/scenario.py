"""Read a scenario: services, kinds of request, callers and disturbances."""

from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure, Success

from persimmonhall.table_reader import bounded, read_toml


@dataclass(frozen=True)
class Calls:
    """Describe the nested calls of one run, sequential or concurrent."""

    kind: str
    times: int = bounded(1, min_value=1, max_value=100)
    together: bool = False


@dataclass(frozen=True)
class Kind:
    """Describe one kind of request; a rate of 0 means that only servers send it."""

    name: str
    service: str
    work_ms: float = bounded(min_value=0.0)
    objective_ms: int = bounded(min_value=1)
    deadline_ms: int = bounded(min_value=1)
    priority: int = bounded(0, min_value=0)
    per_s: float = bounded(0.0, min_value=0.0)
    worth: float = 0.0
    late_worth: float = 0.0
    retries: int = 0
    spread: float = 0.5
    may_repeat: bool = True
    # This fraction of runs takes so many times as long, on any server.
    long_share: float = 0.0
    long_times: float = 1.0
    # Time limit of the route, if it is shorter than the deadline.
    timeout_ms: int = 0
    calls: tuple[Calls, ...] = ()


@dataclass(frozen=True)
class Service:
    """Describe the servers of a service, assigned to the zones in rotation."""

    name: str
    servers: int = bounded(min_value=1)
    slots: int = bounded(min_value=1)
    # Factors of the work time, assigned to the servers in rotation.
    speeds: tuple[float, ...] = (1.0,)
    # In each period each server is slower with this probability.
    noise_share: float = 0.0
    noise_times: float = 1.0
    noise_period_s: float = 0.6


@dataclass(frozen=True)
class Disturbance:
    """Describe a temporary burst of load or slowdown of servers."""

    at_s: float
    for_s: float
    burst: float = 1.0
    slow_service: str = ""
    slow_times: float = 1.0
    slow_servers: int = 1
    # Servers of this service reject this fraction of their requests before running.
    shed_service: str = ""
    shed_share: float = 0.0
    # This fraction of callers makes the given number of extra immediate resends.
    eager_share: float = 0.0
    eager_times: int = 0


@dataclass(frozen=True)
class Scenario:
    """Describe a complete load simulation."""

    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    zones: int = bounded(3, min_value=1)
    length_s: float = bounded(20.0, min_value=1.0)
    between_zones_ms: float = 1.4
    to_callers_ms: float = 8.0
    seed: int = 1
    # Whether nodes share the levels that they observe, as the programs do.
    shares_levels: bool = True
    # Callers return to the entry that refused them, which runs on their machine.
    has_local_entries: bool = False
    # Callers belong to an organisation and send its key.
    has_organisation: bool = False
    # The rate of each zone swings by this fraction, the zones one after the other.
    swing: float = 0.0
    swing_period_s: float = 17.0
    swing_shift_s: float = 1.4
    disturbances: tuple[Disturbance, ...] = ()


def load_scenario(path: Path) -> Scenario:
    """Read a TOML file; raise ValueError with the first problem in it."""
    match read_toml(Scenario, path.read_text(encoding="utf-8")):
        case Failure(problems):
            raise ValueError(f"{path}: {problems[0]}")
        case Success(scenario):
            return scenario
