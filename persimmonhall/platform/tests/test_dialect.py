"""Test the conversion of the platform's calls and bodies to the product's types."""

import json
import random

import pytest

from persimmonhall.call.server_notices import ServerNotice, read_notice
from persimmonhall.dialect import (
    InstanceState,
    LeaveCall,
    MalformedCall,
    PutReleaseCall,
    ReadReleaseCall,
    ReportCall,
)
from persimmonhall.http.messages import HttpRequest
from persimmonhall.platform.dialect import PlatformDialect
from persimmonhall.platform.names import HEADER_NAMES
from persimmonhall.release.routes import RouteTable
from persimmonhall.release.schema import RouteKind

DIALECT = PlatformDialect()
REPORT_TARGET = "/rpc?call=instances.heartbeat&of=i-7"


def make_report_body(**changes):
    """Build the body of a report with some fields replaced."""
    info = {"service": "cue", "version": "v1", "zone": "suva", "maxConcurrency": 69}
    status = {"state": "ready", "sequence": 4, "warmupRemainingMs": 0}
    body = {"address": "10.0.0.9:80", "info": info, "status": status, "born": 17}
    for name, value in changes.items():
        part = info if name in info else status if name in status else body
        part[name] = value
    return json.dumps(body).encode()


def make_configuration(**changes):
    """Build the body of a configuration with some fields of its route replaced."""
    route = {
        "name": "r-1",
        "host": "a.example",
        "pathPrefix": "/a/",
        "routeKind": "non_idempotent",
        "timeoutMs": 1200,
        "targetLatencyMs": 1500,
        "priority": 0,
        "weightedServices": [
            {"service": "cue", "weight": 90},
            {"service": "maps", "weight": 10},
        ],
        "maxAttempts": 2,
    }
    body = {
        "version": "0000000c",
        "baseVersion": "0000000a",
        "routes": [route | changes],
        "services": [{"name": "cue", "maxConnections": 5}, {"name": "maps"}],
        "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    }
    return json.dumps(body).encode()


def test_report_is_parsed():
    """Parse a report; the instance comes from the query string."""
    match DIALECT.node_call(HttpRequest("POST", REPORT_TARGET, (), make_report_body())):
        case ReportCall(report):
            assert (report.instance, report.born_ms, report.slots) == ("i-7", 17, 69)
            assert report.state is InstanceState.READY
        case other:
            raise AssertionError(other)


@pytest.mark.parametrize(
    ("body", "born_ms"), [(b'{"born": 17}', 17), (b"", None), (b'{"born": []}', None)]
)
def test_leave_names_the_incarnation_if_it_gives_its_birth(body, born_ms):
    """Read the birth of a leave; keep a leave that has none."""
    target = "/rpc?call=instances.deregister&of=i-7"
    call = DIALECT.node_call(HttpRequest("POST", target, (), body))
    assert call == LeaveCall("i-7", born_ms)


@pytest.mark.parametrize(
    "changes",
    [
        {"address": 5},
        {"state": "asleep"},
        {"sequence": "four"},
        {"maxConcurrency": None},
        {"service": ""},
        {"born": 1.5},
        {"info": []},
    ],
)
def test_invalid_report_is_malformed(changes):
    """Reject fields of a wrong type or with an invalid value."""
    call = DIALECT.node_call(
        HttpRequest("POST", REPORT_TARGET, (), make_report_body(**changes))
    )
    assert isinstance(call, MalformedCall)


def test_report_that_is_not_json_is_malformed():
    """Reject a body that is not JSON."""
    call = DIALECT.node_call(HttpRequest("POST", REPORT_TARGET, (), b"\xff{"))
    assert isinstance(call, MalformedCall)


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/rpc?call=configuration.replace", PutReleaseCall(b"x")),
        ("/rpc?call=configuration.read", ReadReleaseCall()),
        ("/rpc?call=other", None),
        ("/elsewhere", None),
    ],
)
def test_control_calls_are_parsed(target, expected):
    """Distinguish the operator's calls."""
    assert DIALECT.control_call(HttpRequest("POST", target, (), b"x")) == expected


