"""Check when the event loop delay is measured."""

import time
from contextlib import asynccontextmanager

import trio
import trio.testing

from persimmonhall.admission.lag_probe import INTERVAL_S, probe_lag
from persimmonhall.admission.self_limit import LAG_BOUND_S, SelfLimit
from persimmonhall.document.schema import Worth
from persimmonhall.ids import RootId
from persimmonhall.stalls import STALL_S, Stalls

ROOT = RootId("a")
IDLE_S = 100.0


class _CountingLimit(SelfLimit):
    """Count the measurements."""

    def __init__(self):
        super().__init__()
        self.measured = 0

    def observe(self, lag: float) -> None:
        """Count one measurement."""
        self.measured += 1
        super().observe(lag)


@asynccontextmanager
async def _probed_limit(stalls: Stalls | None = None):
    """Yield a self-limit that the event loop monitor updates."""
    limit = _CountingLimit()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe_lag, limit, stalls or Stalls())
        yield limit
        nursery.cancel_scope.cancel()


async def test_idle_node_measures_no_lag(autojump_clock):
    async with _probed_limit() as limit:
        await trio.sleep(IDLE_S)
        assert limit.measured == 0


async def test_lag_is_measured_while_requests_ask(autojump_clock):
    async with _probed_limit() as limit:
        for _ in range(20):
            limit.refusal(Worth.STANDARD, ROOT)
            await trio.sleep(INTERVAL_S)
        assert limit.measured in (19, 20)
        await trio.sleep(IDLE_S)
        assert limit.measured in (20, 21)


async def test_refusing_ends_with_the_lag_although_no_request_asks(autojump_clock):
    async with _probed_limit() as limit:
        limit.refusal(Worth.INTERNAL, ROOT)
        for _ in range(10):
            limit.observe(2 * LAG_BOUND_S)
        assert limit.level > 1
        await trio.sleep(IDLE_S)
        assert limit.level == 0


async def test_lag_after_an_idle_time_is_seen_by_the_first_measurement():
    async with _probed_limit() as limit:
        await trio.testing.wait_all_tasks_blocked()
        limit.refusal(Worth.INTERNAL, ROOT)
        await trio.testing.wait_all_tasks_blocked()
        time.sleep(INTERVAL_S + 2 * LAG_BOUND_S)  # noqa: ASYNC251
        with trio.fail_after(5):
            while not limit.measured:
                await trio.sleep(INTERVAL_S / 10)
        assert limit.level > 0


async def test_idle_time_is_no_stall_and_a_stall_in_it_is_one(autojump_clock):
    stalls = Stalls()
    async with _probed_limit(stalls) as limit:
        await trio.sleep(IDLE_S)
        limit.refusal(Worth.STANDARD, ROOT)
        await trio.sleep(2 * INTERVAL_S)
        assert not stalls.has_hit(0.0, trio.current_time())
        await trio.sleep(IDLE_S)
        begin = trio.current_time()
        autojump_clock.jump(2 * STALL_S)
        await trio.sleep(INTERVAL_S)
        assert stalls.has_hit(begin, trio.current_time())
