"""Check the gate with a backend server that answers on demand."""

from dataclasses import replace

import pytest
import trio
from returns.result import Result, Success

from persimmonhall.address import Address
from persimmonhall.admission.event_loop_monitor import monitor_event_loop
from persimmonhall.admission.self_limit import SelfLimit
from persimmonhall.call.backend import Backend, BackendState
from persimmonhall.call.chain import CHAIN_HEADER, parse_chain
from persimmonhall.call.gate import Gate
from persimmonhall.call.messages import Answered, Refused
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.ids import RootId, ServiceName
from persimmonhall.process_pauses import ProcessPauses
from tests.builders import make_call

BACKEND = Backend(ServiceName("cue"), Address("127.0.0.1", 9), 1, 10)


class BlockingClient:
    """Hold every request until the event is set."""

    def __init__(self):
        self.release = trio.Event()
        self.requests: list[HttpRequest] = []

    async def send(self, address, request, max_answer_bytes, reservation) -> Result:
        """Answer once released."""
        self.requests.append(request)
        await self.release.wait()
        return Success(HttpAnswer(200, ()))


class SlowClaims:
    """Wait for a claim before each request is sent."""

    def __init__(self):
        self.seconds = 0.0

    def refusal(self, call) -> None:
        """Refuse nothing."""

    async def run(self, call, address, slot, send) -> Result:
        """Send after the wait."""
        await trio.sleep(self.seconds)
        return await send()


class GateCalls:
    """Run calls at a gate with one slot and record the replies."""

    def __init__(self, nursery: trio.Nursery, **options):
        self.client = BlockingClient()
        self.replies: dict[str, Answered | Refused] = {}
        self.gate = Gate(make_client=lambda connections: self.client, **options)
        self._nursery = nursery
        self.gate.set_backend(BACKEND)

    async def start(self, name: str, **changes) -> None:
        """Start a call and wait until it runs or is queued."""
        call = make_call(remaining_ms=5000, **changes)

        async def run() -> None:
            self.replies[name] = await self.gate.run(call)

        self._nursery.start_soon(run)
        await trio.testing.wait_all_tasks_blocked()


CLOSING_CASES = {
    "the node leaves": (lambda gate: gate.drain(), ErrorKind.LEAVING),
    "the backend server leaves": (
        lambda gate: gate.set_backend(
            Backend(BACKEND.service, BACKEND.address, 1, 10, state=BackendState.LEAVING)
        ),
        ErrorKind.LEAVING,
    ),
    "the backend server is gone": (
        lambda gate: gate.set_backend(None),
        ErrorKind.NO_SERVER,
    ),
}


@pytest.mark.parametrize("name", CLOSING_CASES)
async def test_closing_refuses_queued_calls_and_finishes_running_ones(
    name, nursery, autojump_clock
):
    end, kind = CLOSING_CASES[name]
    calls = GateCalls(nursery)
    await calls.start("running")
    await calls.start("waiting")
    end(calls.gate)
    await trio.testing.wait_all_tasks_blocked()
    refused = calls.replies["waiting"]
    assert (refused.kind, refused.ran) == (kind, Ran.NO)
    calls.client.release.set()
    await trio.testing.wait_all_tasks_blocked()
    assert calls.replies["running"].status == 200


async def test_backend_server_gone_before_the_first_byte_means_not_run(
    nursery, autojump_clock
):
    calls = GateCalls(nursery)
    await calls.start("running")
    await calls.start("waiting")
    calls.client.release.set()
    calls.gate.set_backend(None)
    await trio.testing.wait_all_tasks_blocked()
    refused = calls.replies["waiting"]
    assert (refused.kind, refused.ran) == (ErrorKind.NO_SERVER, Ran.NO)
    assert calls.gate.load.in_flight == 0


async def test_demoted_worth_is_passed_down_the_chain(nursery, autojump_clock):
    calls = GateCalls(nursery, critical_rate_per_s=lambda service: 0.01)
    calls.client.release.set()
    for number in range(6):
        await calls.start(f"call {number}", worth=Worth.CRITICAL)
    chains = [
        parse_chain(r.header(CHAIN_HEADER)).unwrap() for r in calls.client.requests
    ]
    assert [c.worth for c in chains] == [Worth.CRITICAL] * 5 + [Worth.CUSTOMER]
    assert calls.gate.counters.demoted == 1


async def test_load_reports_the_service_time(nursery, autojump_clock):
    calls = GateCalls(nursery)
    await calls.start("running")
    await trio.sleep(0.25)
    calls.client.release.set()
    await trio.testing.wait_all_tasks_blocked()
    assert calls.replies["running"].load.latency_us == 250_000


async def test_process_pause_is_not_counted_as_service_time(nursery, autojump_clock):
    process_pauses = ProcessPauses()
    nursery.start_soon(monitor_event_loop, SelfLimit(), process_pauses)
    calls = GateCalls(nursery, process_pauses=process_pauses)
    await calls.start("before")
    await trio.sleep(0.1)
    autojump_clock.jump(6.0)
    await trio.testing.wait_all_tasks_blocked()
    assert calls.replies["before"].kind is ErrorKind.DEADLINE_EXCEEDED
    calls.client.release.set()
    await calls.start("after")
    assert calls.replies["after"].status == 200


async def test_a_slow_claim_does_not_shrink_the_limit(nursery, autojump_clock):
    claims = SlowClaims()
    calls = GateCalls(nursery, runner=claims)
    calls.client.send = _answer_in_50_ms
    calls.gate.set_backend(replace(BACKEND, slots=4))
    limits = []

    async def call_on(caller: int, until: float) -> None:
        while trio.current_time() < until:
            root = RootId(f"root-{caller}")
            await calls.gate.run(make_call(remaining_ms=5000, root=root))
            limits.append(calls.gate.load.limit)
            await trio.sleep(0.01)

    for seconds, claim_s in ((2.0, 0.0), (20.0, 0.5)):
        claims.seconds = claim_s
        limits.clear()
        async with trio.open_nursery() as callers:
            for caller in range(8):
                callers.start_soon(call_on, caller, trio.current_time() + seconds)
    assert min(limits) == 4


async def test_a_call_that_ends_before_it_is_sent_frees_its_slot(
    nursery, autojump_clock
):
    claims = SlowClaims()
    calls = GateCalls(nursery, runner=claims)
    claims.seconds = 10.0
    await calls.start("claiming")
    await trio.sleep(5.0)
    await trio.testing.wait_all_tasks_blocked()
    assert calls.replies["claiming"].kind is ErrorKind.DEADLINE_EXCEEDED
    assert calls.client.requests == []
    assert calls.gate.load.in_flight == 0


async def _answer_in_50_ms(address, request, max_answer_bytes, reservation) -> Result:
    await trio.sleep(0.05)
    return Success(HttpAnswer(200, ()))
