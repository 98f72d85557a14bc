"""Check that a pause of this process is not attributed to servers."""

from collections import Counter

import trio

from persimmonhall.address import Address
from persimmonhall.admission.event_loop_monitor import monitor_event_loop
from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.backend import Backend
from persimmonhall.call.gate import Gate
from persimmonhall.call.gate_client import NO_LOAD
from persimmonhall.call.messages import Answered
from persimmonhall.call.tests.call_tree import DEADLINE_S, CallTreeModel
from persimmonhall.ids import NodeName, ServiceName
from persimmonhall.membership.backend_watch import ANNOUNCEMENT_TIMEOUT_S, BackendWatch
from persimmonhall.process_pauses import ProcessPauses

IN_FLIGHT = 8
CALLS = 40
BACKEND = Backend(ServiceName("cue"), Address("127.0.0.1", 9), 1, 10)


class _BlockingCallTree(CallTreeModel):
    """Block every call until released and count the calls per server."""

    def __init__(self, process_pauses: ProcessPauses):
        super().__init__(1, retries=0, process_pauses=process_pauses)
        self.released = trio.Event()
        self.called: Counter[NodeName] = Counter()

    async def call(self, member, call, reservation):
        self.called[member.node] += 1
        await self.released.wait()
        return Answered(200, (), b"", NO_LOAD)


def _start_monitor(nursery: trio.Nursery) -> ProcessPauses:
    process_pauses = ProcessPauses()
    nursery.start_soon(monitor_event_loop, SelfLimit(), process_pauses)
    return process_pauses


async def test_calls_ended_by_a_process_pause_eject_no_server(nursery, autojump_clock):
    model = _BlockingCallTree(_start_monitor(nursery))
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


class _FakeGossiper:
    """Replace the gossiper."""

    def announce(self, service, slots, state) -> None:
        """Do nothing."""


async def test_backend_server_is_kept_after_a_pause_and_dropped_when_silent(
    nursery, autojump_clock
):
    gate = Gate()
    watch = BackendWatch(gate, _FakeGossiper(), _start_monitor(nursery))
    watch.handle_announcement(BACKEND)
    nursery.start_soon(watch.run)
    await trio.sleep(0.1)
    autojump_clock.jump(ANNOUNCEMENT_TIMEOUT_S + 1)
    await trio.sleep(1)
    assert gate.backend == BACKEND
    await trio.sleep(ANNOUNCEMENT_TIMEOUT_S)
    assert gate.backend is None
