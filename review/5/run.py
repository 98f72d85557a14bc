"""A node restarts beside a server that has left, and a late ping restores it.

The server gets orders again until it exits, and what it then works on is lost.
"""

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

HOST = "orders.example"
PATH = "/orders/"
RESTART_DELAY_S = 0.5
LATE_S = 3.0
WORK_S = 0.5
RATE_PER_S = 20
# Time after its leave for which the server goes on to serve.
SERVES_ON_S = 8.0
DRAIN_S = BOUNDS["drainTimeoutMs"] / 1000


async def play(deployment, has_trouble):
    """Restart the node of a server that has left; then its last ping arrives late."""
    record = deployment.record
    entry = deployment.add_node("sidecar-1", "zone-1", "front")
    leaving_node = deployment.add_node("sidecar-2", "zone-1", "orders")
    other_node = deployment.add_node("sidecar-3", "zone-2", "orders")

    async def run(method, path, attempt, body):
        await asyncio.sleep(WORK_S)
        return b"booked"

    deployment.start()
    leaving = Server(leaving_node, record, run)
    other = Server(other_node, record, run)
    await leaving.start()
    await other.start()
    route = {"host": HOST, "pathPrefix": PATH, "service": "orders"}
    route["routeKind"] = "non_idempotent"
    await deployment.put_manifest(make_manifest([route]))
    for node in deployment.nodes:
        await deployment.wait_until_ready(node)
    await asyncio.sleep(TOUCH_S)
    address = entry.settings["listenAddresses"]["outbound"]
    sent_at = {}
    statuses = {}

    async def send():
        attempt = new_attempt_id()
        sent_at[attempt] = time.monotonic()
        path = f"{PATH}{attempt}"
        request = make_request("POST", HOST, path, attempt, 3000, b"order")
        try:
            status, _, _ = await exchange(address, request, 3.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        statuses[attempt] = status
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
    tasks = []
    while time.monotonic() < acked_at + SERVES_ON_S:
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(1 / RATE_PER_S)
    leaving.close()
    record.write("server sidecar-2: exits")
    await asyncio.gather(*tasks)
    late = [
        attempt
        for attempt in leaving.runs
        if sent_at[attempt] >= max(in_touch_at, acked_at + DRAIN_S)
    ]
    lost = [attempt for attempt in late if statuses[attempt] != 200]
    record.write(
        f"runs after the ack: {len(late)} at sidecar-2, {len(other.runs)} else"
    )
    if late:
        seconds = sent_at[late[0]] - acked_at
        return [
            f"DRAIN: {len(late)} requests reached the server that had left, "
            f"the first {seconds:.2f} s after the ack; {len(lost)} were lost"
        ]
    return []


run_case(__file__, play)
