"""Kill all processes after a departure was acknowledged; a late ping follows."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common_2.case import has_trouble, run_case  # noqa: E402
from common_2.platform import Platform, Record, SetupError  # noqa: E402
from common_2.standins import (  # noqa: E402
    Operator,
    Server,
    ask,
    make_manifest,
    wait_until_ready,
)

# Every other node is beside a server of the first one, which the requests go to.
SERVICES = ("huvo11a", "wuno96b")
# The late ping was sent before the departure and arrives this long after its ack.
PING_DELAY_S = 3.0
# The server serves on for this long after the ack.
SERVES_ON_S = 13.0
# touchMs, twice as long after a final fault that took most of the core.
IN_TOUCH_S = 2 * 3.0
DRAIN_TIMEOUT_S = 2.0
MIN_JUDGED_S = 2.0


async def _ask_forever(platform: Platform, record: Record) -> None:
    async with asyncio.TaskGroup() as group:
        while True:
            for node in platform.nodes:
                group.create_task(ask(node, record))
            await asyncio.sleep(0.1)


async def _case(platform: Platform, record: Record) -> str:
    servers = [Server(node, record) for node in platform.nodes]
    for server in servers:
        await server.start()
    operator = Operator(platform, record)
    await operator.replace(make_manifest(5, 0, SERVICES))
    await wait_until_ready(platform.nodes)
    clients = asyncio.create_task(_ask_forever(platform, record))
    await asyncio.sleep(3.0)
    leaving = servers[0]
    late_ping = leaving.ping_body()
    if not await leaving.deregister():
        raise SetupError("the departure was not acknowledged")
    acknowledged_at = time.monotonic()
    record(f"server {leaving.id}: departure acknowledged, serves on")
    if has_trouble():
        platform.kill_all(platform.machines)
        record("final fault: all processes are killed")
    await asyncio.sleep(PING_DELAY_S)
    if has_trouble():
        await wait_until_ready(platform.nodes)
    status = await leaving.call("instances.heartbeat", late_ping)
    record(f"server {leaving.id}: a ping from before the departure arrives: {status}")
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
    clients.cancel()
    await asyncio.gather(clients, return_exceptions=True)
    for server in servers:
        await server.stop()
    last_start_at = max(machine.started_at for machine in platform.machines)
    judged_from = max(acknowledged_at + DRAIN_TIMEOUT_S, last_start_at + IN_TOUCH_S)
    if judged_from + MIN_JUDGED_S > acknowledged_at + SERVES_ON_S:
        raise SetupError("the machines were in touch too late to judge")
    late = [attempt for at, attempt in leaving.runs if at > judged_from]
    others = sum(at > judged_from for s in servers[1:] for at, _ in s.runs)
    record(f"runs judged: {len(late)} at the server that left, {others} at the others")
    return (
        f"DRAIN: {len(late)} requests reached a server more than"
        f" {judged_from - acknowledged_at:.1f} s after its departure was acknowledged"
        if late
        else ""
    )


if __name__ == "__main__":
    run_case(FOLDER, lambda record: Platform(record, services=SERVICES), _case)
