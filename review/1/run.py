"""A core machine is replaced as planned, the core killed, and later a disk lost.

The kill comes after the new machine has caught up, and before the control plane has
removed the old one from its voters.
"""

import asyncio
import shutil
import signal
import time
from pathlib import Path

from case import run_case
from deployment import GRACE_S, call_json, make_manifest

# After the new machine has started.
STOP_OLD_S = 2.0
# After the old machine has ended.
KILL_ALL_S = 2.5
BACK_S = 0.5
# Far longer than catchUpS and the time in which a replaced machine is retired.
CALM_S = 15.0
DISK_BACK_S = 1.0
RECOVERY_S = 15.0
READ_S = 25.0


async def operate(addresses, call, body, record):
    """Make a call at one machine after the other; return the answer, None if none."""
    for address in addresses:
        try:
            status, _, data = await call_json(
                address, f"/rpc?call=configuration.{call}", body, 3.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status, data = type(error).__name__, b""
        record.write(f"operator: {call} at {address}: {status}")
        if status == 200:
            return data
    return None


async def operate_until(addresses, call, body, record, end):
    """Repeat a call until it succeeds or the time is over."""
    while True:
        answer = await operate(addresses, call, body, record)
        if answer is not None or time.monotonic() > end:
            return answer
        await asyncio.sleep(0.5)


def address_of(control):
    """Return the address of the operator's API of a control machine."""
    return control.settings["listenAddresses"]["controlPlane"]


def wipe(control):
    """Empty the disk of a control machine."""
    folder = Path(control.settings["dataDirectory"])
    shutil.rmtree(folder)
    folder.mkdir()
    control.settings["bootstrap"] = False


async def play(deployment, has_trouble):
    """Replace a machine, kill the core, change the manifest, lose a disk, read back."""
    record = deployment.record
    old, second, third = deployment.controls
    deployment.start()
    route = {"host": "a.example", "pathPrefix": "/a/", "service": "alpha"}
    await deployment.put_manifest(make_manifest([route]))
    await asyncio.sleep(6)
    new = deployment.add_control("core-4", "zone-1")
    new.start()
    await asyncio.sleep(STOP_OLD_S)
    old.signal(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while not old.has_ended() and time.monotonic() < end:
        await asyncio.sleep(0.05)
    old.kill()
    record.write("core-1: gone for good")
    await asyncio.sleep(KILL_ALL_S)
    core = [second, third, new]
    if has_trouble:
        for control in core:
            control.kill()
        await asyncio.sleep(BACK_S)
        for control in core:
            control.start()
    await asyncio.sleep(CALM_S)
    addresses = [address_of(control) for control in core]
    manifest = make_manifest([route], "00000002", "00000001")
    end = time.monotonic() + RECOVERY_S
    if await operate_until(addresses, "replace", manifest, record, end) is None:
        raise RuntimeError("the second manifest is not acknowledged")
    record.write("operator: version 00000002 is acked; one disk is lost")
    second.kill()
    wipe(second)
    await asyncio.sleep(DISK_BACK_S)
    second.start()
    await asyncio.sleep(RECOVERY_S)
    end = time.monotonic() + READ_S
    text = await operate_until(addresses, "read", {}, record, end)
    if text is None:
        return [
            f"CONFIG: the acknowledged manifest is not read back within "
            f"{RECOVERY_S + READ_S:.0f} s after the loss of one disk"
        ]
    if b'"00000002"' not in text:
        return ["CONFIG: an older manifest is read back"]
    return []


run_case(__file__, play)
