"""Test how a gate detects deaths and treats suspects."""

import random
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from persimmonhall.address import Address
from persimmonhall.errors import ErrorKind, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import DeathId, Fingerprint, NodeName
from persimmonhall.membership.table import MemberTable
from persimmonhall.once.claimer import NodeIncarnation
from persimmonhall.once.crash_detector import ABANDONED_RUN_WINDOW_S, CrashDetector
from persimmonhall.once.crash_messages import Suspicion
from persimmonhall.once.propagation import SuspectPropagator
from persimmonhall.once.suspects import SuspectTable
from persimmonhall.wire.link import LinkPool
from tests.builders import make_call, make_member, make_suspect_request

FINGERPRINT = Fingerprint(1)
CONNECTION_LOST = Failure(refuse(ErrorKind.CONNECTION_LOST, "lost"))
NOT_CONNECTED = Failure(refuse(ErrorKind.CONNECT_FAILED, "not connected"))


class Gate:
    """Run a crash detector beside a backend server that is alive or dead."""

    def __init__(self, nursery: trio.Nursery, address: Address):
        self.suspects = SuspectTable()
        members = MemberTable(make_member(1))
        propagator = SuspectPropagator(
            self.suspects, members, LinkPool(nursery), nursery, random.Random(1)
        )
        self.deaths = 0
        holder = NodeIncarnation(NodeName("suva-cue-1"), 1)
        self._address = address
        self._detector = CrashDetector(
            holder, self.suspects, propagator, self._count_death
        )

    def _count_death(self) -> None:
        self.deaths += 1

    def record_deaths(self, *deaths: str) -> None:
        """Record earlier deaths with the request in flight."""
        request = make_suspect_request(FINGERPRINT)
        for death in deaths:
            self.suspects.record_death(DeathId(death), [request], trio.current_time())

    def suspicion(self, fingerprint: int = FINGERPRINT) -> Suspicion:
        """Return how the gate treats a request."""
        return self.suspects.suspicion(Fingerprint(fingerprint), trio.current_time())

    async def run(self, send, fingerprint: int = FINGERPRINT):
        """Run one request."""
        key = Fingerprint(fingerprint)
        return await self._detector.run(make_call(), key, self._address, send)


@asynccontextmanager
async def open_gate(*, alive: bool):
    """Open a gate whose backend server accepts or refuses connections."""
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()[:2]
        if not alive:
            await listener.aclose()
        yield Gate(nursery, Address(host, port))
        await listener.aclose()
        nursery.cancel_scope.cancel()


def make_send(status: int):
    """Return a send function that gets an answer with a status."""

    async def send():
        return Success(HttpAnswer(status, ()))

    return send


async def lose_connection():
    """Simulate a lost connection."""
    return CONNECTION_LOST


@pytest.mark.parametrize("alive", [True, False])
async def test_only_a_refusing_server_is_dead(alive):
    async with open_gate(alive=alive) as gate, trio.open_nursery() as nursery:
        nursery.start_soon(gate.run, trio.sleep_forever, 2)
        await trio.testing.wait_all_tasks_blocked()
        await gate.run(lose_connection)
        nursery.cancel_scope.cancel()
    expected = Suspicion.NONE if alive else Suspicion.SUSPECT
    assert (gate.suspicion(1), gate.suspicion(2)) == (expected, expected)
    assert gate.deaths == (0 if alive else 1)


async def test_several_lost_connections_count_as_one_death():
    async with open_gate(alive=False) as gate, trio.open_nursery() as nursery:
        for number in (1, 1, 2):
            nursery.start_soon(gate.run, lose_connection, number)
    assert gate.deaths == 1
    assert gate.suspicion() is Suspicion.SUSPECT


async def _abandon_request(gate: Gate, fingerprint: int) -> None:
    """Run a request whose caller disconnects while it runs."""
    with trio.move_on_after(0) as scope:
        await gate.run(trio.sleep_forever, fingerprint)
    assert scope.cancelled_caught


DETECTED_BY = {"a lost connection": CONNECTION_LOST, "no connection": NOT_CONNECTED}


@pytest.mark.parametrize("name", DETECTED_BY)
async def test_death_implicates_requests_abandoned_just_before(name):
    async def send():
        return DETECTED_BY[name]

    async with open_gate(alive=False) as gate:
        await _abandon_request(gate, 2)
        await gate.run(send, 3)
        assert gate.deaths == 1
        assert gate.suspicion(2) is Suspicion.SUSPECT
        was_sent = DETECTED_BY[name] is CONNECTION_LOST
        expected = Suspicion.SUSPECT if was_sent else Suspicion.NONE
        assert gate.suspicion(3) is expected


async def test_death_ignores_requests_abandoned_long_before(autojump_clock):
    async with open_gate(alive=False) as gate:
        await _abandon_request(gate, 2)
        await trio.sleep(ABANDONED_RUN_WINDOW_S + 1)
        await gate.run(lose_connection)
        assert gate.suspicion(2) is Suspicion.NONE


ANSWER_CASES = {
    "a whole answer": (["a"], 200, Suspicion.NONE),
    "an answer with an error": (["a"], 500, Suspicion.NONE),
    "the server sheds load": (["a"], 503, Suspicion.SUSPECT),
}


@pytest.mark.parametrize("name", ANSWER_CASES)
async def test_which_answers_clear_a_suspect(name):
    deaths, status, expected = ANSWER_CASES[name]
    async with open_gate(alive=True) as gate:
        gate.record_deaths(*deaths)
        await gate.run(make_send(status))
        assert gate.suspicion() is expected


async def test_quarantined_request_is_not_sent():
    async with open_gate(alive=True) as gate:
        gate.record_deaths("a", "b")
        result = await gate.run(make_send(200))
        assert result.failure().kind is ErrorKind.QUARANTINED
        assert gate.suspicion() is Suspicion.QUARANTINED


async def test_completed_request_ends_its_quarantine():
    async with open_gate(alive=True) as gate:

        async def send():
            gate.record_deaths("a", "b")
            return await make_send(200)()

        await gate.run(send)
        assert gate.suspicion() is Suspicion.NONE


async def test_suspects_run_one_at_a_time():
    running = max_running = 0
    async with open_gate(alive=True) as gate:
        gate.record_deaths("a")

        async def send():
            nonlocal running, max_running
            running += 1
            max_running = max(max_running, running)
            await trio.testing.wait_all_tasks_blocked()
            running -= 1
            return CONNECTION_LOST

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(gate.run, send)
    assert max_running == 1
