"""Run one case: exit with 1 if the rule was broken, 0 if it held, 2 if it can't run."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

from deployment import Deployment, Record

LIMIT_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(script, play, *, controls=3):
    """Play a case; `play` gets the deployment and whether there is trouble.

    It returns a list of what broke the rule.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    try:
        breaks = _run(Path(script), play, controls)
    except Exception:
        # Python would exit with 1, which says that the rule was broken.
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in breaks:
        print(line)
    sys.exit(BROKEN if breaks else HELD)


def _run(script, play, controls):
    record = Record(script.with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {has_trouble}")
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), record, controls=controls)
        try:
            breaks = asyncio.run(_play(play, deployment, has_trouble))
        except Exception:
            record.write(traceback.format_exc())
            _keep_logs(Path(folder), record)
            raise
        finally:
            deployment.stop()
        if os.environ.get("KEEP_LOGS"):
            _keep_logs(Path(folder), record)
    for line in breaks:
        record.write(f"BROKEN {line}")
    record.write("the rule was broken" if breaks else "the rule held")
    return breaks


async def _play(play, deployment, has_trouble):
    async with asyncio.timeout(LIMIT_S):
        return await play(deployment, has_trouble)


def _keep_logs(folder, record):
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines()[-200:]:
            record.write(f"{path.stem}| {line}")
