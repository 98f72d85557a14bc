"""Check requests from end to end with real processes."""

import json
import struct

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from harness.system import System
from persimmonhall.http.messages import HttpRequest
from persimmonhall.wire.frames import HEADER, MAX_FRAME_BYTES, PREAMBLE, Channel
from tests.builders import CUE_DOCUMENT
from tests.portal import open_running_system

scenarios("features/end_to_end.feature")

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
READ_TIMEOUT_S = 10.0

REQUEST_HEAD = b"GET /segments/7 HTTP/1.1\r\nHost: cue\r\n"
CALLER_INPUTS = {
    "unknown service": b"GET / HTTP/1.1\r\nHost: nobody\r\n\r\n",
    "unknown request": b"GET /nothing HTTP/1.1\r\nHost: cue\r\n\r\n",
    "large header": REQUEST_HEAD + b"X: " + b"x" * 2 * MAX_HEADER_BYTES,
    "large body": b"POST /publish/warnings HTTP/1.1\r\nHost: cue\r\n"
    b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1) + b"x" * (MAX_BODY_BYTES + 1),
    "half a request": b"POST /publish/warnings HTTP/1.1\r\nHost: cue\r\n"
    b"Content-Length: 100\r\n\r\nhalf",
    "garbage": b"\x00\x01\x02 nothing of the kind\r\n\r\n",
    "damaged chain": REQUEST_HEAD + b"Persimmonhall-Chain: root=1;depth=x\r\n\r\n",
}
FRAME_INPUTS = {
    "no preamble": b"GET / HTTP/1.1\r\n\r\n",
    "an oversized frame": PREAMBLE + HEADER.pack(MAX_FRAME_BYTES + 1, 2, 1, 1),
    "an unknown channel": PREAMBLE + HEADER.pack(0, 2, 99, 1),
    "a damaged message": PREAMBLE
    + HEADER.pack(16, 2, Channel.CALL.value, 1)
    + struct.pack("<IIQ", 0, 2**20, 2**63),
    "half a frame": PREAMBLE + HEADER.pack(100, 2, 1, 1) + b"half",
}


async def _start(system: System) -> None:
    await system.start_control()
    await system.start_node("suva-cue-1", "suva")
    await system.start_node("nadi-cue-1", "nadi")
    await system.start_backend("nadi-cue-1", "cue")
    await system.deploy_service(
        "cue", CUE_DOCUMENT.replace("publishing", "operators"), 1
    )


@pytest.fixture(scope="module")
def running_system():
    with open_running_system(_start) as running_system:
        yield running_system


@given("a control VM, two nodes in two zones and a backend server of cue in nadi")
def _(running_system):
    portal, system = running_system
    assert set(system.nodes) == {"suva-cue-1", "nadi-cue-1"}


@given("the cue document is active")
def _(running_system):
    portal, system = running_system
    assert portal.run(system.status, "suva-cue-1")["documents"] == {"cue": 1}


@when(parsers.parse("a caller sends {method} {path} to {node}"))
def _(running_system, context, method, path, node):
    portal, system = running_system
    request = HttpRequest(method, path, ((b"persimmonhall-service", b"cue"),))
    context["answer"] = portal.run(system.send, node, request).unwrap()


@then(parsers.parse("the answer has status {status:d} and {size:d} bytes"))
def _(context, status, size):
    answer = context["answer"]
    assert (answer.status, len(answer.body)) == (status, size)


@then(parsers.parse("the log of {node} has a routing line that chose {chosen}"))
def _(running_system, node, chosen):
    _, system = running_system
    lines = (system.folder / f"{node}.log").read_text().splitlines()
    routes = [line for line in lines if "route root=" in line]
    assert any(f"chosen={chosen}" in line for line in routes)
    assert all("candidates=" in line and "reason=" in line for line in routes)


@then(parsers.parse("the metrics of {node} count an admitted {worth} request"))
def _(running_system, node, worth):
    portal, system = running_system
    request = HttpRequest("GET", "/-/metrics", ())
    page = portal.run(system.send, node, request, "local").unwrap().body.decode()
    lines = dict(line.rsplit(" ", 1) for line in page.splitlines())
    assert int(lines[f'persimmonhall_admitted_total{{worth="{worth}"}}']) > 0
    assert int(lines["persimmonhall_service_us_count"]) > 0


async def _exchange(address, data: bytes) -> bytes:
    """Send bytes and return all that is received."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    received = b""
    with trio.fail_after(READ_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_all, stream, data)
            try:
                while part := await stream.receive_some():
                    received += part
                    if b"\r\n\r\n" in received and _is_complete(received):
                        break
            except trio.BrokenResourceError:
                pass
            nursery.cancel_scope.cancel()
    await trio.aclose_forcefully(stream)
    return received


def _is_complete(received: bytes) -> bool:
    head, _, body = received.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return False


async def _send_all(stream: trio.SocketStream, data: bytes) -> None:
    try:
        await stream.send_all(data)
        if data.endswith(b"half"):
            await stream.send_eof()
    except trio.BrokenResourceError:
        pass


@when(parsers.parse("a connection sends the bytes of {name} to {node}"))
def _(running_system, context, name, node):
    portal, system = running_system
    address = system.nodes[node].addresses["callers"]
    context["received"] = portal.run(_exchange, address, CALLER_INPUTS[name])


@then(parsers.parse("the answer is the problem {kind} with status {status:d}"))
def _(context, kind, status):
    head, _, body = context["received"].partition(b"\r\n\r\n")
    assert int(head.split()[1]) == status
    problem = json.loads(body)
    assert problem["type"].endswith(":" + kind)
    assert problem["ran"] == "no"


@then("the connection is closed or usable")
def _(context):
    assert context["received"].startswith(b"HTTP/1.1 ")


@when(parsers.parse("a peer sends {name} to the frame port of {node}"))
def _(running_system, context, name, node):
    portal, system = running_system
    address = system.nodes[node].addresses["frames"]
    context["received"] = portal.run(_exchange, address, FRAME_INPUTS[name])


@then("the frame connection is closed")
def _(context):
    assert context["received"] == b""


@then(parsers.parse("a caller still gets complete answers from {node}"))
def _(running_system, node):
    portal, system = running_system
    request = HttpRequest("GET", "/segments/7", ((b"host", b"cue"),))
    answer = portal.run(system.send, node, request).unwrap()
    assert (answer.status, len(answer.body)) == (200, 200)
