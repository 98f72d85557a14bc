"""Advance the clock of the log, so that claims expire on every replica alike."""

from collections.abc import Awaitable, Callable

import trio
from returns.result import Result, Success

from persimmonhall.once.messages import ElapseTime

TICK_S = 60.0


async def run_log_clock(submit: Callable[[ElapseTime], Awaitable[Result]]) -> None:
    """Submit the time since this replica's last accepted tick, until cancelled.

    A tick after a failed one counts nothing, so leaders never count time twice.
    """
    last: float | None = None
    while True:
        now = trio.current_time()
        elapsed_s = now - last if last is not None else 0.0
        match await submit(ElapseTime(int(elapsed_s * 1000))):
            case Success():
                last = now
            case _:
                last = None
        await trio.sleep(TICK_S)
