"""Measure how late the event loop runs its tasks."""

import trio
from absl import logging

from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.process_pauses import MIN_PROCESS_PAUSE_S, ProcessPauses

INTERVAL_S = 0.05
IDLE_BEAT_S = MIN_PROCESS_PAUSE_S / 2


async def probe_lag(self_limit: SelfLimit, stalls: ProcessPauses) -> None:
    """Feed the self-limit until cancelled; log when it begins and ends to refuse."""
    stalls.record_heartbeat(trio.current_time())
    while True:
        # A node that no request asks has nothing to refuse.
        await _wait_for_use(self_limit, stalls)
        due = trio.current_time() + INTERVAL_S
        await trio.sleep_until(due)
        now = trio.current_time()
        stalls.record_heartbeat(now)
        before = self_limit.level
        self_limit.observe(now - due)
        if (before > 0) != (self_limit.level > 0):
            logging.warning(
                "self-limit level=%.2f lag_ms=%.0f",
                self_limit.level,
                self_limit.lag * 1000,
            )


async def _wait_for_use(self_limit: SelfLimit, stalls: ProcessPauses) -> None:
    while True:
        with trio.move_on_after(IDLE_BEAT_S):
            await self_limit.wait_for_use()
            return
        stalls.record_heartbeat(trio.current_time())
