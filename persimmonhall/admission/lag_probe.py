"""Measure the event loop delay, by which tasks run later than scheduled."""

import trio
from absl import logging

from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.stalls import STALL_S, Stalls

INTERVAL_S = 0.05
IDLE_BEAT_S = STALL_S / 2


async def probe_lag(self_limit: SelfLimit, stalls: Stalls) -> None:
    """Update the self-limit until cancelled; log when it starts and stops refusing."""
    stalls.beat(trio.current_time())
    while True:
        # Without requests there is nothing to refuse, so no delay is measured.
        await _wait_for_use(self_limit, stalls)
        due = trio.current_time() + INTERVAL_S
        await trio.sleep_until(due)
        now = trio.current_time()
        stalls.beat(now)
        before = self_limit.level
        self_limit.observe(now - due)
        if (before > 0) != (self_limit.level > 0):
            logging.warning(
                "self-limit level=%.2f lag_ms=%.0f",
                self_limit.level,
                self_limit.lag * 1000,
            )


async def _wait_for_use(self_limit: SelfLimit, stalls: Stalls) -> None:
    while True:
        with trio.move_on_after(IDLE_BEAT_S):
            await self_limit.wait_for_use()
            return
        stalls.beat(trio.current_time())
