"""Make releases as operators do: each one changes the routes of its base."""

import json
import random
from enum import Enum

HOST = "maps.example"
SERVICES = ("maps", "cue")
MOVED = ("/moved/1/", "/moved/2/", "/moved/3/")
SPLIT = "/split/"
TIMED = "/timed/"
# Paths below are routed by themselves only while a release has such a route.
ADDED, ONLY, VERSION = "/added/", "/only/", "/r"
WEIGHTS = ((9, 1), (3, 1), (1, 1), (1, 4))
TIMEOUTS_MS = (300, 700, 1200)
PRIORITY = 10
# Some go before or after all that there were, others have a priority of their own.
ADDED_PRIORITIES = (0, 4, PRIORITY, 15, 40)
MAX_ADDED = 4
MAX_TIMEOUT_MS = 10 * 60 * 1000


class Flaw(Enum):
    """Define why a release is invalid."""

    UNKNOWN_SERVICE = "a route names an unknown service"
    UNKNOWN_PART = "a route names an unknown service beside a known one"
    TIMEOUT = "a timeout is over ten minutes"
    NO_SERVERS = "a route has no servers to try"
    KIND = "a route is of an unknown kind"
    SAME_VERSION = "its version is the current one"
    OLDER_VERSION = "its version is older than the current one"
    CUT_OFF = "it ends early"
    NO_ROUTES = "a part is missing"


def make_release(
    number: int, version: int, base: dict | None, organisations: list, rng
) -> dict:
    """Change some routes of a release; two routes name its number and its version."""
    routes = first_routes() if base is None else _change(base["routes"], number, rng)
    routes.append(_make_route("only", f"{ONLY}{number}/", "maps"))
    routes.append(_make_route("version", f"{VERSION}{version}/", "maps"))
    limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {
        "version": version,
        "base": 0 if base is None else base["version"],
        "routes": routes,
        "services": [{"name": name, "max_connections": 100} for name in SERVICES],
        "limits": limits,
        "organisations": organisations,
    }


def first_routes() -> list[dict]:
    """Return the routes of the first release."""
    routes = []
    for name, kind, service in (
        ("read", "idempotent", "maps"),
        ("write", "non_idempotent", "maps"),
        ("cue", "idempotent", "cue"),
    ):
        routes.append(_make_route(name, f"/{name}/", service, kind))
        keyed = _make_route(f"keyed-{name}", f"/keyed/{name}/", service, kind)
        routes.append(keyed | {"is_public": False})
    routes += [_make_route("moved", prefix, "maps") for prefix in MOVED]
    split = _make_route("split", SPLIT, "maps")
    routes.append(split | {"targets": _targets(WEIGHTS[1])})
    timed = _make_route("timed", TIMED, "maps", "non_idempotent")
    routes.append(timed | {"timeout_ms": TIMEOUTS_MS[1]})
    return routes


def number_of(body: dict) -> int:
    """Return the number of a release, 0 if it has none."""
    numbers = [
        int(route["path_prefix"].split("/")[-2])
        for route in body.get("routes", ())
        if route["path_prefix"].startswith(ONLY)
    ]
    return numbers[0] if len(numbers) == 1 else 0


def encode_flawed(body: dict, base: dict, flaw: Flaw, rng: random.Random) -> bytes:
    """Make a release invalid and encode it."""
    route = rng.choice(body["routes"])
    match flaw:
        case Flaw.UNKNOWN_SERVICE:
            route["targets"] = [{"service": "nowhere", "weight": 1}]
        case Flaw.UNKNOWN_PART:
            parts = [{"service": "maps", "weight": 9}]
            route["targets"] = [*parts, {"service": "nowhere", "weight": 1}]
        case Flaw.TIMEOUT:
            route["timeout_ms"] = MAX_TIMEOUT_MS + 1
        case Flaw.NO_SERVERS:
            route["max_servers"] = 0
        case Flaw.KIND:
            route["kind"] = "sometimes"
        case Flaw.SAME_VERSION:
            body["version"] = base["version"]
        case Flaw.OLDER_VERSION:
            body["version"] = rng.randrange(base["version"])
        case Flaw.NO_ROUTES:
            del body[rng.choice(("routes", "services"))]
    data = json.dumps(body).encode()
    if flaw is Flaw.CUT_OFF:
        data = data[: rng.randrange(1, len(data))]
    return data


def _change(routes: list[dict], number: int, rng: random.Random) -> list[dict]:
    routes = [
        dict(route) for route in routes if route["name"] not in ("only", "version")
    ]
    for _ in range(rng.choice((1, 1, 2, 3))):
        by_prefix = {route["path_prefix"]: route for route in routes}
        added = [r for r in routes if r["name"].startswith("added")]
        match rng.choice(("move", "move", "split", "timeout", "add", "remove")):
            case "move":
                route = by_prefix[rng.choice(MOVED)]
                service = route["targets"][0]["service"]
                other = SERVICES[1 - SERVICES.index(service)]
                route["targets"] = [{"service": other, "weight": 1}]
            case "split":
                by_prefix[SPLIT]["targets"] = _targets(rng.choice(WEIGHTS))
            case "timeout":
                by_prefix[TIMED]["timeout_ms"] = rng.choice(TIMEOUTS_MS)
            case "add" if len(added) < MAX_ADDED:
                # Some take a part of the paths of another route.
                parent = rng.choice((ADDED, ADDED, MOVED[0]))
                prefix = f"{parent}{number}-{len(routes)}/"
                route = _make_route(f"added-{number}", prefix, rng.choice(SERVICES))
                routes.append(route | {"priority": rng.choice(ADDED_PRIORITIES)})
            case "remove" if added:
                routes.remove(rng.choice(added))
    return routes


def _targets(weights: tuple[int, ...]) -> list[dict]:
    pairs = zip(SERVICES, weights, strict=True)
    return [{"service": service, "weight": weight} for service, weight in pairs]


def _make_route(name: str, prefix: str, service: str, kind="idempotent") -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "latency_objective_ms": 1000,
        "priority": PRIORITY,
        "targets": [{"service": service, "weight": 1}],
        "max_servers": 2,
        "is_public": True,
    }
