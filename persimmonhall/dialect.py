"""Define how external headers and calls are read, and the native dialect."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import xxhash
from returns.result import Failure, Result, Success

from persimmonhall.address import Address, parse_address
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import InstanceId, ReleaseDigest, ServiceName
from persimmonhall.release.schema import Release, check_release
from persimmonhall.table_reader import read_table


@dataclass(frozen=True)
class HeaderNames:
    """Define the names of the system's HTTP headers, in lower case."""

    attempt: bytes = b"persimmonhall-attempt"
    deadline_ms: bytes = b"persimmonhall-deadline-ms"
    expected_instance: bytes = b"persimmonhall-expected-instance"
    caller_service: bytes = b"persimmonhall-caller-service"
    not_executed: bytes = b"persimmonhall-not-executed"
    rate_limit: bytes = b"persimmonhall-rate-limit"
    leaving: bytes = b"persimmonhall-leaving"
    organisation: bytes = b"persimmonhall-organisation"


class InstanceState(Enum):
    """Define whether an instance accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class InstanceReport:
    """Represent the report of a backend server instance on itself.

    `born_ms` is the Unix time of its start: it orders the successive instances
    at one address. `sequence` orders the reports of one instance.
    """

    instance: InstanceId
    born_ms: int
    sequence: int
    service: ServiceName
    address: Address
    slots: int
    state: InstanceState
    warm_up_ms: int


@dataclass(frozen=True)
class ReportCall:
    """A report of an instance on itself."""

    report: InstanceReport


@dataclass(frozen=True)
class LeaveCall:
    """An instance leaves for good and accepts no new requests."""

    instance: InstanceId
    born_ms: int | None = None


@dataclass(frozen=True)
class MalformedCall:
    """A call that cannot be parsed; it has no effect."""

    reason: str


@dataclass(frozen=True)
class PutReleaseCall:
    """An operator replaces the release."""

    text: bytes


@dataclass(frozen=True)
class ReadReleaseCall:
    """An operator reads the newest release."""


NodeCall = ReportCall | LeaveCall | MalformedCall
ControlCall = PutReleaseCall | ReadReleaseCall


class Dialect(Protocol):
    """Translate external calls and bodies into the product's types."""

    headers: HeaderNames
    ready_path: str

    def node_call(self, request: HttpRequest) -> NodeCall | None:
        """Return a backend server's call to its node, None if it is no such call."""

    def control_call(self, request: HttpRequest) -> ControlCall | None:
        """Return an operator's call to a control VM, None if it is no such call."""

    def decode_release(self, text: bytes) -> Result[Release, str]:
        """Return a checked release, or a one-line error."""

    def release_digest(self, text: bytes) -> ReleaseDigest:
        """Return a digest that is equal only for texts of the same release."""


def json_digest(body: object) -> ReleaseDigest:
    """Return the digest of a JSON value, independent of its layout."""
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return ReleaseDigest(xxhash.xxh3_128_hexdigest(text.encode()))


def read_address(text: object) -> Address:
    """Parse an address; raise ValueError if it is invalid."""
    match parse_address(text) if isinstance(text, str) else Failure(f"{text!r}"):
        case Success(address):
            return address
        case Failure(reason):
            raise ValueError(reason)


class NativeDialect:
    """Implement the native protocol: JSON objects with the fields of the types."""

    headers = HeaderNames()
    ready_path = "/-/ready"

    def node_call(self, request: HttpRequest) -> NodeCall | None:
        """Parse a report or a leave call of an instance."""
        match (request.method, request.target.split("/")[1:]):
            case ("POST", ["-", "instances"]):
                return self._read_report(request.body)
            case ("DELETE", ["-", "instances", instance]):
                return LeaveCall(InstanceId(instance))
        return None

    def control_call(self, request: HttpRequest) -> ControlCall | None:
        """Parse a call that replaces or reads the release."""
        match (request.method, request.target):
            case ("PUT", "/release"):
                return PutReleaseCall(request.body)
            case ("GET", "/release"):
                return ReadReleaseCall()
        return None

    def decode_release(self, text: bytes) -> Result[Release, str]:
        """Decode a JSON object with the fields of `Release`."""
        return _read_json(Release, text).bind(check_release)

    def release_digest(self, text: bytes) -> ReleaseDigest:
        """Return the digest of the JSON value, independent of its layout."""
        return json_digest(json.loads(text))

    def _read_report(self, body: bytes) -> NodeCall:
        match _read_json(InstanceReport, body):
            case Success(report):
                return ReportCall(report)
            case Failure(reason):
                return MalformedCall(reason)


def _read_json(cls: type, text: bytes) -> Result:
    try:
        table = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Failure(f"not valid JSON: {error}")
    if not isinstance(table, dict):
        return Failure("must be a JSON object")
    return read_table(cls, table).alt(lambda problems: problems[0].text)
