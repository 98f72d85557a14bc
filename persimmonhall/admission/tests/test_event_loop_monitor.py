"""Check when the event loop delay is measured."""

import time
from contextlib import asynccontextmanager

import trio
import trio.testing

from persimmonhall.admission.event_loop_monitor import (
    MEASUREMENT_INTERVAL_S,
    monitor_event_loop,
)
from persimmonhall.admission.self_limit import MAX_EVENT_LOOP_DELAY_S, SelfLimit
from persimmonhall.document.schema import Worth
from persimmonhall.ids import RootId
from persimmonhall.process_pauses import MIN_PROCESS_PAUSE_S, ProcessPauses

ROOT = RootId("a")
IDLE_TIME_S = 100.0


class _CountingSelfLimit(SelfLimit):
    """Count the measurements."""

    def __init__(self):
        super().__init__()
        self.measurement_count = 0

    def record_delay(self, delay_s: float) -> None:
        """Count one measurement."""
        self.measurement_count += 1
        super().record_delay(delay_s)


@asynccontextmanager
async def _monitored_self_limit(process_pauses: ProcessPauses | None = None):
    """Yield a self-limit that the event loop monitor updates."""
    limit = _CountingSelfLimit()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor_event_loop, limit, process_pauses or ProcessPauses())
        yield limit
        nursery.cancel_scope.cancel()


async def test_idle_node_measures_no_delay(autojump_clock):
    async with _monitored_self_limit() as limit:
        await trio.sleep(IDLE_TIME_S)
        assert limit.measurement_count == 0


async def test_delay_is_measured_while_requests_arrive(autojump_clock):
    async with _monitored_self_limit() as limit:
        for _ in range(20):
            limit.refusal(Worth.STANDARD, ROOT)
            await trio.sleep(MEASUREMENT_INTERVAL_S)
        assert limit.measurement_count in (19, 20)
        await trio.sleep(IDLE_TIME_S)
        assert limit.measurement_count in (20, 21)


async def test_refusals_end_with_the_delay_although_no_request_arrives(autojump_clock):
    async with _monitored_self_limit() as limit:
        limit.refusal(Worth.INTERNAL, ROOT)
        for _ in range(10):
            limit.record_delay(2 * MAX_EVENT_LOOP_DELAY_S)
        assert limit.overload_level > 1
        await trio.sleep(IDLE_TIME_S)
        assert limit.overload_level == 0


async def test_first_measurement_after_idle_time_detects_a_delay():
    async with _monitored_self_limit() as limit:
        await trio.testing.wait_all_tasks_blocked()
        limit.refusal(Worth.INTERNAL, ROOT)
        await trio.testing.wait_all_tasks_blocked()
        time.sleep(MEASUREMENT_INTERVAL_S + 2 * MAX_EVENT_LOOP_DELAY_S)  # noqa: ASYNC251
        with trio.fail_after(5):
            while not limit.measurement_count:
                await trio.sleep(MEASUREMENT_INTERVAL_S / 10)
        assert limit.overload_level > 0


async def test_idle_time_is_no_process_pause_but_a_pause_within_it_is(autojump_clock):
    process_pauses = ProcessPauses()
    async with _monitored_self_limit(process_pauses) as limit:
        await trio.sleep(IDLE_TIME_S)
        limit.refusal(Worth.STANDARD, ROOT)
        await trio.sleep(2 * MEASUREMENT_INTERVAL_S)
        assert not process_pauses.has_paused_since(0.0, trio.current_time())
        await trio.sleep(IDLE_TIME_S)
        begin = trio.current_time()
        autojump_clock.jump(2 * MIN_PROCESS_PAUSE_S)
        await trio.sleep(MEASUREMENT_INTERVAL_S)
        assert process_pauses.has_paused_since(begin, trio.current_time())
