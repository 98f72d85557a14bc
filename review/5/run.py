"""An operator makes hundreds of changes to a manifest with many routes.

All control processes take more memory than they have, again and again.
"""

import asyncio
import json
import time

from case import run_case
from deployment import exchange, make_manifest
from platform_memory import MemoryWatch

CORE_MEMORY_MB = 296
# Three times the largest count of big_config.
ROUTES = 3 * 1936
FEW_ROUTES = 8
GAP_S = 0.17
PLAY_S = 100.0
MAX_VERSIONS = 450
ANSWER_TIMEOUT_S = 10.0
# So many ends of a process, on half of the core, break the rule.
ENDS = 3


def make_text(routes):
    """Return a manifest as an operator's tool writes it, without its versions."""
    manifest = make_manifest(
        [
            {
                "name": f"r-{number:07d}",
                "host": f"host{number % 7}.example",
                "pathPrefix": f"/p{number}/",
                "service": "up",
            }
            for number in range(routes)
        ],
        "@VERS@@",
        "@BASE@@",
    )
    return json.dumps(manifest, indent=4).encode()


async def put(addresses, data, record):
    """Send a change to one control machine after the other until it is acked."""
    head = (
        "POST /rpc?call=configuration.replace HTTP/1.1\r\nHost: control\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    backoff_s = 0.05
    while True:
        for address in addresses:
            try:
                request = head.encode() + data
                answer = await exchange(address, request, ANSWER_TIMEOUT_S)
                status = answer[0]
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                status = type(error).__name__
            if status == 200:
                return
            record.write(f"operator: {status} from {address}")
            if status in (400, 409, 412, 413, 422):
                raise RuntimeError(f"the change is refused with {status}")
            await asyncio.sleep(backoff_s)
        backoff_s = min(1.0, 2 * backoff_s)


async def play(deployment, has_trouble):
    """Change the manifest steadily."""
    record = deployment.record
    for control in deployment.controls:
        control.settings["limits"]["memoryMb"] = CORE_MEMORY_MB
    deployment.start()
    first = {"host": "a.example", "pathPrefix": "/a/", "service": "up"}
    await deployment.put_manifest(make_manifest([first]))
    addresses = [
        control.settings["listenAddresses"]["controlPlane"]
        for control in deployment.controls
    ]
    watches = [MemoryWatch(control, record) for control in deployment.controls]
    watching = [asyncio.create_task(watch.run()) for watch in watches]
    text = make_text(ROUTES if has_trouble else FEW_ROUTES)
    record.write(f"a manifest has {len(text)} bytes")
    end = time.monotonic() + PLAY_S
    version = 1
    while time.monotonic() < end and version < MAX_VERSIONS:
        began = time.monotonic()
        data = text.replace(b"@BASE@@", b"%08x" % version)
        data = data.replace(b"@VERS@@", b"%08x" % (version + 1))
        await put(addresses, data, record)
        version += 1
        if version % 20 == 0:
            record.write(f"version {version} is acked; {', '.join(map(str, watches))}")
        if 2 * sum(watch.kills >= ENDS for watch in watches) >= len(watches):
            break
        await asyncio.sleep(max(0, began + GAP_S - time.monotonic()))
    for task in watching:
        task.cancel()
    ends = [watch.kills for watch in watches]
    record.write(f"{version} versions; ends by memory: {ends}")
    if 2 * sum(count >= ENDS for count in ends) >= len(ends):
        return [f"Fault: control processes ended {ends} times for lack of memory"]
    return []


run_case(__file__, play)
