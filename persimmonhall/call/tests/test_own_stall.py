"""Check that a node blames nobody for the time in which it stood still."""

from collections import Counter

import trio

from persimmonhall.address import Address
from persimmonhall.admission.event_loop_monitor import monitor_event_loop
from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.backend import Backend
from persimmonhall.call.gate import Gate
from persimmonhall.call.gates import NO_LOAD
from persimmonhall.call.messages import Answered
from persimmonhall.call.tests.hops import DEADLINE_S, HopModel
from persimmonhall.ids import NodeName, ServiceName
from persimmonhall.membership.announce import SILENCE_S, BackendWatch
from persimmonhall.stalls import Stalls

IN_FLIGHT = 8
CALLS = 40
BACKEND = Backend(ServiceName("cue"), Address("127.0.0.1", 9), 1, 10)


class _Held(HopModel):
    """Hold every call until released and count the calls by server."""

    def __init__(self, stalls: Stalls):
        super().__init__(1, retries=0, stalls=stalls)
        self.released = trio.Event()
        self.called: Counter[NodeName] = Counter()

    async def call(self, member, call, holding):
        self.called[member.node] += 1
        await self.released.wait()
        return Answered(200, (), b"", NO_LOAD)


def _start_probe(nursery: trio.Nursery) -> Stalls:
    stalls = Stalls()
    nursery.start_soon(monitor_event_loop, SelfLimit(), stalls)
    return stalls


async def test_entry_keeps_servers_whose_calls_ended_in_its_own_stall(
    nursery, autojump_clock
):
    model = _Held(_start_probe(nursery))
    for _ in range(IN_FLIGHT):
        nursery.start_soon(model.send)
    await trio.sleep(0.1)
    autojump_clock.jump(DEADLINE_S + 1)
    await trio.testing.wait_all_tasks_blocked()
    model.released.set()
    model.called.clear()
    for _ in range(CALLS):
        await model.send()
    assert len(model.called) == 2


class _Announced:
    """Stand in for the gossiper."""

    def announce(self, service, slots, state) -> None:
        """Tell nobody."""


async def test_backend_server_is_kept_after_a_stall_and_dropped_when_silent(
    nursery, autojump_clock
):
    gate = Gate()
    watch = BackendWatch(gate, _Announced(), _start_probe(nursery))
    watch.take(BACKEND)
    nursery.start_soon(watch.run)
    await trio.sleep(0.1)
    autojump_clock.jump(SILENCE_S + 1)
    await trio.sleep(1)
    assert gate.backend == BACKEND
    await trio.sleep(SILENCE_S)
    assert gate.backend is None