def test_leave_call_is_parsed():
    """Parse the call of an instance that leaves."""
    target = "/rpc?call=instances.deregister&of=i-7"
    assert DIALECT.node_call(HttpRequest("POST", target, ())) == LeaveCall("i-7")


def test_configuration_is_decoded_into_a_release():
    """Decode versions, routes and limits."""
    release = DIALECT.decode_release(make_configuration()).unwrap()
    [route] = release.routes
    assert (release.version, release.base) == (12, 10)
    assert route.kind is RouteKind.NON_IDEMPOTENT
    assert [target.weight for target in route.targets] == [90, 10]
    assert release.limits.idle_timeout_ms == 15000


@pytest.mark.parametrize(
    "changes",
    [
        {"routeKind": "odd"},
        {"maxAttempts": 0},
        {"timeoutMs": 700_000},
        {"timeoutMs": None},
        {"weightedServices": [{"service": "nowhere", "weight": 1}]},
        {"weightedServices": []},
        {"weightedServices": None},
        {"service": "nowhere"},
        # The list beside a service was not read: an unknown service in it was accepted.
        {
            "service": "cue",
            "weightedServices": [{"service": "nowhere", "weight": 1}],
        },
    ],
)
def test_invalid_configuration_is_refused(changes):
    """Reject a configuration that no node could activate."""
    assert DIALECT.decode_release(make_configuration(**changes)).failure()


def test_service_goes_before_a_list_of_services():
    """Send all requests to the service of a route that also has a list."""
    release = DIALECT.decode_release(make_configuration(service="maps")).unwrap()
    table = RouteTable(release, random.Random(1))
    [route] = release.routes
    assert {table.choose_service(route) for _ in range(20)} == {"maps"}


def test_truncated_configuration_is_refused():
    """Reject a truncated body."""
    assert DIALECT.decode_release(make_configuration()[:-9]).failure()


def test_layout_does_not_change_the_digest():
    """Give the same digest whatever the layout and order of keys."""
    one = b'{"version": "01", "routes": []}'
    two = b'{"routes":[],"version":"01"}'
    assert DIALECT.release_digest(one) == DIALECT.release_digest(two)


# The header that a server in need sets was passed on unread.
def test_statements_of_servers_are_read_by_their_names_on_the_platform():
    """Read the rate limit and the leaving header."""
    headers = ((b"server-limit", b"23.1"), (b"server-leaving", b"1"))
    assert read_notice(headers, HEADER_NAMES) == ServerNotice(23.1, is_leaving=True)


def make_organisations(*tenants):
    """Build the body of a configuration with organisations."""
    return json.dumps(json.loads(make_configuration()) | {"tenants": tenants}).encode()


def test_organisations_are_read():
    """Read keys, priority and quota; all but name and keys may be missing."""
    text = make_organisations(
        {
            "name": "acme",
            "apiKeys": ["one", "two"],
            "priority": 1,
            "ratePerS": 18,
            "burst": 36,
        },
        {"name": "plain", "apiKeys": []},
    )
    acme, plain = DIALECT.decode_release(text).unwrap().organisations
    assert (acme.name, acme.keys, acme.priority) == ("acme", ("one", "two"), 1)
    assert (acme.rate_per_s, acme.burst) == (18.0, 36.0)
    assert (plain.priority, plain.rate_per_s, plain.burst) == (None, 0.0, 0.0)


@pytest.mark.parametrize("keys", ["secret", ["ok", 17171717], [["secret"]], None])
def test_unreadable_keys_are_not_quoted(keys):
    """Name the organisation in the error, never what stands for a key."""
    text = make_organisations({"name": "acme", "apiKeys": keys})
    reason = DIALECT.decode_release(text).failure()
    assert "acme" in reason
    assert "secret" not in reason
    assert "17171717" not in reason


def test_public_routes_and_uploads_are_read():
    """Read whether a route needs no key, and the kind of uploads."""
    text = make_configuration(public=True, routeKind="upload")
    [route] = DIALECT.decode_release(text).unwrap().routes
    assert route.is_public
    assert route.kind is RouteKind.UPLOAD
    assert "public" in DIALECT.decode_release(make_configuration(public=1)).failure()
