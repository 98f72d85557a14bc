"""Define a release: routes, services and limits that are activated together."""

import math
import re
from dataclasses import dataclass, field, fields
from enum import Enum
from functools import cached_property

from returns.result import Failure, Result, Success

from persimmonhall.ids import (
    OrganisationName,
    ReleaseVersion,
    RouteKey,
    RouteName,
    ServiceName,
)

# It is sent to servers as the value of a header.
ORGANISATION_NAME = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?")
# Longer timeouts are invalid by the platform's contract.
MAX_TIMEOUT_MS = 10 * 60 * 1000
MAX_OBJECTIVE_MS = 2**32 - 1  # the largest one that a call can carry
MAX_VERSION = 2**64 - 1  # the largest one that the log can store
# Larger integers are not exact as floating point, in which times are computed.
MAX_INTEGER = 1 << 53


class RouteKind(Enum):
    """Classify routes by whether their requests may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"
    UPLOAD = "upload"


# Requests of every other kind run at most once.
REPEATABLE_KINDS = (RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)


@dataclass(frozen=True)
class WeightedService:
    """Assign a weight among a route's targets to a service."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Define where requests of one host and path prefix are sent, and how.

    Priority 0 is the most urgent. `latency_objective_ms` is the time within
    which an answer has its full value; `max_servers` is the maximum number of servers
    that one request may be sent to.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    latency_objective_ms: int
    priority: int
    targets: tuple[WeightedService, ...]
    max_servers: int
    # A public route is open to requests without a key.
    is_public: bool = False

    @cached_property
    def key(self) -> RouteKey:
        """Return what identifies the route: hosts are the same in any case."""
        return RouteKey((self.host.lower(), self.path_prefix))

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind in REPEATABLE_KINDS


@dataclass(frozen=True)
class ReleasedService:
    """Describe a service that routes may target."""

    name: ServiceName
    max_connections: int


@dataclass(frozen=True)
class Organisation:
    """Describe a group of callers: its keys, its priority and its quota.

    A priority goes before that of the route. The quota of all nodes together is
    `rate_per_s` requests per second with bursts of `burst` requests; 0 is unlimited.
    """

    name: OrganisationName
    keys: tuple[str, ...] = field(repr=False, metadata={"is_secret": True})
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Limit what a caller may send and how long it may stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class Release:
    """Group everything that is activated together; `base` is the replaced version."""

    version: ReleaseVersion
    base: ReleaseVersion
    routes: tuple[Route, ...]
    services: tuple[ReleasedService, ...]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] = ()


def check_release(release: Release) -> Result[Release, str]:
    """Return the release, or the first problem found in it."""
    for problem in _find_problems(release):
        return Failure(problem)
    return Success(release)


def _find_problems(release: Release):
    known_services = {service.name for service in release.services}
    keys = set()
    if not 0 <= release.base <= MAX_VERSION or release.version > MAX_VERSION:
        yield f"a version is not between 0 and {MAX_VERSION}"
        return
    if release.version <= release.base:
        yield f"version {release.version} is not greater than its base {release.base}"
    for route in release.routes:
        name = f"route {route.name!r}"
        if route.key in keys:
            yield f"{name}: another route has the same host and path prefix"
        keys.add(route.key)
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            yield f"{name}: the path prefix must begin and end with a slash"
        if not 0 < route.timeout_ms <= MAX_TIMEOUT_MS:
            yield f"{name}: timeout of {route.timeout_ms} ms is out of range"
        if not 0 <= route.latency_objective_ms <= MAX_OBJECTIVE_MS:
            objective_ms = route.latency_objective_ms
            yield f"{name}: objective of {objective_ms} ms is out of range"
        if route.max_servers < 1:
            yield f"{name}: the maximum number of servers must be at least 1"
        if max(abs(route.priority), route.max_servers) > MAX_INTEGER:
            yield f"{name}: a number is over {MAX_INTEGER}"
        for target in route.targets:
            if target.service not in known_services:
                yield f"{name}: unknown service {target.service!r}"
            if not 0 <= target.weight < math.inf:
                yield f"{name}: {target.weight} is no target weight"
        if sum(target.weight for target in route.targets) <= 0:
            yield f"{name}: no target has a positive weight"
    for limit in fields(release.limits):
        value = getattr(release.limits, limit.name)
        if not 1 <= value <= MAX_INTEGER:
            yield f"limit {limit.name}: {value} is not between 1 and {MAX_INTEGER}"
    for service in release.services:
        if abs(service.max_connections) > MAX_INTEGER:
            yield f"service {service.name!r}: a number is over {MAX_INTEGER}"
    yield from _find_organisation_problems(release.organisations)


def _find_organisation_problems(organisations: tuple[Organisation, ...]):
    """Yield problems; they name organisations and fields, never a key."""
    names = set()
    owners: dict[str, OrganisationName] = {}
    for organisation in organisations:
        name = f"organisation {organisation.name!r}"
        if ORGANISATION_NAME.fullmatch(organisation.name) is None:
            yield f"{name}: name must be of visible ASCII characters"
        if organisation.name in names:
            yield f"{name}: name is used twice"
        names.add(organisation.name)
        for key in organisation.keys:
            if not key.strip():
                yield f"{name}: keys: a key is empty"
            owner = owners.setdefault(key, organisation.name)
            if owner != organisation.name:
                yield f"{name}: keys: organisation {owner!r} has the same key"
        for field_name in ("rate_per_s", "burst"):
            value = getattr(organisation, field_name)
            if not 0 <= value < math.inf:
                yield f"{name}: {field_name}: {value} is out of range"
