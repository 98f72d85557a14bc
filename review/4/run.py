"""A node restarts beside a server that has left, and a late ping restores it."""

import asyncio
import time

from case import run_case
from deployment import (
    BOUNDS,
    TOUCH_S,
    exchange,
    make_manifest,
    make_request,
    new_attempt_id,
)
from server import Server

HOST = "maps.example"
PATH = "/charts/"
RESTART_DELAY_S = 0.5
LATE_S = 3.0
DRAIN_S = BOUNDS["drainTimeoutMs"] / 1000


async def play(deployment, has_trouble):
    """Restart the node of a server that has left; then its last ping arrives late."""
    record = deployment.record
    entry = deployment.add_node("sidecar-1", "zone-1", "front")
    leaving_node = deployment.add_node("sidecar-2", "zone-1", "maps")
    other_node = deployment.add_node("sidecar-3", "zone-2", "maps")

    async def run(method, path, attempt, body):
        await asyncio.sleep(0.02)
        return b"chart"

    deployment.start()
    leaving = Server(leaving_node, record, run)
    other = Server(other_node, record, run)
    await leaving.start()
    await other.start()
    manifest = make_manifest([{"host": HOST, "pathPrefix": PATH, "service": "maps"}])
    await deployment.put_manifest(manifest)
    for node in deployment.nodes:
        await deployment.wait_until_ready(node)
    await asyncio.sleep(TOUCH_S)
    address = entry.settings["listenAddresses"]["outbound"]
    sent_at = {}

    async def send():
        attempt = new_attempt_id()
        sent_at[attempt] = time.monotonic()
        request = make_request("GET", HOST, f"{PATH}{attempt}", attempt, 3000)
        try:
            status, _, _ = await exchange(address, request, 3.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        record.write(f"client: {attempt} {status}")

    # A server whose last ping is late leaves without having reported draining.
    late_ping = leaving.make_ping()
    await leaving.stop_pinging()
    status = await leaving.send_leave()
    acked_at = time.monotonic()
    record.write(f"server sidecar-2: has left, ack {status}")
    if status != 200:
        raise RuntimeError("no ack")
    if has_trouble:
        leaving_node.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        leaving_node.start()
        await deployment.wait_until_ready(leaving_node)
    restarted_at = time.monotonic()
    await asyncio.sleep(max(0, acked_at + LATE_S - time.monotonic()))
    status = await leaving.send_ping(late_ping)
    record.write(
        f"server sidecar-2: ping sent before it left arrives "
        f"{time.monotonic() - acked_at:.2f} s late, answer {status}"
    )
    await asyncio.sleep(max(0, restarted_at + TOUCH_S + 0.5 - time.monotonic()))
    in_touch_at = time.monotonic()
    record.write("all machines are in touch")
    for _ in range(60):
        await send()
        await asyncio.sleep(0.02)
    late = [
        a
        for a in leaving.runs
        if sent_at.get(a, 0) >= in_touch_at and sent_at[a] > acked_at + DRAIN_S
    ]
    record.write(
        f"runs after the ack: {len(late)} at sidecar-2, {len(other.runs)} else"
    )
    if late:
        seconds = sent_at[late[0]] - acked_at
        return [
            f"DRAIN: {len(late)} requests reached the server that had left, "
            f"the first {seconds:.2f} s after the ack"
        ]
    return []


run_case(__file__, play)
