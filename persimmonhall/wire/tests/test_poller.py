"""Check which work a poller does outside the scheduler, and that tasks still run."""

import os
import select
import socket as sockets
import threading

import pytest
import trio

from persimmonhall.timers import Timers
from persimmonhall.wire import scheduler
from persimmonhall.wire.poller import Poller
from persimmonhall.wire.scheduler import find_scheduler

MAX_DELAY_S = 0.25


class _PassCounter(trio.abc.Instrument):
    """Count the passes of the scheduler."""

    def __init__(self):
        self.passes = 0

    def before_io_wait(self, timeout: float) -> None:
        self.passes += 1


@pytest.fixture
def pair():
    ours, peer = sockets.socketpair()
    ours.setblocking(False)
    with ours, peer:
        yield ours, peer


@pytest.fixture
def timers():
    return Timers()


@pytest.fixture
async def poller(nursery, timers):
    poller = Poller()
    nursery.start_soon(poller.run_alone, timers)
    await trio.sleep(0.01)
    return poller


async def test_parts_of_the_scheduler_are_known():
    assert find_scheduler() is not None


async def test_isolated_message_needs_no_pass_of_the_scheduler(poller, pair):
    ours, peer = pair
    finished = trio.Event()
    received = []

    def read(events):
        received.append(os.read(ours.fileno(), 1))
        if len(received) == 40:
            finished.set()

    def send_slowly():
        for _ in range(40):
            threading.Event().wait(0.008)
            peer.send(b"x")

    poller.add(ours.fileno(), select.EPOLLIN, read)
    counter = _PassCounter()
    trio.lowlevel.add_instrument(counter)
    threading.Thread(target=send_slowly, daemon=True).start()
    await finished.wait()
    trio.lowlevel.remove_instrument(counter)
    assert counter.passes < 10


async def test_callback_wakes_a_task(poller, pair):
    ours, peer = pair
    called = trio.Event()

    def read(events):
        poller.remove(ours.fileno())
        called.set()

    poller.add(ours.fileno(), select.EPOLLIN, read)
    peer.send(b"x")
    with trio.fail_after(MAX_DELAY_S):
        await called.wait()


async def test_task_that_sleeps_wakes_in_time(poller):
    for _ in range(5):
        start = trio.current_time()
        await trio.sleep(0.02)
        assert trio.current_time() - start < MAX_DELAY_S


async def test_timer_fires_in_time_without_a_pass_of_the_scheduler(poller, timers):
    counter = _PassCounter()
    trio.lowlevel.add_instrument(counter)
    fired_at = []
    start = trio.current_time()
    for number in range(1, 21):
        when = start + 0.01 * number
        timers.call_at(when, lambda: fired_at.append(trio.current_time()))
    cancelled = timers.call_at(start + 0.05, lambda: fired_at.append(0.0))
    cancelled.cancel()
    await trio.sleep(MAX_DELAY_S)
    trio.lowlevel.remove_instrument(counter)
    assert len(fired_at) == 20
    assert start + 0.01 <= fired_at[0] < start + 0.05
    assert counter.passes < 10


async def test_task_that_waits_for_input_wakes(poller, pair):
    ours, peer = pair
    threading.Timer(0.05, peer.send, (b"x",)).start()
    with trio.fail_after(MAX_DELAY_S):
        await trio.lowlevel.wait_readable(ours)


async def test_call_from_another_thread_wakes_a_task(poller):
    called = trio.Event()
    token = trio.lowlevel.current_trio_token()
    threading.Timer(0.05, token.run_sync_soon, (called.set,)).start()
    with trio.fail_after(MAX_DELAY_S):
        await called.wait()


async def test_busy_task_does_not_delay_messages(poller, pair, nursery):
    ours, peer = pair
    received_at = []

    async def stay_runnable():
        while True:
            await trio.lowlevel.checkpoint()

    def read(events):
        poller.remove(ours.fileno())
        received_at.append(trio.current_time())

    nursery.start_soon(stay_runnable)
    poller.add(ours.fileno(), select.EPOLLIN, read)
    start = trio.current_time()
    peer.send(b"x")
    await trio.sleep(0.1)
    assert received_at
    assert received_at[0] - start < 0.05


async def test_poller_serves_with_a_version_of_trio_that_hides_its_parts(
    nursery, pair, timers, monkeypatch
):
    ours, peer = pair
    monkeypatch.setattr(scheduler, "GLOBAL_RUN_CONTEXT", None)
    poller = Poller()
    called, fired = trio.Event(), trio.Event()

    def read(events):
        poller.remove(ours.fileno())
        called.set()

    nursery.start_soon(poller.run_alone, timers)
    poller.add(ours.fileno(), select.EPOLLIN, read)
    timers.call_at(timers.now() + 0.02, fired.set)
    peer.send(b"x")
    with trio.fail_after(MAX_DELAY_S):
        await called.wait()
        await fired.wait()


async def test_pollers_on_one_thread_do_not_delay_each_other(nursery, pair):
    ours, peer = pair
    pollers = Poller(), Poller()
    received = []

    def read(events):
        received.append(os.read(ours.fileno(), 1))

    for poller in pollers:
        nursery.start_soon(poller.run)
    pollers[0].add(ours.fileno(), select.EPOLLIN, read)
    await trio.sleep(0.02)
    peer.send(b"x")
    await trio.sleep(0.1)
    assert received
