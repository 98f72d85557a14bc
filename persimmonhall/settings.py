"""Define the settings file of each program."""

from dataclasses import dataclass, field, replace
from pathlib import Path

from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.ids import NodeName, ServiceName, ZoneName
from persimmonhall.table_reader import T, bounded, read_toml
from persimmonhall.wire.answer_memory import DEFAULT_LIMIT_BYTES

NAME_PATTERN = r"[a-z0-9][a-z0-9.-]{0,62}"


@dataclass(frozen=True)
class NodeSection:
    """Define the addresses that a node listens on and its zone."""

    name: NodeName = bounded(pattern=NAME_PATTERN)
    zone: ZoneName = bounded(pattern=NAME_PATTERN)
    callers: Address
    local: Address
    frames: Address
    advertise: Address | None = None
    region: str = bounded("default", pattern=NAME_PATTERN)
    seed: int = 0
    drain_seconds: float = bounded(30.0, min_value=0.0, max_value=600.0)


@dataclass(frozen=True)
class PeersSection:
    """Define the processes that a node contacts first."""

    control: tuple[Address, ...]
    seeds: tuple[Address, ...] = ()
    # Port for frames of the control VMs if `control` has the addresses of their API.
    frames_port: int = bounded(0, min_value=0, max_value=65535)


@dataclass(frozen=True)
class ReleasesSection:
    """Define how a node serves the routes of releases.

    The resend settings hold for all nodes together: a service gets at most `ratio`
    times its requests plus `slack` resends in any window.
    """

    ready: Address
    service: ServiceName = ServiceName("")
    backend: Address | None = None
    metrics: Address | None = None
    resend_ratio: float = bounded(0.2, min_value=0.0, max_value=1.0)
    resend_slack: float = bounded(50.0, min_value=0.0)
    grace_s: float = bounded(6.0, min_value=0.5, max_value=600.0)


@dataclass(frozen=True)
class OrganisationsSection:
    """Define how a node enforces the keys and quotas of organisations.

    A key that a release has dropped opens nothing `withdrawal_s` after that release
    was accepted, on any node; with 0 a node without contact to the control VMs goes
    on with its newest release. In any window of `quota_window_s` an organisation runs
    at most `1 + quota_overshoot` times its quota plus `quota_slack` requests.
    """

    withdrawal_s: float = bounded(0.0, min_value=0.0, max_value=600.0)
    quota_window_s: float = bounded(5.0, min_value=0.1, max_value=600.0)
    quota_overshoot: float = bounded(0.1, min_value=0.0, max_value=1.0)
    quota_slack: float = bounded(20.0, min_value=0.0)


@dataclass(frozen=True)
class LimitsSection:
    """Define the size limits of a node, in bytes."""

    max_header_bytes: int = bounded(32 * 1024, min_value=1024, max_value=1024 * 1024)
    max_body_bytes: int = bounded(
        16 * 1024 * 1024, min_value=0, max_value=64 * 1024 * 1024
    )
    max_answer_bytes: int = bounded(
        32 * 1024 * 1024, min_value=1, max_value=64 * 1024 * 1024
    )
    held_answers_bytes: int = bounded(DEFAULT_LIMIT_BYTES, min_value=1024 * 1024)


@dataclass(frozen=True)
class NodeSettings:
    """Represent the settings of persimmonhall-node."""

    node: NodeSection
    peers: PeersSection
    limits: LimitsSection = field(default_factory=LimitsSection)
    releases: ReleasesSection | None = None
    organisations: OrganisationsSection = field(default_factory=OrganisationsSection)


@dataclass(frozen=True)
class ControlSection:
    """Define the addresses that a control VM listens on and its data folder."""

    name: NodeName = bounded(pattern=NAME_PATTERN)
    zone: ZoneName = bounded(pattern=NAME_PATTERN)
    frames: Address
    data_folder: str
    admin: Address | None = None
    releases: Address | None = None
    found: bool = False
    # Remove a voter that does not respond after a new one joined. Only for deployments
    # in which a control VM with a new address replaces a lost one.
    retire_replaced: bool = False
    frames_port: int = bounded(0, min_value=0, max_value=65535)
    peers: tuple[Address, ...] = ()
    advertise: Address | None = None
    snapshot_entries: int = bounded(5000, min_value=100, max_value=100_000)
    seed: int = 0


@dataclass(frozen=True)
class TeamSection:
    """Define a team and the token that authenticates it."""

    name: str = bounded(pattern=NAME_PATTERN)
    token: str = bounded(pattern=r".{8,}")
    operator: bool = False


@dataclass(frozen=True)
class ControlSettings:
    """Represent the settings of persimmonhall-control."""

    control: ControlSection
    teams: tuple[TeamSection, ...] = ()


@dataclass(frozen=True)
class OperatorSection:
    """Define the control VMs that an operator contacts and the token."""

    control: tuple[Address, ...]
    token: str = ""


@dataclass(frozen=True)
class OperatorSettings:
    """Represent the settings of persimmonhall."""

    operator: OperatorSection


def with_frames_port(control_section: ControlSection) -> ControlSection:
    """Replace the API port of each peer by the port for frames, if one is set."""
    if not control_section.frames_port:
        return control_section
    peers = tuple(
        Address(peer.host, control_section.frames_port)
        for peer in control_section.peers
    )
    return replace(control_section, peers=peers)


def load_settings(cls: type[T], path: Path) -> Result[T, str]:
    """Read a settings file or return a one-line error."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(f"{path}: cannot be read: {error}")
    match read_toml(cls, text):
        case Success(settings):
            return Success(settings)
        case Failure(problems):
            other_problems = (
                f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
            )
            return Failure(f"{path}: {problems[0]}{other_problems}")
