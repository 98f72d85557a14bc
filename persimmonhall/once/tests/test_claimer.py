"""Check what a gate does when the log answers late, twice or not at all."""

import pytest
import trio
from returns.result import Failure, Success

from persimmonhall.errors import ErrorKind, Ran, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import Fingerprint, NodeName
from persimmonhall.once.claimer import Claimer, Holder
from persimmonhall.once.claims import ClaimTable
from persimmonhall.once.messages import ClaimKey, ClaimState, FinishKey, ReleaseKey
from persimmonhall.once.quorum import PROBE_INTERVAL_S, QuorumBreaker
from persimmonhall.once.settler import Settler
from tests.builders import KEY, SERVICE, make_call

DONE = Success(HttpAnswer(200, (), b"done"))
LOST = Failure(refuse(ErrorKind.CONNECTION_LOST, "lost"))
REFUSED = Failure(refuse(ErrorKind.CONNECT_FAILED, "refused"))
DEADLINE_S = 1.5


class FakeControl:
    """Apply commands to a table; delay or lose replies to claims."""

    def __init__(self, faults: list[str]):
        self.table = ClaimTable()
        self._faults = faults

    async def submit(self, command):
        """Apply one command with the next fault, if it is a claim."""
        fault = self._faults.pop(0) if self._faults else ""
        if not isinstance(command, ClaimKey):
            return Success(self._apply(command))
        if fault == "down":
            return Failure(refuse(ErrorKind.NO_QUORUM, "down", ran=Ran.NO))
        if fault == "lost before":
            await trio.sleep_forever()
        reply = self.table.claim(command)
        if fault == "lost after":
            await trio.sleep_forever()
        if fault == "unknown":
            return Failure(refuse(ErrorKind.NO_QUORUM, "lost", ran=Ran.UNKNOWN))
        return Success(reply)

    def _apply(self, command) -> None:
        match command:
            case FinishKey():
                self.table.finish(command)
            case ReleaseKey():
                self.table.release(command)


CASES = {
    "granted": ([], DONE, "200", 1, ClaimState.FINISHED),
    "lost outcome": ([], LOST, "connectionLost", 1, ClaimState.UNKNOWN),
    "proven not run": ([], REFUSED, "connectFailed", 1, ClaimState.RELEASED),
    "reply lost": (["lost after"], DONE, "200", 1, ClaimState.FINISHED),
    "claim lost": (["lost before"], DONE, "200", 1, ClaimState.FINISHED),
    "outcome unknown": (["unknown"], DONE, "200", 1, ClaimState.FINISHED),
    "control down": (["down"], DONE, "noQuorum", 0, ClaimState.RELEASED),
    "never answered": (["lost after"] * 9, DONE, "noQuorum", 0, ClaimState.RELEASED),
}


@pytest.mark.parametrize("name", CASES)
async def test_run(name, nursery, autojump_clock):
    faults, sent, outcome, runs, state = CASES[name]
    control = FakeControl(list(faults))
    settler = Settler(control, nursery)
    holder = Holder(NodeName("suva-cue-1"), 1)
    claimer = Claimer(holder, control, settler, lambda node, incarnation: True)
    sends = 0

    async def send():
        nonlocal sends
        sends += 1
        return sent

    call = make_call(idempotent=False, key=KEY)
    with trio.fail_after(DEADLINE_S):
        result = await claimer.run(call, Fingerprint(7), send)
    await settler.wait_idle(DEADLINE_S)
    found = result.map(lambda a: str(a.status)).alt(lambda r: r.kind.value)
    assert (found.value_or(None) or found.failure(), sends) == (outcome, runs)
    assert control.table.get(SERVICE, KEY).state is state


async def test_cancelled_run_is_unknown(nursery, autojump_clock):
    control = FakeControl([])
    settler = Settler(control, nursery)
    holder = Holder(NodeName("suva-cue-1"), 1)
    claimer = Claimer(holder, control, settler, lambda node, incarnation: True)
    with trio.move_on_after(DEADLINE_S):
        call = make_call(idempotent=False, key=KEY)
        await claimer.run(call, Fingerprint(7), trio.sleep_forever)
    await settler.wait_idle(DEADLINE_S)
    assert control.table.get(SERVICE, KEY).state is ClaimState.UNKNOWN


def test_breaker_lets_one_probe_through():
    breaker = QuorumBreaker()
    assert breaker.allow(0.0)
    breaker.record(0.0, reached=False)
    assert not breaker.allow(PROBE_INTERVAL_S / 2)
    assert breaker.allow(PROBE_INTERVAL_S)
    assert not breaker.allow(PROBE_INTERVAL_S)
    breaker.record(PROBE_INTERVAL_S, reached=True)
    assert breaker.allow(PROBE_INTERVAL_S)
