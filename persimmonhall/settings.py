"""Define the settings file of each program."""

from dataclasses import dataclass, field, replace
from pathlib import Path

from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.checked import T, bounded, read_toml
from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.wire.answer_memory import DEFAULT_LIMIT_BYTES

NAME_PATTERN = r"[a-z0-9][a-z0-9.-]{0,62}"


@dataclass(frozen=True)
class NodeSection:
    """Say where a node listens and which zone it is in."""

    name: NodeName = bounded(pattern=NAME_PATTERN)
    zone: ZoneName = bounded(pattern=NAME_PATTERN)
    callers: Address
    local: Address
    frames: Address
    advertise: Address | None = None
    region: str = bounded("default", pattern=NAME_PATTERN)
    seed: int = 0
    drain_seconds: float = bounded(30.0, least=0.0, most=600.0)


@dataclass(frozen=True)
class PeersSection:
    """Name the processes a node speaks to first."""

    control: tuple[Address, ...]
    seeds: tuple[Address, ...] = ()
    # Where the addresses of control name their API: the port of their frames.
    frames_port: int = bounded(0, least=0, most=65535)


@dataclass(frozen=True)
class ReleasesSection:
    """Say how a node serves the routes of releases.

    The resend settings hold for all nodes together: a service gets at most `ratio`
    times its requests plus `slack` resends in any window.
    """

    ready: Address
    service: ServiceName = ServiceName("")
    backend: Address | None = None
    metrics: Address | None = None
    resend_ratio: float = bounded(0.2, least=0.0, most=1.0)
    resend_slack: float = bounded(50.0, least=0.0)
    grace_s: float = bounded(6.0, least=0.5, most=600.0)


@dataclass(frozen=True)
class LimitsSection:
    """Bound what a node accepts."""

    max_header_bytes: int = bounded(32 * 1024, least=1024, most=1024 * 1024)
    max_body_bytes: int = bounded(16 * 1024 * 1024, least=0, most=64 * 1024 * 1024)
    max_answer_bytes: int = bounded(32 * 1024 * 1024, least=1, most=64 * 1024 * 1024)
    held_answers_bytes: int = bounded(DEFAULT_LIMIT_BYTES, least=1024 * 1024)


@dataclass(frozen=True)
class NodeSettings:
    """Hold the settings of persimmonhall-node."""

    node: NodeSection
    peers: PeersSection
    limits: LimitsSection = field(default_factory=LimitsSection)
    releases: ReleasesSection | None = None


@dataclass(frozen=True)
class ControlSection:
    """Say where a control VM listens and keeps its data."""

    name: NodeName = bounded(pattern=NAME_PATTERN)
    zone: ZoneName = bounded(pattern=NAME_PATTERN)
    frames: Address
    data_folder: str
    admin: Address | None = None
    releases: Address | None = None
    found: bool = False
    # Remove the voter that is silent when a new one has joined. Only where a control VM
    # that comes under a new address stands for one that is gone.
    retire_replaced: bool = False
    frames_port: int = bounded(0, least=0, most=65535)
    peers: tuple[Address, ...] = ()
    advertise: Address | None = None
    snapshot_entries: int = bounded(5000, least=100, most=100_000)
    seed: int = 0


@dataclass(frozen=True)
class TeamSection:
    """Name a team and the token that proves it."""

    name: str = bounded(pattern=NAME_PATTERN)
    token: str = bounded(pattern=r".{8,}")
    operator: bool = False


@dataclass(frozen=True)
class ControlSettings:
    """Hold the settings of persimmonhall-control."""

    control: ControlSection
    teams: tuple[TeamSection, ...] = ()


@dataclass(frozen=True)
class OperatorSection:
    """Say which control VMs an operator speaks to and with which token."""

    control: tuple[Address, ...]
    token: str = ""


@dataclass(frozen=True)
class OperatorSettings:
    """Hold the settings of persimmonhall."""

    operator: OperatorSection


def with_frames_port(own: ControlSection) -> ControlSection:
    """Return the settings with the frames of peers, whose API has another port."""
    if not own.frames_port:
        return own
    peers = tuple(Address(peer.host, own.frames_port) for peer in own.peers)
    return replace(own, peers=peers)


def load_settings(cls: type[T], path: Path) -> Result[T, str]:
    """Read a settings file or return one line on what is wrong."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(f"{path}: cannot be read: {error}")
    match read_toml(cls, text):
        case Success(settings):
            return Success(settings)
        case Failure(problems):
            more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
            return Failure(f"{path}: {problems[0]}{more}")
