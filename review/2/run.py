"""A node is stopped as planned while a caller still reads a long answer slowly."""

import asyncio
import signal
import socket
import time

from case import run_case
from deployment import (
    make_manifest,
    make_request,
    new_attempt_id,
    split_address,
)
from server import Server

HOST = "docs.example"
PATH = "/bundles/"
BUNDLE = b"a line of the bundle\n" * 760_000
DEADLINE_S = 9.0
READ_BYTES_PER_S = 2_500_000
RECEIVE_BUFFER = 64 * 1024


async def download(address, attempt, record):
    """Read an answer at a steady rate; return status, expected size and body."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    client.setblocking(False)
    await loop.sock_connect(client, split_address(address))
    request = make_request("GET", HOST, PATH + "1", attempt, int(DEADLINE_S * 1000))
    await loop.sock_sendall(client, request)
    record.write(f"client: sent {attempt}")
    data = bytearray()
    size = None
    started = time.monotonic()
    reason = "complete"
    while size is None or len(data) < size:
        try:
            part = await asyncio.wait_for(loop.sock_recv(client, 32768), 5)
        except OSError as error:
            reason = str(error)
            break
        if not part:
            reason = "end of the connection"
            break
        data += part
        if size is None and b"\r\n\r\n" in data:
            head, _, _ = data.partition(b"\r\n\r\n")
            record.write(f"client: head {head!r}")
            [length] = [
                int(line.split(b":")[1])
                for line in head.lower().split(b"\r\n")
                if line.startswith(b"content-length:")
            ]
            size = len(head) + 4 + length
        ahead_s = len(data) / READ_BYTES_PER_S - (time.monotonic() - started)
        if ahead_s > 0:
            await asyncio.sleep(ahead_s)
    client.close()
    took = time.monotonic() - started
    record.write(f"client: {len(data)} of {size} bytes after {took:.2f} s: {reason}")
    return size, len(data), took


async def play(deployment, has_trouble):
    """Read a long answer while the node that took the request stops as planned."""
    record = deployment.record
    entry = deployment.add_node("sidecar-1", "zone-1", "front")
    gate = deployment.add_node("sidecar-2", "zone-2", "docs")

    async def run(method, path, attempt, body):
        return BUNDLE

    deployment.start()
    server = Server(gate, record, run)
    await server.start()
    manifest = make_manifest(
        [
            {
                "host": HOST,
                "pathPrefix": PATH,
                "service": "docs",
                "routeKind": "download",
                "timeoutMs": 10_000,
            }
        ]
    )
    await deployment.put_manifest(manifest)
    for node in deployment.nodes:
        await deployment.wait_until_ready(node)
    await asyncio.sleep(3)
    attempt = new_attempt_id()
    address = entry.settings["listenAddresses"]["outbound"]
    task = asyncio.create_task(download(address, attempt, record))
    await asyncio.sleep(0.3)
    if has_trouble:
        entry.signal(signal.SIGTERM)
    size, received, took = await task
    if size is None or received < size:
        if not has_trouble:
            raise RuntimeError("the answer is cut without trouble")
        return [f"LOST: {received} of {size} bytes after {took:.2f} s"]
    return []


run_case(__file__, play)
