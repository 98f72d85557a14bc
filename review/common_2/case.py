"""Run a case and turn its result into an exit status."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .platform import Platform, Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path,
    make_platform: Callable[[Record], Platform],
    case: Callable[[Platform, Record], Awaitable[str]],
) -> None:
    """Run a case, which returns how the rule was broken, empty if it held."""
    record = Record(folder / "record.txt")
    sys.exit(asyncio.run(_run(record, make_platform, case)))


async def _run(
    record: Record,
    make_platform: Callable[[Record], Platform],
    case: Callable[[Platform, Record], Awaitable[str]],
) -> int:
    platform = None
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        platform = make_platform(record)
        await platform.start()
        broken = await asyncio.wait_for(case(platform, record), TIME_LIMIT_S)
    except (Exception, asyncio.CancelledError) as error:
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        if platform is not None:
            await platform.stop()
    record(f"result: {broken or 'the rule held'}")
    print(broken or "the rule held")
    return BROKEN if broken else HELD
