"""Convert the platform's calls and bodies to the product's types."""

import json
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
    digest_of,
    read_address,
)
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import InstanceId, ReleaseDigest
from persimmonhall.platform.names import (
    CALLS_PATH,
    HEADERS,
    LEAVE_CALL,
    PUT_CALL,
    READ_CALL,
    READY_PATH,
    REPORT_CALL,
)
from persimmonhall.release.schema import (
    CallerLimits,
    Release,
    ReleasedService,
    Route,
    RouteKind,
    WeightedService,
    check_release,
)

VERSION_BASE = 16  # versions are written as eight hexadecimal digits


class PlatformDialect:
    """Implement the platform's protocol."""

    headers = HEADERS
    ready_path = READY_PATH

    def node_call(self, request: HttpRequest) -> NodeCall | None:
        """Parse a call of an instance, None if it is no such call."""
        name, instance = _call_of(request)
        if name == REPORT_CALL:
            return _report(instance, request.body)
        if name == LEAVE_CALL:
            return LeaveCall(InstanceId(instance))
        return None

    def control_call(self, request: HttpRequest) -> ControlCall | None:
        """Parse a call of an operator, None if it is no such call."""
        name, _ = _call_of(request)
        if name == PUT_CALL:
            return PutReleaseCall(request.body)
        return ReadReleaseCall() if name == READ_CALL else None

    def decode_release(self, text: bytes) -> Result[Release, str]:
        """Decode a configuration of the platform into a release."""
        try:
            release = _release(_object(json.loads(text)))
        except KeyError as error:
            return Failure(f"missing key {error}")
        except (ValueError, TypeError, AttributeError) as error:
            return Failure(str(error))
        return check_release(release)

    def release_digest(self, text: bytes) -> ReleaseDigest:
        """Return the digest of the JSON value, independent of its layout."""
        return digest_of(json.loads(text))


def _call_of(request: HttpRequest) -> tuple[str, str]:
    """Return the name of a call and its instance; empty strings if there is none."""
    parts = urlsplit(request.target)
    if request.method != "POST" or parts.path != CALLS_PATH:
        return "", ""
    query = parse_qs(parts.query)
    return query.get("call", [""])[0], query.get("of", [""])[0]


def _report(instance: str, body: bytes) -> NodeCall:
    try:
        fields = _object(json.loads(body))
        info, status = _object(fields["info"]), _object(fields["status"])
        return ReportCall(
            InstanceReport(
                instance=InstanceId(_text(instance)),
                born_ms=_whole(fields.get("born", 0)),
                sequence=_whole(status["sequence"]),
                service=_text(info["service"]),
                address=read_address(fields["address"]),
                slots=_whole(info["maxConcurrency"]),
                state=InstanceState(status["state"]),
                warm_up_ms=_whole(status.get("warmupRemainingMs", 0)),
            )
        )
    except KeyError as error:
        return MalformedCall(f"missing key {error}")
    except (ValueError, TypeError) as error:
        return MalformedCall(str(error))


def _release(fields: dict) -> Release:
    limits = _object(fields.get("limits") or {})
    known = CallerLimits()
    return Release(
        version=_version(fields["version"]),
        base=_version(fields.get("baseVersion", 0)),
        routes=tuple(_route(_object(route)) for route in _list(fields["routes"])),
        services=tuple(
            ReleasedService(
                _text(service["name"]), _whole(service.get("maxConnections", 0))
            )
            for service in _list(fields["services"])
        ),
        limits=CallerLimits(
            max_header_bytes=limits.get("maxHeaderBytes", known.max_header_bytes),
            max_body_bytes=limits.get("maxBodyBytes", known.max_body_bytes),
            header_timeout_ms=limits.get("headerTimeoutMs", known.header_timeout_ms),
            idle_timeout_ms=limits.get("idleTimeoutMs", known.idle_timeout_ms),
        ),
    )


def _route(fields: dict) -> Route:
    timeout_ms = _whole(fields["timeoutMs"])
    return Route(
        name=_text(fields["name"]),
        host=_text(fields["host"]),
        path_prefix=_text(fields["pathPrefix"]),
        kind=RouteKind(fields["routeKind"]),
        timeout_ms=timeout_ms,
        latency_objective_ms=_whole(fields.get("targetLatencyMs") or timeout_ms),
        priority=_whole(fields.get("priority", 0)),
        targets=_targets(fields),
        # The number of servers that one request may be sent to, including retries.
        max_servers=_whole(fields["maxAttempts"]),
    )


def _targets(fields: dict) -> tuple[WeightedService, ...]:
    if "service" in fields:
        return (WeightedService(_text(fields["service"]), 1),)
    return tuple(
        WeightedService(_text(part["service"]), _number(part["weight"]))
        for part in _list(fields["weightedServices"])
    )


def _object(value: object) -> dict:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} is not an object")
    return value


def _list(value: object) -> list:
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    return value


def _whole(value: object) -> int:
    number = _number(value)
    if number != int(number):
        raise ValueError(f"{value!r} is not an integer")
    return int(number)


def _version(value: object) -> int:
    """Parse a version: hexadecimal digits, or a number if there is no release."""
    return int(value, VERSION_BASE) if isinstance(value, str) else _whole(value)
