"""Check what a gate does when the log answers late, twice or not at all."""

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from persimmonhall.control.client import SILENCE_S
from persimmonhall.errors import ErrorKind, Ran, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import ClaimId, Fingerprint, NodeName
from persimmonhall.once.claimer import (
    END_PAUSE_S,
    MAX_WITHOUT_SLOT,
    Claimer,
    Holder,
)
from persimmonhall.once.claims import ClaimTable
from persimmonhall.once.messages import (
    ClaimKey,
    ClaimOutcome,
    ClaimState,
    ElapseTime,
    FinishKey,
    ReleaseKey,
)
from persimmonhall.once.quorum import (
    PATIENCE_S,
    PROBE_PAUSE_S,
    PROBE_TIMEOUT_S,
    QuorumWatch,
)
from persimmonhall.once.settler import Settler
from tests.builders import (
    KEY,
    SERVICE,
    make_call,
    make_claim,
    make_finish,
    make_release,
)

DONE = Success(HttpAnswer(200, (), b"done"))
LOST = Failure(refuse(ErrorKind.CONNECTION_LOST, "lost"))
REFUSED = Failure(refuse(ErrorKind.CONNECT_FAILED, "refused"))
DEADLINE_S = 1.5


class FakeControl:
    """Apply commands to a table; delay or lose replies to claims."""

    def __init__(self, faults: list[str], leader_at: float = 0.0):
        self.table = ClaimTable()
        self.leader_at = leader_at
        self.copy: ClaimKey | None = None
        self._faults = faults

    async def submit(self, command):
        """Apply one ending or probe."""
        await trio.sleep_until(self.leader_at)
        return Success(self._apply(command))

    async def submit_widely(self, command, on_delay):
        """Apply one claim; each fault costs one more ask."""
        for fault in self._faults:
            if fault == "down":
                return Failure(refuse(ErrorKind.NO_QUORUM, "down", ran=Ran.NO))
            if fault == "lost after":
                self.table.claim(command)
            if fault != "unknown":
                await trio.sleep(SILENCE_S)
            on_delay()
            self.copy = command
        if trio.current_time() < self.leader_at:
            with trio.move_on_at(self.leader_at):
                await trio.sleep(SILENCE_S)
                on_delay()
                await trio.sleep_forever()
        return Success(self.table.claim(command))

    def _apply(self, command) -> None:
        match command:
            case FinishKey():
                self.table.finish(command)
            case ReleaseKey():
                self.table.release(command)


class FakeSlot:
    """Count how often the place was given back and taken again."""

    def __init__(self, run_s: float = 0.0, refusal=None):
        self.run_s = run_s
        self.steps: list[str] = []
        self._refusal = refusal

    def release(self) -> None:
        """Give the place back."""
        self.steps.append("given back")

    async def reacquire(self):
        """Take the place again, or refuse."""
        if not self.steps:
            return Success(None)
        self.steps.append("taken again")
        return Failure(self._refusal) if self._refusal else Success(None)


def make_claimer(control, nursery) -> tuple[Claimer, Settler]:
    """Build a claimer whose holders are all live."""
    settler = Settler(control, nursery)
    quorum = QuorumWatch(control, nursery)
    holder = Holder(NodeName("suva-cue-1"), 1)
    return Claimer(holder, control, settler, quorum, lambda *_: True), settler


async def run_key(claimer, key, slot, run_s: float = 0.0):
    """Run one keyed call within its deadline and return what came back."""

    async def send():
        slot.steps.append("sent")
        await trio.sleep(run_s)
        return DONE

    call = make_call(idempotent=False, key=key)
    with trio.fail_after(DEADLINE_S):
        return await claimer.run(call, Fingerprint(7), slot, send)


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
    claimer, settler = make_claimer(control, nursery)
    sends = 0

    async def send():
        nonlocal sends
        sends += 1
        return sent

    call = make_call(idempotent=False, key=KEY)
    with trio.fail_after(DEADLINE_S):
        result = await claimer.run(call, Fingerprint(7), FakeSlot(), send)
    await settler.wait_idle(DEADLINE_S)
    found = result.map(lambda a: str(a.status)).alt(lambda r: r.kind.value)
    assert (found.value_or(None) or found.failure(), sends) == (outcome, runs)
    assert control.table.get(SERVICE, KEY).state is state


