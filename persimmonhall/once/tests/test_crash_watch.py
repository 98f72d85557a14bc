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
from persimmonhall.once.claimer import Holder
from persimmonhall.once.crash_messages import Suspicion
from persimmonhall.once.crash_watch import ABANDONED_S, CrashWatch
from persimmonhall.once.spread import SuspectSpreader
from persimmonhall.once.suspects import SuspectTable
from persimmonhall.wire.link import LinkPool
from tests.builders import make_call, make_member, make_suspect_request

FINGERPRINT = Fingerprint(1)
LOST = Failure(refuse(ErrorKind.CONNECTION_LOST, "lost"))
NOT_CONNECTED = Failure(refuse(ErrorKind.CONNECT_FAILED, "not connected"))


class Gate:
    """Run a crash detector beside a backend server that is alive or dead."""

    def __init__(self, nursery: trio.Nursery, address: Address):
        self.suspects = SuspectTable()
        members = MemberTable(make_member(1))
        spreader = SuspectSpreader(
            self.suspects, members, LinkPool(nursery), nursery, random.Random(1)
        )
        self.deaths = 0
        holder = Holder(NodeName("suva-cue-1"), 1)
        self._address = address
        self._watch = CrashWatch(holder, self.suspects, spreader, self._count_death)

    def _count_death(self) -> None:
        self.deaths += 1

    def report(self, *deaths: str) -> None:
        """Record earlier deaths with the request in flight."""
        request = make_suspect_request(FINGERPRINT)
        for death in deaths:
            self.suspects.report(DeathId(death), [request], trio.current_time())

    def suspicion(self, fingerprint: int = FINGERPRINT) -> Suspicion:
        """Return how the gate treats a request."""
        return self.suspects.suspicion(Fingerprint(fingerprint), trio.current_time())

    async def run(self, send, fingerprint: int = FINGERPRINT):
        """Run one request."""
        key = Fingerprint(fingerprint)
        return await self._watch.run(make_call(), key, self._address, send)


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


def answering(status: int):
    """Return a send function that gets an answer with a status."""

    async def send():
        return Success(HttpAnswer(status, ()))

    return send


async def lose():
    """Simulate a lost connection."""
    return LOST


@pytest.mark.parametrize("alive", [True, False])
async def test_only_a_refusing_server_is_dead(alive):
    async with open_gate(alive=alive) as gate, trio.open_nursery() as nursery:
        nursery.start_soon(gate.run, trio.sleep_forever, 2)
        await trio.testing.wait_all_tasks_blocked()
        await gate.run(lose)
        nursery.cancel_scope.cancel()
    expected = Suspicion.NONE if alive else Suspicion.SUSPECT
    assert (gate.suspicion(1), gate.suspicion(2)) == (expected, expected)
    assert gate.deaths == (0 if alive else 1)


async def test_all_losses_of_one_death_count_once():
    async with open_gate(alive=False) as gate, trio.open_nursery() as nursery:
        for number in (1, 1, 2):
            nursery.start_soon(gate.run, lose, number)
    assert gate.deaths == 1
    assert gate.suspicion() is Suspicion.SUSPECT


async def _give_up(gate: Gate, fingerprint: int) -> None:
    """Run a request whose caller disconnects while it runs."""
    with trio.move_on_after(0) as scope:
        await gate.run(trio.sleep_forever, fingerprint)
    assert scope.cancelled_caught


NOTICED_BY = {"a lost connection": LOST, "no connection": NOT_CONNECTED}


@pytest.mark.parametrize("name", NOTICED_BY)
async def test_death_implicates_requests_given_up_just_before(name):
    async def send():
        return NOTICED_BY[name]

    async with open_gate(alive=False) as gate:
        await _give_up(gate, 2)
        await gate.run(send, 3)
        assert gate.deaths == 1
        assert gate.suspicion(2) is Suspicion.SUSPECT
        was_sent = NOTICED_BY[name] is LOST
        expected = Suspicion.SUSPECT if was_sent else Suspicion.NONE
        assert gate.suspicion(3) is expected


async def test_death_spares_requests_given_up_long_before(autojump_clock):
    async with open_gate(alive=False) as gate:
        await _give_up(gate, 2)
        await trio.sleep(ABANDONED_S + 1)
        await gate.run(lose)
        assert gate.suspicion(2) is Suspicion.NONE


CLEARING = {
    "a whole answer": (["a"], 200, Suspicion.NONE),
    "an answer with an error": (["a"], 500, Suspicion.NONE),
    "the server sheds load": (["a"], 503, Suspicion.SUSPECT),
}


@pytest.mark.parametrize("name", CLEARING)
async def test_clearing(name):
    deaths, status, expected = CLEARING[name]
    async with open_gate(alive=True) as gate:
        gate.report(*deaths)
        await gate.run(answering(status))
        assert gate.suspicion() is expected


async def test_quarantined_request_is_not_sent():
    async with open_gate(alive=True) as gate:
        gate.report("a", "b")
        result = await gate.run(answering(200))
        assert result.failure().kind is ErrorKind.QUARANTINED
        assert gate.suspicion() is Suspicion.QUARANTINED


async def test_copy_that_finishes_elsewhere_ends_a_quarantine():
    async with open_gate(alive=True) as gate:

        async def send():
            gate.report("a", "b")
            return await answering(200)()

        await gate.run(send)
        assert gate.suspicion() is Suspicion.NONE


async def test_suspects_run_one_at_a_time():
    running = most = 0
    async with open_gate(alive=True) as gate:
        gate.report("a")

        async def send():
            nonlocal running, most
            running += 1
            most = max(most, running)
            await trio.testing.wait_all_tasks_blocked()
            running -= 1
            return LOST

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(gate.run, send)
    assert most == 1
