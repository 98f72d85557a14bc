"""Raise maxHeaderBytes by a new manifest; use it on kept connections."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common_2.case import has_trouble, run_case  # noqa: E402
from common_2.http import connect, encode_request, read_body, read_head  # noqa: E402
from common_2.platform import Machine, Platform, Record  # noqa: E402
from common_2.standins import (  # noqa: E402
    HOST,
    PREFIX,
    Operator,
    Server,
    make_manifest,
    new_attempt,
    wait_until_ready,
)

SERVICE = "huvo11a"
OLD_HEADER_BYTES = 16384
NEW_HEADER_BYTES = 65536
# Between the old limit and the new one.
USED_HEADER_BYTES = 20000
CONFIG_APPLY_S = 2.0
TOUCH_S = 3.0
CONNECTIONS = 30
# DENIED: more than five and one in 500 of all requests.
ALLOWED = 5


class _Client:
    """Send requests on one connection that is kept open."""

    def __init__(self, node: Machine, record: Record):
        self._node = node
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, header_bytes: int = 0) -> int:
        """Send one request; return the status of its answer."""
        if self._reader is None:
            self._reader, self._writer = await connect(self._node.address("outbound"))
        attempt = new_attempt()
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "5000"}
        if header_bytes:
            headers["X-Context"] = "a" * header_bytes
        self._record(f"client of {self._node.name}: sends {attempt}")
        self._writer.write(encode_request("GET", PREFIX + "2f", headers))
        head = await asyncio.wait_for(read_head(self._reader), 6)
        if head is None:
            raise ConnectionResetError("closed without an answer")
        await read_body(self._reader, head)
        self._record(
            f"client of {self._node.name}: {attempt} with {header_bytes} more bytes of"
            f" headers answered {head.status}"
        )
        return head.status

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def _case(platform: Platform, record: Record) -> str:
    servers = [Server(node, record) for node in platform.nodes]
    for server in servers:
        await server.start()
    operator = Operator(platform, record)
    limits = [OLD_HEADER_BYTES, NEW_HEADER_BYTES]
    if not has_trouble():
        limits = [NEW_HEADER_BYTES, NEW_HEADER_BYTES]
    manifest = make_manifest(5, 0, (SERVICE,), maxHeaderBytes=limits[0])
    await operator.replace(manifest)
    await wait_until_ready(platform.nodes)
    await asyncio.sleep(TOUCH_S)
    clients = [
        _Client(platform.nodes[n % len(platform.nodes)], record)
        for n in range(CONNECTIONS)
    ]
    for client in clients:
        await client.send()
    manifest = make_manifest(6, 5, (SERVICE,), maxHeaderBytes=limits[1])
    await operator.replace(manifest)
    # Used meanwhile, so that they are never idle for long.
    for _ in range(3):
        await asyncio.sleep(CONFIG_APPLY_S / 2)
        for client in clients:
            await client.send()
    statuses = [await client.send(USED_HEADER_BYTES) for client in clients]
    fresh = [_Client(node, record) for node in platform.nodes]
    fresh_statuses = [await client.send(USED_HEADER_BYTES) for client in fresh]
    for client in (*clients, *fresh):
        client.close()
    for server in servers:
        await server.stop()
    denied = sum(400 <= status < 500 for status in statuses)
    record(f"kept connections: {statuses}; new connections: {fresh_statuses}")
    if denied <= ALLOWED:
        return ""
    return (
        f"CONFIG: {denied} of {len(statuses)} requests on kept connections are refused"
        f" as only an older version allows, {1.5 * CONFIG_APPLY_S:.0f} s after the ack"
    )


if __name__ == "__main__":
    run_case(FOLDER, lambda record: Platform(record, services=(SERVICE,)), _case)
