"""Advance the log clock, so that claims expire identically on every replica."""

from collections.abc import Awaitable, Callable

import trio
from returns.result import Result, Success

from persimmonhall.control.messages import COMMANDS
from persimmonhall.once.messages import ElapseTime

TICK_INTERVAL_S = 60.0


async def run_log_clock(submit: Callable[[bytes], Awaitable[Result]]) -> None:
    """Submit the time since the last accepted tick, until cancelled.

    Only the leader accepts a tick. The tick after a failed one submits zero
    elapsed time, so that two replicas never count the same interval.
    """
    last_tick_at: float | None = None
    while True:
        now = trio.current_time()
        elapsed_s = now - last_tick_at if last_tick_at is not None else 0.0
        command = ElapseTime(int(elapsed_s * 1000))
        match await submit(COMMANDS.encode(command)):
            case Success():
                last_tick_at = now
            case _:
                last_tick_at = None
        await trio.sleep(TICK_INTERVAL_S)
