"""Check that a pause of this process is not attributed to servers."""

from collections import Counter

import pytest
import trio
from returns.result import Success

from persimmonhall.address import Address
from persimmonhall.admission.event_loop_monitor import monitor_event_loop
from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.backend import Backend
from persimmonhall.call.gate import Gate
from persimmonhall.call.gate_client import NO_LOAD
from persimmonhall.call.messages import REPLIES, Answered, encode_call
from persimmonhall.call.tests.call_tree import DEADLINE_S, CallTreeModel
from persimmonhall.errors import Ran
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import NodeName, ServiceName
from persimmonhall.membership.backend_watch import ANNOUNCEMENT_TIMEOUT_S, BackendWatch
from persimmonhall.process_pauses import ProcessPauses
from tests.builders import make_call

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


class _CountingClient:
    """Count the requests that reach the backend server."""

    sent = 0

    async def send(self, address, request, max_answer_bytes, reservation):
        """Answer at once."""
        self.sent += 1
        return Success(HttpAnswer(200, ()))


@pytest.mark.parametrize(("remaining_ms", "sent"), [(3000, 0), (9000, 1)])
async def test_gate_sends_no_call_that_lay_unread_beyond_its_time(
    nursery, autojump_clock, remaining_ms, sent
):
    client, pauses = _CountingClient(), _start_monitor(nursery)
    gate = Gate(make_client=lambda connections: client, process_pauses=pauses)
    gate.set_backend(BACKEND)
    await trio.sleep(0.1)
    autojump_clock.jump(4)
    call = make_call(service=BACKEND.service, remaining_ms=remaining_ms)
    reply = REPLIES.decode((await gate.handle(encode_call(call))).payload)
    assert client.sent == sent
    assert sent or reply.ran is Ran.NO
