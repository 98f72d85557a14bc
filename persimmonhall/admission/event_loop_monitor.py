"""Measure the event loop delay, by which tasks run later than scheduled."""

import trio
from absl import logging

from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.process_pauses import MIN_PROCESS_PAUSE_S, ProcessPauses

MEASUREMENT_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = MIN_PROCESS_PAUSE_S / 2


async def monitor_event_loop(
    self_limit: SelfLimit, process_pauses: ProcessPauses
) -> None:
    """Update the self-limit until cancelled; log when it starts and stops refusing."""
    process_pauses.record_heartbeat(trio.current_time())
    while True:
        # Without requests there is nothing to refuse, so no delay is measured.
        await _wait_for_request(self_limit, process_pauses)
        due = trio.current_time() + MEASUREMENT_INTERVAL_S
        await trio.sleep_until(due)
        now = trio.current_time()
        process_pauses.record_heartbeat(now)
        before = self_limit.overload_level
        self_limit.record_delay(now - due)
        if (before > 0) != (self_limit.overload_level > 0):
            logging.warning(
                "self-limit level=%.2f lag_ms=%.0f",
                self_limit.overload_level,
                self_limit.event_loop_delay_s * 1000,
            )


async def _wait_for_request(
    self_limit: SelfLimit, process_pauses: ProcessPauses
) -> None:
    while True:
        with trio.move_on_after(IDLE_CHECK_INTERVAL_S):
            await self_limit.wait_for_request()
            return
        process_pauses.record_heartbeat(trio.current_time())