async def test_cancelled_run_is_unknown(nursery, autojump_clock):
    control = FakeControl([])
    claimer, settler = make_claimer(control, nursery)
    with trio.move_on_after(DEADLINE_S):
        call = make_call(idempotent=False, key=KEY)
        await claimer.run(call, Fingerprint(7), FakeSlot(), trio.sleep_forever)
    await settler.wait_idle(DEADLINE_S)
    assert control.table.get(SERVICE, KEY).state is ClaimState.UNKNOWN


class NestedControl(FakeControl):
    """Grant a claim, then wait in a nursery, as asks of several control VMs do."""

    async def submit_widely(self, command, on_delay):
        """Lose the reply."""
        self.table.claim(command)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            await trio.sleep_forever()


async def test_cancelled_claim_is_released(nursery, autojump_clock):
    control = NestedControl([])
    claimer, settler = make_claimer(control, nursery)
    async with trio.open_nursery() as caller:
        caller.start_soon(run_key, claimer, KEY, FakeSlot())
        await trio.testing.wait_all_tasks_blocked()
        caller.cancel_scope.cancel()
    await settler.wait_idle(DEADLINE_S)
    assert control.table.get(SERVICE, KEY).state is ClaimState.RELEASED


WINDOWS = {
    "caller's key": (KEY, 300, 300),
    "caller's key without a window": (KEY, 0, 24 * 3600),
    "derived key": ("root:1:2", 24 * 3600, 600),
    "derived key of a short window": ("root:1:2", 300, 300),
}


@pytest.mark.parametrize("name", WINDOWS)
async def test_key_is_kept_for_its_resend_window(name, nursery, autojump_clock):
    key, window_s, kept_s = WINDOWS[name]
    control = FakeControl([])
    claimer, settler = make_claimer(control, nursery)
    call = make_call(idempotent=False, key=key, resend_window_s=window_s)

    async def send():
        return DONE

    await claimer.run(call, Fingerprint(7), FakeSlot(), send)
    await settler.wait_idle(DEADLINE_S)
    control.table.elapse(ElapseTime(kept_s * 1000))
    assert control.table.get(SERVICE, key) is not None
    control.table.elapse(ElapseTime(2 * call.remaining_ms))
    assert control.table.get(SERVICE, key) is None


async def test_key_whose_run_just_ended_gets_its_answer(nursery, autojump_clock):
    control = FakeControl([])
    claimer, _ = make_claimer(control, nursery)
    control.table.claim(make_claim(2))

    async def end_late():
        await trio.sleep(END_PAUSE_S / 2)
        control.table.finish(make_finish(2, b"done"))

    nursery.start_soon(end_late)
    slot = FakeSlot()
    answer = (await run_key(claimer, KEY, slot)).unwrap()
    assert answer.body == b"done"
    assert slot.steps == ["given back"]


async def test_running_key_is_told_when_control_is_lost_after(nursery, autojump_clock):
    control = FakeControl([])
    claimer, _ = make_claimer(control, nursery)
    control.table.claim(make_claim(2))

    async def lose_control():
        await trio.sleep(END_PAUSE_S / 2)
        control.leader_at = DEADLINE_S

    nursery.start_soon(lose_control)
    result = await run_key(claimer, KEY, FakeSlot(run_s=0.1))
    assert result.failure().kind is ErrorKind.KEY_RUNNING


async def test_late_copy_of_a_refused_claim_is_not_granted(nursery, autojump_clock):
    control = FakeControl(["copied"])
    claimer, settler = make_claimer(control, nursery)
    control.table.claim(make_claim(2))
    result = await run_key(claimer, KEY, FakeSlot())
    assert result.failure().kind is ErrorKind.KEY_RUNNING
    await settler.wait_idle(DEADLINE_S)
    control.table.release(make_release(2))
    late = control.table.claim(control.copy)
    assert late.outcome is ClaimOutcome.WITHDRAWN


