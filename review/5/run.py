"""Clients read long answers slowly, until their node takes more memory than it has.

The stand-in of the platform kills a process that uses more than memoryMb, and starts it
again after a short delay.
"""

import asyncio
import re
import socket
import time
from pathlib import Path

from case import run_case
from deployment import (
    TOUCH_S,
    make_manifest,
    make_request,
    new_attempt_id,
    split_address,
)
from server import Server

HOST = "packs.example"
PATH = "/packs/"
PACK = b"a line of the animation pack\n" * 414_000
TIMEOUT_S = 30
CLIENTS = 60
GAP_S = 0.15
SLOW_BYTES_PER_S = 800_000
RECEIVE_BUFFER = 64 * 1024
MEMORY_CHECK_S = 0.05
# The rule allows so many.
MAX_CUT = 3
RESTART_DELAY_S = 0.5


def memory_mb(pid):
    """Return the resident memory of a process."""
    text = Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmRSS:\s*(\d+) kB", text)
    return int(match[1]) / 1024 if match else 0.0


class MemoryWatch:
    """Kill a process that uses more memory than it has, as DEPLOY.md says."""

    def __init__(self, program, record):
        self.peak_mb = 0.0
        self.has_killed = False
        self._program = program
        self._record = record
        self._limit_mb = program.settings["limits"]["memoryMb"]

    def __str__(self):
        return f"{self._program.name} took up to {self.peak_mb:.0f} MB"

    async def run(self):
        """Check the memory until cancelled."""
        while True:
            used_mb = memory_mb(self._program.process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self._limit_mb:
                self.has_killed = True
                self._record.write(f"platform: {self}, over {self._limit_mb}: killed")
                self._program.kill()
                await asyncio.sleep(RESTART_DELAY_S)
                self._program.start()
            await asyncio.sleep(MEMORY_CHECK_S)


class Client:
    """Keep a connection for a short request and a long answer."""

    def __init__(self, address, record, bytes_per_s):
        self._address = address
        self._record = record
        self._bytes_per_s = bytes_per_s
        self.outcome = "not sent"

    async def run(self):
        """Send both requests; read the second answer at a steady rate."""
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        client.setblocking(False)
        attempt = ""
        try:
            await loop.sock_connect(client, split_address(self._address))
            for path in ("short", "long"):
                attempt = new_attempt_id()
                request = make_request(
                    "GET", HOST, PATH + path, attempt, TIMEOUT_S * 1000
                )
                await loop.sock_sendall(client, request)
                self.outcome = await self._read(loop, client)
        except OSError as error:
            self.outcome = f"cut: {error}"
        finally:
            client.close()
        self._record.write(f"client: {attempt} {self.outcome}")

    async def _read(self, loop, client):
        data = bytearray()
        size = None
        started = time.monotonic()
        while size is None or len(data) < size:
            part = await loop.sock_recv(client, 32768)
            if not part:
                return f"cut after {len(data)} of {size} bytes"
            data += part
            if size is None and b"\r\n\r\n" in data:
                head, _, _ = data.partition(b"\r\n\r\n")
                size = len(head) + 4 + int(re.search(rb"length: (\d+)", head)[1])
            if self._bytes_per_s:
                ahead_s = len(data) / self._bytes_per_s - (time.monotonic() - started)
                await asyncio.sleep(max(0, ahead_s))
        return data[9:12].decode()


async def play(deployment, has_trouble):
    """Let clients of one node read long answers."""
    record = deployment.record
    entry = deployment.add_node("sidecar-1", "zone-1", "front")
    gate = deployment.add_node("sidecar-2", "zone-2", "packs")

    async def run(method, path, attempt, body):
        return PACK if path.endswith("long") else b"short"

    deployment.start()
    server = Server(gate, record, run)
    await server.start()
    route = {"host": HOST, "pathPrefix": PATH, "service": "packs"}
    route |= {"routeKind": "download", "timeoutMs": TIMEOUT_S * 1000}
    await deployment.put_manifest(make_manifest([route]))
    for node in deployment.nodes:
        await deployment.wait_until_ready(node)
    await asyncio.sleep(TOUCH_S)
    watches = [MemoryWatch(node, record) for node in deployment.nodes]
    watching = [asyncio.create_task(watch.run()) for watch in watches]
    address = entry.settings["listenAddresses"]["outbound"]
    clients = []
    tasks = []
    while len(clients) < CLIENTS and not any(watch.has_killed for watch in watches):
        client = Client(address, record, SLOW_BYTES_PER_S if has_trouble else None)
        clients.append(client)
        tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)
    for task in watching:
        task.cancel()
    memory = ", ".join(map(str, watches))
    outcomes = [client.outcome for client in clients]
    whole = outcomes.count("200")
    cut = [outcome for outcome in outcomes if outcome.startswith("cut")]
    record.write(f"{whole} of {len(clients)} whole, {len(cut)} cut; {memory}")
    if not has_trouble and whole < CLIENTS:
        raise RuntimeError(f"only {whole} answers are whole without trouble")
    if len(cut) > MAX_CUT:
        return [f"LOST: {len(cut)} kept connections closed without a whole answer"]
    return []


run_case(__file__, play)
