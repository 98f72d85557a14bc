"""A node that stops as planned takes an order late and breaks it off.

Its zone has no other node, so its clients go on to send requests there.
"""

import asyncio
import random
import signal
import time

from case import run_case
from deployment import (
    exchange,
    make_manifest,
    make_request,
    new_attempt_id,
)
from server import Server

HOST = "orders.example"
PATH = "/orders/"
DEADLINE_MS = 5000
# Work of the servers as in the site file: a mean, a spread, and a tail of five times.
MEAN_S, SPREAD, TAIL = 0.48, 0.3, 5
WARM_UP_S = 12.0
RATE_PER_S = 10
SENT_AFTER_S = 3.3


async def play(deployment, has_trouble):
    """Send orders steadily, and a long one after the SIGTERM of the entry."""
    record = deployment.record
    entry = deployment.add_node("sidecar-1", "zone-1", "front")
    gate = deployment.add_node("sidecar-2", "zone-2", "orders")
    rng = random.Random(1)

    async def run(method, path, attempt, body):
        is_long = path.endswith("/long")
        work_s = MEAN_S * (TAIL if is_long else rng.uniform(1 - SPREAD, 1 + SPREAD))
        await asyncio.sleep(work_s)
        return b"booked"

    deployment.start()
    server = Server(gate, record, run)
    await server.start()
    manifest = make_manifest(
        [
            {
                "host": HOST,
                "pathPrefix": PATH,
                "service": "orders",
                "routeKind": "non_idempotent",
                "timeoutMs": 6000,
                "targetLatencyMs": 1200,
            }
        ]
    )
    await deployment.put_manifest(manifest)
    for node in deployment.nodes:
        await deployment.wait_until_ready(node)
    await asyncio.sleep(1)
    address = entry.settings["listenAddresses"]["outbound"]

    async def send(path):
        attempt = new_attempt_id()
        request = make_request("POST", HOST, path, attempt, DEADLINE_MS, b"order")
        started = time.monotonic()
        record.write(f"client: sends {attempt} {path}")
        try:
            status, headers, _ = await exchange(address, request, DEADLINE_MS / 1000)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status, headers = type(error).__name__, {}
        took = time.monotonic() - started
        stamp = headers.get("x-server-stamp")
        record.write(f"client: {attempt} {status} stamp {stamp} after {took:.2f} s")
        return attempt, status, stamp, took

    async def send_steadily():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(send(f"{PATH}{number}")))
            await asyncio.sleep(1 / RATE_PER_S)

    tasks = []
    steady = asyncio.create_task(send_steadily())
    await asyncio.sleep(WARM_UP_S)
    if has_trouble:
        entry.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    attempt, status, stamp, took = await send(f"{PATH}long")
    steady.cancel()
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    if not has_trouble and stamp is None:
        raise RuntimeError(f"the order is answered {status} without trouble")
    is_before_deadline = took < DEADLINE_MS / 1000
    if attempt in server.runs and stamp is None and is_before_deadline:
        return [f"LOST: {status} after {took:.2f} s while its server was at work"]
    return []


run_case(__file__, play)