async def test_withdrawn_by_a_later_claim_of_the_node_is_claimed_again(
    nursery, autojump_clock
):
    control = FakeControl([])
    claimer, _ = make_claimer(control, nursery)
    later = ReleaseKey(ClaimId("suva-cue-1/1/1"), SERVICE, KEY)
    control.table.release(later)
    assert await run_key(claimer, KEY, FakeSlot()) == DONE


LEADER_LOST_S = 1.2
RUN_S = 0.2
SENT_AT = [number / 10 for number in range(14)]


async def test_requests_in_time_are_not_refused_without_leader(nursery, autojump_clock):
    control = FakeControl([], leader_at=LEADER_LOST_S)
    claimer, _ = make_claimer(control, nursery)
    slots = [FakeSlot(RUN_S) for _ in SENT_AT]
    results = []

    async def send(number: int) -> None:
        await trio.sleep_until(SENT_AT[number])
        key = f"{KEY}-{number}"
        results.append(await run_key(claimer, key, slots[number], RUN_S))

    async with trio.open_nursery() as senders:
        for number in range(len(SENT_AT)):
            senders.start_soon(send, number)
    assert results == [DONE] * len(SENT_AT)
    assert all(slot.steps.count("sent") == 1 for slot in slots)
    assert slots[0].steps == ["given back", "taken again", "sent"]


async def test_claim_leaves_the_run_its_time(nursery, autojump_clock):
    control = FakeControl([], leader_at=LEADER_LOST_S)
    claimer, _ = make_claimer(control, nursery)
    result = await run_key(claimer, KEY, FakeSlot(run_s=0.9))
    assert result.failure().kind is ErrorKind.NO_QUORUM
    assert trio.current_time() < DEADLINE_S - 0.9


async def test_refused_again_after_the_wait_frees_the_key(nursery, autojump_clock):
    control = FakeControl([], leader_at=0.5)
    claimer, _ = make_claimer(control, nursery)
    refusal = refuse(ErrorKind.OVERLOADED, "no slot in time")
    slot = FakeSlot(RUN_S, refusal)
    assert await run_key(claimer, KEY, slot) == Failure(refusal)
    assert "sent" not in slot.steps
    assert control.table.get(SERVICE, KEY).state is ClaimState.RELEASED
    assert await run_key(claimer, KEY, FakeSlot(RUN_S)) == DONE


async def test_claims_beyond_the_bound_keep_their_slot(nursery, autojump_clock):
    control = FakeControl([], leader_at=LEADER_LOST_S)
    claimer, _ = make_claimer(control, nursery)
    slots = [FakeSlot(RUN_S) for _ in range(MAX_WITHOUT_SLOT + 1)]
    async with trio.open_nursery() as senders:
        for number, slot in enumerate(slots):
            senders.start_soon(run_key, claimer, f"{KEY}-{number}", slot, RUN_S)
    kept = [slot for slot in slots if "given back" not in slot.steps]
    assert [slot.steps for slot in kept] == [["sent"]]


async def test_lost_quorum_refuses_at_once_until_it_is_back(nursery, autojump_clock):
    control = FakeControl([], leader_at=60.0)
    claimer, _ = make_claimer(control, nursery)
    await run_key(claimer, KEY, FakeSlot())
    await trio.sleep_until(PATIENCE_S)
    before = trio.current_time()
    result = await run_key(claimer, KEY, FakeSlot())
    assert result.failure().kind is ErrorKind.NO_QUORUM
    assert result.failure().ran is Ran.NO
    assert trio.current_time() == before
    await trio.sleep_until(control.leader_at + PROBE_TIMEOUT_S + PROBE_PAUSE_S)
    assert await run_key(claimer, f"{KEY}-2", FakeSlot()) == DONE
