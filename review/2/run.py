"""A server breaks off an answer without a length, before it has read the body.

The server answers a long upload early, as RULES.md allows. Its answers have no length
and end with their connections. One of the two servers breaks off one answer in 50,
which resets the connection.
"""

import asyncio

from case import run_case
from deployment import (
    TOUCH_S,
    exchange,
    make_manifest,
    make_request,
    new_attempt_id,
    read_head,
)
from server import Server, make_head

HOST = "reports.example"
PATH = "/reports/"
DEADLINE_MS = 6000
# Longer than what the kernel holds for a server that does not read.
UPLOAD = bytes(12 * 1024 * 1024)
ANSWER = b"a line of the report\n" * 2000
SENT_AT_FIRST = 5000
# Whole answers to short requests, besides the one that is broken off.
OTHERS = 49
MAX_SENT = 300


class ReportServer(Server):
    """Begin to answer before the body of a request is read."""

    def __init__(self, node, record, *, breaks_off):
        super().__init__(node, record, None)
        self._breaks_off = breaks_off

    async def _serve_one(self, reader, writer):
        _, headers = await read_head(reader)
        attempt = headers["x-attempt-id"]
        self.runs.append(attempt)
        writer.write(make_head(attempt) + ANSWER[:SENT_AT_FIRST])
        await writer.drain()
        sent = f"{SENT_AT_FIRST} of {len(ANSWER)} bytes"
        self._record.write(f"server {self.name}: {attempt}: has sent {sent}")
        await asyncio.sleep(0.05)
        size = int(headers["content-length"])
        if self._breaks_off and size == len(UPLOAD):
            self._record.write(f"server {self.name}: {attempt}: resets its connection")
            writer.transport.abort()
            raise ConnectionResetError
        await reader.readexactly(size)
        writer.write(ANSWER[SENT_AT_FIRST:])
        await writer.drain()
        self._record.write(f"server {self.name}: {attempt}: has sent the rest")
        # The connection ends the answer.
        raise ConnectionError


async def play(deployment, has_trouble):
    """Send requests one by one; each answer must be whole or a failure."""
    record = deployment.record
    entry = deployment.add_node("sidecar-1", "zone-1", "front")
    faulty_node = deployment.add_node("sidecar-2", "zone-1", "reports")
    sound_node = deployment.add_node("sidecar-3", "zone-2", "reports")
    deployment.start()
    faulty = ReportServer(faulty_node, record, breaks_off=has_trouble)
    sound = ReportServer(sound_node, record, breaks_off=False)
    await faulty.start()
    await sound.start()
    route = {"host": HOST, "pathPrefix": PATH, "service": "reports"}
    route["routeKind"] = "non_idempotent"
    await deployment.put_manifest(make_manifest([route]))
    for node in deployment.nodes:
        await deployment.wait_until_ready(node)
    await asyncio.sleep(TOUCH_S)
    address = entry.settings["listenAddresses"]["outbound"]
    breaks = []
    whole = sent = uploads = 0
    while not uploads or len(faulty.runs) < OTHERS + 1:
        if sent > MAX_SENT:
            raise RuntimeError(f"server {faulty.name} gets too few requests")
        attempt = new_attempt_id()
        path = f"{PATH}{sent}"
        is_long = len(faulty.runs) >= OTHERS
        upload = UPLOAD if is_long else b"a short report"
        request = make_request("POST", HOST, path, attempt, DEADLINE_MS, upload)
        record.write(f"client: sends POST {path} {attempt}, {len(upload)} bytes")
        try:
            answer = await exchange(address, request, DEADLINE_MS / 1000)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            # No answer is no break: the caller does not take it for a whole one.
            answer = type(error).__name__, {}, b""
        status, headers, body = answer
        stamp = headers.get("x-server-stamp")
        length = headers.get("content-length")
        text = f"{status}, stamp {stamp}, content-length {length}, {len(body)} bytes"
        record.write(f"client: {attempt}: {text}")
        sent += 1
        uploads += is_long
        whole += status == 200 and body == ANSWER
        if status == 200 and body != ANSWER:
            breaks.append(f"MIXED: {text}, but the server's body has {len(ANSWER)}")
    if whole < sent - has_trouble:
        raise RuntimeError(f"only {whole} of {sent} answers are whole")
    return breaks


run_case(__file__, play)
