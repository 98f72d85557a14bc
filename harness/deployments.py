"""Describe two production deployments, scaled down to one machine."""

from dataclasses import dataclass, field

SLOT_SCALE_DIVISOR = 10


@dataclass(frozen=True)
class RequestTraffic:
    """Describe one kind of request to a service and its normal rate."""

    name: str
    method: str
    path: str
    worth: str
    per_second: float
    idempotent: bool = True


@dataclass(frozen=True)
class Service:
    """Describe the servers of one service; slots and connections are per server."""

    name: str
    servers: int
    slots: int
    connections: int
    service_ms: float
    calls: tuple[str, ...] = ()
    requests: tuple[RequestTraffic, ...] = ()

    @property
    def scaled_slots(self) -> int:
        """Return the slots per server, scaled down to one machine."""
        return max(1, round(self.slots / SLOT_SCALE_DIVISOR))

    @property
    def capacity_per_s(self) -> float:
        """Return how many requests per second all servers together can run."""
        return self.servers * self.scaled_slots * 1000 / self.service_ms


@dataclass(frozen=True)
class Deployment:
    """Describe a deployment: zones, services and the deepest called service."""

    name: str
    region: str
    zones: tuple[str, ...]
    client_ms: float
    between_zones_ms: float
    deadline_ms: int
    deepest_service: str
    lost_zone: str
    services: tuple[Service, ...] = field(default=())
    retries: int = 1


VANUA = Deployment(
    name="vanua",
    region="viti",
    zones=("suva", "nadi", "lautoka", "labasa"),
    client_ms=3.0,
    between_zones_ms=1.0,
    deadline_ms=1500,
    deepest_service="glyph",
    lost_zone="labasa",
    services=(
        Service(
            "maps",
            servers=7,
            slots=35,
            connections=300,
            service_ms=250.0,
            calls=("glyph/internal/symbols",),
            requests=(
                RequestTraffic("chart", "GET", "/charts/1", "customer", 20.0),
                RequestTraffic("preview", "GET", "/previews/1", "standard", 10.0),
            ),
        ),
        Service(
            "cue",
            servers=4,
            slots=60,
            connections=450,
            service_ms=250.0,
            requests=(
                RequestTraffic("warning", "POST", "/warnings", "critical", 10.0, False),
                RequestTraffic("publish", "POST", "/segments", "customer", 15.0, False),
                RequestTraffic("archive", "GET", "/archive/1", "internal", 35.0),
            ),
        ),
        Service(
            "reels",
            servers=4,
            slots=60,
            connections=450,
            service_ms=400.0,
            requests=(RequestTraffic("pack", "GET", "/packs/1", "standard", 15.0),),
        ),
        Service(
            "glyph",
            servers=4,
            slots=15,
            connections=200,
            service_ms=100.0,
            requests=(
                RequestTraffic("lookup", "GET", "/internal/1", "internal", 20.0),
            ),
        ),
    ),
)

HAKEPUU = Deployment(
    name="hakepuu",
    region="fi-south",
    zones=("espoo", "lahti", "turku"),
    client_ms=8.0,
    between_zones_ms=1.5,
    deadline_ms=1500,
    deepest_service="kuljetus",
    lost_zone="turku",
    services=(
        Service(
            "tarjonta",
            servers=4,
            slots=230,
            connections=1500,
            service_ms=900.0,
            requests=(
                RequestTraffic("offers", "GET", "/offers/1", "customer", 30.0),
                RequestTraffic("prices", "GET", "/internal/prices", "internal", 40.0),
            ),
        ),
        Service(
            "tilaus",
            servers=3,
            slots=300,
            connections=1900,
            service_ms=900.0,
            requests=(
                RequestTraffic("booking", "POST", "/bookings", "critical", 15.0, False),
                RequestTraffic("order", "POST", "/orders", "customer", 15.0, False),
                RequestTraffic("report", "GET", "/internal/1", "internal", 40.0),
            ),
        ),
        Service(
            "asiakirja",
            servers=3,
            slots=300,
            connections=1900,
            service_ms=900.0,
            requests=(
                RequestTraffic(
                    "bundle", "GET", "/bundles?bytes=50000", "standard", 20.0
                ),
            ),
        ),
        Service(
            "kuljetus",
            servers=3,
            slots=35,
            connections=300,
            service_ms=150.0,
            requests=(
                RequestTraffic("arrivals", "GET", "/arrivals", "standard", 40.0),
            ),
        ),
    ),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (VANUA, HAKEPUU)}


def document_text(service: Service, deadline_ms: int, retries: int) -> str:
    """Return the document of a service as TOML."""
    lines = [f'service = "{service.name}"', 'team = "operators"']
    for request in service.requests:
        lines += [
            "[[requests]]",
            f'path = "{request.path.partition("?")[0]}"',
            f'method = "{request.method}"',
            f'worth = "{request.worth}"',
            f"idempotent = {str(request.idempotent).lower()}",
            f"deadline_ms = {deadline_ms}",
            f"retries = {retries}",
        ]
    lines += [
        "[[requests]]",
        'path = "/*"',
        'worth = "internal"',
        "idempotent = true",
        f"deadline_ms = {deadline_ms}",
        f"retries = {retries}",
    ]
    return "\n".join(lines) + "\n"
