"""Convert the platform's calls and bodies to the product's types."""

import json
from dataclasses import replace
from urllib.parse import parse_qs, urlsplit

from returns.result import Failure, Result

from persimmonhall.dialect import (
    ControlCall,
    InstanceReport,
    InstanceState,
    LeaveCall,
    MalformedCall,
    NodeCall,
    PutReleaseCall,
    ReadReleaseCall,
    ReportCall,
    json_digest,
    read_address,
)
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import InstanceId, OrganisationName, ReleaseDigest
from persimmonhall.platform.names import (
    CALLS_PATH,
    HEADER_NAMES,
    LEAVE_CALL,
    PUT_RELEASE_CALL,
    READ_RELEASE_CALL,
    READY_PATH,
    REPORT_CALL,
)
from persimmonhall.release.schema import (
    CallerLimits,
    Organisation,
    Release,
    ReleasedService,
    Route,
    RouteKind,
    WeightedService,
    check_release,
)

VERSION_RADIX = 16  # versions are written as eight hexadecimal digits
# What other values than the expected ones raise: infinity has no integer value, and
# deeply nested JSON exceeds the stack.
UNREADABLE_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class PlatformDialect:
    """Implement the platform's protocol."""

    headers = HEADER_NAMES
    ready_path = READY_PATH

    def node_call(self, request: HttpRequest) -> NodeCall | None:
        """Parse a call of an instance, None if it is no such call."""
        name, instance = _call_and_instance(request)
        if name == REPORT_CALL:
            return _read_report(instance, request.body)
        if name == LEAVE_CALL:
            return LeaveCall(InstanceId(instance), _read_birth(request.body))
        return None

    def control_call(self, request: HttpRequest) -> ControlCall | None:
        """Parse a call of an operator, None if it is no such call."""
        name, _ = _call_and_instance(request)
        if name == PUT_RELEASE_CALL:
            return PutReleaseCall(request.body)
        return ReadReleaseCall() if name == READ_RELEASE_CALL else None

    def decode_release(self, text: bytes) -> Result[Release, str]:
        """Decode a configuration of the platform into a release."""
        try:
            release = _read_release(_require_object(json.loads(text)))
        except KeyError as error:
            return Failure(f"missing key {error}")
        except UNREADABLE_ERRORS as error:
            return Failure(str(error))
        return check_release(release)

    def release_digest(self, text: bytes) -> ReleaseDigest:
        """Return the digest of the JSON value, independent of its layout."""
        return json_digest(json.loads(text))


def _call_and_instance(request: HttpRequest) -> tuple[str, str]:
    """Return the name of a call and its instance; empty strings if there is none."""
    parts = urlsplit(request.target)
    if request.method != "POST" or parts.path != CALLS_PATH:
        return "", ""
    query = parse_qs(parts.query)
    return query.get("call", [""])[0], query.get("of", [""])[0]


def _read_report(instance: str, body: bytes) -> NodeCall:
    try:
        fields = _require_object(json.loads(body))
        info, status = (
            _require_object(fields["info"]),
            _require_object(fields["status"]),
        )
        return ReportCall(
            InstanceReport(
                instance=InstanceId(_require_text(instance)),
                born_ms=_require_integer(fields.get("born", 0)),
                sequence=_require_integer(status["sequence"]),
                service=_require_text(info["service"]),
                address=read_address(fields["address"]),
                slots=_require_integer(info["maxConcurrency"]),
                state=InstanceState(status["state"]),
                warm_up_ms=_require_integer(status.get("warmupRemainingMs", 0)),
            )
        )
    except KeyError as error:
        return MalformedCall(f"missing key {error}")
    except UNREADABLE_ERRORS as error:
        return MalformedCall(str(error))


def _read_birth(body: bytes) -> int | None:
    """Return the start time that an instance gives with its leave, None if it doesn't.

    A leave that cannot be read is still one: its instance stops within seconds.
    """
    try:
        return _require_integer(_require_object(json.loads(body))["born"])
    except (KeyError, *UNREADABLE_ERRORS):
        return None


def _read_release(fields: dict) -> Release:
    return Release(
        version=_read_version(fields["version"]),
        base=_read_version(fields.get("baseVersion", 0)),
        routes=tuple(
            _read_route(_require_object(route))
            for route in _require_list(fields["routes"])
        ),
        services=tuple(
            ReleasedService(
                _require_text(service["name"]),
                _require_integer(service.get("maxConnections", 0)),
            )
            for service in _require_list(fields["services"])
        ),
        limits=_read_limits(_require_object(fields.get("limits") or {})),
        organisations=tuple(
            _read_organisation(_require_object(tenant))
            for tenant in _require_list(fields.get("tenants") or [])
        ),
    )


def _read_organisation(fields: dict) -> Organisation:
    name = _require_text(fields["name"])
    priority = fields.get("priority")
    return Organisation(
        name=OrganisationName(name),
        keys=_read_keys(name, fields["apiKeys"]),
        priority=None if priority is None else _require_integer(priority),
        rate_per_s=float(_require_number(fields.get("ratePerS") or 0)),
        burst=float(_require_number(fields.get("burst") or 0)),
    )


def _read_keys(name: str, keys: object) -> tuple[str, ...]:
    """Read keys; errors must not quote them."""
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError(f"apiKeys of tenant {name!r} is not a list of strings")
    return tuple(keys)


def _read_limits(limits: dict) -> CallerLimits:
    names = {
        "max_header_bytes": "maxHeaderBytes",
        "max_body_bytes": "maxBodyBytes",
        "header_timeout_ms": "headerTimeoutMs",
        "idle_timeout_ms": "idleTimeoutMs",
    }
    return CallerLimits(
        **{
            field: _require_integer(limits[name])
            for field, name in names.items()
            if name in limits
        }
    )


def _read_route(fields: dict) -> Route:
    timeout_ms = _require_integer(fields["timeoutMs"])
    return Route(
        name=_require_text(fields["name"]),
        host=_require_text(fields["host"]),
        path_prefix=_require_text(fields["pathPrefix"]),
        kind=RouteKind(fields["routeKind"]),
        timeout_ms=timeout_ms,
        latency_objective_ms=_require_integer(
            fields.get("targetLatencyMs") or timeout_ms
        ),
        priority=_require_integer(fields.get("priority", 0)),
        targets=_read_targets(fields),
        # The number of servers that one request may be sent to, including retries.
        max_servers=_require_integer(fields["maxAttempts"]),
        is_public=_read_flag(fields, "public"),
    )


def _read_targets(fields: dict) -> tuple[WeightedService, ...]:
    parts = tuple(
        WeightedService(_require_text(part["service"]), _require_number(part["weight"]))
        for part in _require_list(fields.get("weightedServices") or [])
    )
    if "service" not in fields:
        return parts
    # A service takes all requests; those of a list beside it must still be known.
    service = WeightedService(_require_text(fields["service"]), 1)
    return (service, *(replace(part, weight=0) for part in parts))


def _require_object(value: object) -> dict:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} is not an object")
    return value


def _require_list(value: object) -> list:
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list")
    return value


def _require_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _read_flag(fields: dict, name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name}: {value!r} is not a boolean")
    return value


def _require_number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    return value


def _require_integer(value: object) -> int:
    number = _require_number(value)
    if number != int(number):
        raise ValueError(f"{value!r} is not an integer")
    return int(number)


def _read_version(value: object) -> int:
    """Parse a version: hexadecimal digits, or a number if there is no release."""
    return (
        int(value, VERSION_RADIX) if isinstance(value, str) else _require_integer(value)
    )
