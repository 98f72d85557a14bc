"""Check the gate with a backend server that answers when told."""

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
from persimmonhall.stalls import Stalls
from tests.builders import make_call

BACKEND = Backend(ServiceName("cue"), Address("127.0.0.1", 9), 1, 10)


class HeldClient:
    """Hold every request until the event is set."""

    def __init__(self):
        self.release = trio.Event()
        self.requests: list[HttpRequest] = []

    async def send(self, address, request, max_answer_bytes, holding) -> Result:
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


class Calls:
    """Run calls at a gate with one slot and keep the replies."""

    def __init__(self, nursery: trio.Nursery, **options):
        self.client = HeldClient()
        self.replies: dict[str, Answered | Refused] = {}
        self.gate = Gate(make_client=lambda connections: self.client, **options)
        self._nursery = nursery
        self.gate.set_backend(BACKEND)

    async def start(self, name: str, **changes) -> None:
        """Start a call and wait until it runs or waits."""
        call = make_call(remaining_ms=5000, **changes)

        async def run() -> None:
            self.replies[name] = await self.gate.run(call)

        self._nursery.start_soon(run)
        await trio.testing.wait_all_tasks_blocked()


ENDINGS = {
    "the node leaves": (lambda gate: gate.leave(), ErrorKind.LEAVING),
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


@pytest.mark.parametrize("name", ENDINGS)
async def test_what_waits_is_handed_back_and_what_runs_finishes(
    name, nursery, autojump_clock
):
    end, kind = ENDINGS[name]
    calls = Calls(nursery)
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
    calls = Calls(nursery)
    await calls.start("running")
    await calls.start("waiting")
    calls.client.release.set()
    calls.gate.set_backend(None)
    await trio.testing.wait_all_tasks_blocked()
    refused = calls.replies["waiting"]
    assert (refused.kind, refused.ran) == (ErrorKind.NO_SERVER, Ran.NO)
    assert calls.gate.load.in_flight == 0


async def test_demoted_worth_goes_down_the_chain(nursery, autojump_clock):
    calls = Calls(nursery, critical_share=lambda service: 0.01)
    calls.client.release.set()
    for number in range(6):
        await calls.start(f"call {number}", worth=Worth.CRITICAL)
    chains = [
        parse_chain(r.header(CHAIN_HEADER)).unwrap() for r in calls.client.requests
    ]
    assert [c.worth for c in chains] == [Worth.CRITICAL] * 5 + [Worth.CUSTOMER]
    assert calls.gate.counters.demoted == 1


async def test_load_tells_the_service_time(nursery, autojump_clock):
    calls = Calls(nursery)
    await calls.start("running")
    await trio.sleep(0.25)
    calls.client.release.set()
    await trio.testing.wait_all_tasks_blocked()
    assert calls.replies["running"].load.latency_us == 250_000


async def test_stall_of_this_process_is_no_service_time(nursery, autojump_clock):
    stalls = Stalls()
    nursery.start_soon(monitor_event_loop, SelfLimit(), stalls)
    calls = Calls(nursery, stalls=stalls)
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
    calls = Calls(nursery, runner=claims)
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
    calls = Calls(nursery, runner=claims)
    claims.seconds = 10.0
    await calls.start("claiming")
    await trio.sleep(5.0)
    await trio.testing.wait_all_tasks_blocked()
    assert calls.replies["claiming"].kind is ErrorKind.DEADLINE_EXCEEDED
    assert calls.client.requests == []
    assert calls.gate.load.in_flight == 0


async def _answer_in_50_ms(address, request, max_answer_bytes, holding) -> Result:
    await trio.sleep(0.05)
    return Success(HttpAnswer(200, ()))
