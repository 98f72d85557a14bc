"""Test claims when the log answers late, twice or not at all."""

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from persimmonhall.control.client import MIN_HEDGE_DELAY_S
from persimmonhall.errors import ErrorKind, Ran, refuse
from persimmonhall.http.messages import HttpAnswer
from persimmonhall.ids import ClaimId, Fingerprint, NodeName
from persimmonhall.once.claim_completer import ClaimCompleter
from persimmonhall.once.claimer import (
    MAX_CLAIMS_WITHOUT_SLOT,
    RUNNING_RECLAIM_DELAY_S,
    Claimer,
    NodeIncarnation,
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
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    QUORUM_TIMEOUT_S,
    QuorumMonitor,
)
from tests.builders import (
    KEY,
    SERVICE,
    make_call,
    make_claim,
    make_claim_release,
    make_finish,
)

DONE = Success(HttpAnswer(200, (), b"done"))
LOST = Failure(refuse(ErrorKind.CONNECTION_LOST, "lost"))
NOT_CONNECTED = Failure(refuse(ErrorKind.CONNECT_FAILED, "refused"))
DEADLINE_S = 1.5


class FakeControl:
    """Apply commands to a claim table; delay, duplicate or lose claims and replies."""

    def __init__(self, faults: list[str], leader_back_at: float = 0.0):
        self.table = ClaimTable()
        self.leader_back_at = leader_back_at
        self.last_copy: ClaimKey | None = None
        self._faults = faults

    async def submit(self, command):
        """Apply one completion or probe."""
        await trio.sleep_until(self.leader_back_at)
        return Success(self._apply(command))

    async def submit_hedged(self, command, on_delay):
        """Apply one claim; each fault delays it by one more attempt."""
        for fault in self._faults:
            if fault == "control down":
                return Failure(refuse(ErrorKind.NO_QUORUM, "down", ran=Ran.NO))
            if fault == "reply lost":
                self.table.claim(command)
            if fault != "outcome unknown":
                await trio.sleep(MIN_HEDGE_DELAY_S)
            on_delay()
            self.last_copy = command
        if trio.current_time() < self.leader_back_at:
            with trio.move_on_at(self.leader_back_at):
                await trio.sleep(MIN_HEDGE_DELAY_S)
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
    """Record when the slot is released and reacquired."""

    def __init__(self, run_s: float = 0.0, refusal=None):
        self.run_s = run_s
        self.steps: list[str] = []
        self._refusal = refusal

    def release(self) -> None:
        """Release the slot."""
        self.steps.append("released")

    async def reacquire(self):
        """Reacquire the slot, or refuse."""
        if not self.steps:
            return Success(None)
        self.steps.append("reacquired")
        return Failure(self._refusal) if self._refusal else Success(None)


def make_claimer(control, nursery) -> tuple[Claimer, ClaimCompleter]:
    """Build a claimer that considers every claim holder live."""
    completer = ClaimCompleter(control, nursery)
    quorum = QuorumMonitor(control, nursery)
    holder = NodeIncarnation(NodeName("suva-cue-1"), 1)
    return Claimer(holder, control, completer, quorum, lambda *_: True), completer


async def run_key(claimer, key, slot, run_s: float = 0.0):
    """Run one keyed call within its deadline and return its result."""

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
    "proven not run": ([], NOT_CONNECTED, "connectFailed", 1, ClaimState.RELEASED),
    "reply lost": (["reply lost"], DONE, "200", 1, ClaimState.FINISHED),
    "claim lost": (["claim lost"], DONE, "200", 1, ClaimState.FINISHED),
    "outcome unknown": (["outcome unknown"], DONE, "200", 1, ClaimState.FINISHED),
    "control down": (["control down"], DONE, "noQuorum", 0, ClaimState.RELEASED),
    "never answered": (["reply lost"] * 9, DONE, "noQuorum", 0, ClaimState.RELEASED),
}


@pytest.mark.parametrize("name", CASES)
async def test_run_outcome_and_claim_state(name, nursery, autojump_clock):
    faults, sent, outcome, runs, state = CASES[name]
    control = FakeControl(list(faults))
    claimer, completer = make_claimer(control, nursery)
    sends = 0

    async def send():
        nonlocal sends
        sends += 1
        return sent

    call = make_call(idempotent=False, key=KEY)
    with trio.fail_after(DEADLINE_S):
        result = await claimer.run(call, Fingerprint(7), FakeSlot(), send)
    await completer.wait_idle(DEADLINE_S)
    found = result.map(lambda a: str(a.status)).alt(lambda r: r.kind.value)
    assert (found.value_or(None) or found.failure(), sends) == (outcome, runs)
    assert control.table.get(SERVICE, KEY).state is state


async def test_cancelled_run_is_unknown(nursery, autojump_clock):
    control = FakeControl([])
    claimer, completer = make_claimer(control, nursery)
    with trio.move_on_after(DEADLINE_S):
        call = make_call(idempotent=False, key=KEY)
        await claimer.run(call, Fingerprint(7), FakeSlot(), trio.sleep_forever)
    await completer.wait_idle(DEADLINE_S)
    assert control.table.get(SERVICE, KEY).state is ClaimState.UNKNOWN


class NestedControl(FakeControl):
    """Grant a claim, then wait in a nursery, as ControlClient.submit_hedged does."""

    async def submit_hedged(self, command, on_delay):
        """Lose the reply."""
        self.table.claim(command)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            await trio.sleep_forever()


async def test_cancelled_claim_is_released(nursery, autojump_clock):
    control = NestedControl([])
    claimer, completer = make_claimer(control, nursery)
    async with trio.open_nursery() as caller:
        caller.start_soon(run_key, claimer, KEY, FakeSlot())
        await trio.testing.wait_all_tasks_blocked()
        caller.cancel_scope.cancel()
    await completer.wait_idle(DEADLINE_S)
    assert control.table.get(SERVICE, KEY).state is ClaimState.RELEASED


WINDOWS = {
    "caller's key": (KEY, 300, 300),
    "caller's key without a window": (KEY, 0, 24 * 3600),
    "derived key": ("root:1:2", 24 * 3600, 600),
    "derived key of a short window": ("root:1:2", 300, 300),
}


@pytest.mark.parametrize("name", WINDOWS)
async def test_claim_expires_after_its_resend_window(name, nursery, autojump_clock):
    key, window_s, stored_s = WINDOWS[name]
    control = FakeControl([])
    claimer, completer = make_claimer(control, nursery)
    call = make_call(idempotent=False, key=key, resend_window_s=window_s)

    async def send():
        return DONE

    await claimer.run(call, Fingerprint(7), FakeSlot(), send)
    await completer.wait_idle(DEADLINE_S)
    control.table.advance_clock(ElapseTime(stored_s * 1000))
    assert control.table.get(SERVICE, key) is not None
    control.table.advance_clock(ElapseTime(2 * call.remaining_ms))
    assert control.table.get(SERVICE, key) is None


async def test_key_whose_run_just_ended_gets_its_answer(nursery, autojump_clock):
    control = FakeControl([])
    claimer, _ = make_claimer(control, nursery)
    control.table.claim(make_claim(2))

    async def end_late():
        await trio.sleep(RUNNING_RECLAIM_DELAY_S / 2)
        control.table.finish(make_finish(2, b"done"))

    nursery.start_soon(end_late)
    slot = FakeSlot()
    answer = (await run_key(claimer, KEY, slot)).unwrap()
    assert answer.body == b"done"
    assert slot.steps == ["released"]


async def test_running_key_is_reported_when_control_is_lost_afterwards(
    nursery, autojump_clock
):
    control = FakeControl([])
    claimer, _ = make_claimer(control, nursery)
    control.table.claim(make_claim(2))

    async def lose_control():
        await trio.sleep(RUNNING_RECLAIM_DELAY_S / 2)
        control.leader_back_at = DEADLINE_S

    nursery.start_soon(lose_control)
    result = await run_key(claimer, KEY, FakeSlot(run_s=0.1))
    assert result.failure().kind is ErrorKind.KEY_RUNNING


async def test_late_duplicate_of_a_refused_claim_is_not_granted(
    nursery, autojump_clock
):
    control = FakeControl(["duplicated"])
    claimer, completer = make_claimer(control, nursery)
    control.table.claim(make_claim(2))
    result = await run_key(claimer, KEY, FakeSlot())
    assert result.failure().kind is ErrorKind.KEY_RUNNING
    await completer.wait_idle(DEADLINE_S)
    control.table.release(make_claim_release(2))
    late = control.table.claim(control.last_copy)
    assert late.outcome is ClaimOutcome.WITHDRAWN


async def test_claim_withdrawn_by_a_later_release_is_made_again(
    nursery, autojump_clock
):
    control = FakeControl([])
    claimer, _ = make_claimer(control, nursery)
    later = ReleaseKey(ClaimId("suva-cue-1/1/1"), SERVICE, KEY)
    control.table.release(later)
    assert await run_key(claimer, KEY, FakeSlot()) == DONE


LEADER_BACK_AT_S = 1.2
RUN_S = 0.2
SEND_TIMES_S = [number / 10 for number in range(14)]


async def test_requests_within_deadline_succeed_while_leader_is_lost(
    nursery, autojump_clock
):
    control = FakeControl([], leader_back_at=LEADER_BACK_AT_S)
    claimer, _ = make_claimer(control, nursery)
    slots = [FakeSlot(RUN_S) for _ in SEND_TIMES_S]
    results = []

    async def send(number: int) -> None:
        await trio.sleep_until(SEND_TIMES_S[number])
        key = f"{KEY}-{number}"
        results.append(await run_key(claimer, key, slots[number], RUN_S))

    async with trio.open_nursery() as senders:
        for number in range(len(SEND_TIMES_S)):
            senders.start_soon(send, number)
    assert results == [DONE] * len(SEND_TIMES_S)
    assert all(slot.steps.count("sent") == 1 for slot in slots)
    assert slots[0].steps == ["released", "reacquired", "sent"]


async def test_claim_wait_reserves_time_for_the_run(nursery, autojump_clock):
    control = FakeControl([], leader_back_at=LEADER_BACK_AT_S)
    claimer, _ = make_claimer(control, nursery)
    result = await run_key(claimer, KEY, FakeSlot(run_s=0.9))
    assert result.failure().kind is ErrorKind.NO_QUORUM
    assert trio.current_time() < DEADLINE_S - 0.9


async def test_refused_readmission_releases_the_key(nursery, autojump_clock):
    control = FakeControl([], leader_back_at=0.5)
    claimer, _ = make_claimer(control, nursery)
    refusal = refuse(ErrorKind.OVERLOADED, "no slot in time")
    slot = FakeSlot(RUN_S, refusal)
    assert await run_key(claimer, KEY, slot) == Failure(refusal)
    assert "sent" not in slot.steps
    assert control.table.get(SERVICE, KEY).state is ClaimState.RELEASED
    assert await run_key(claimer, KEY, FakeSlot(RUN_S)) == DONE


async def test_claims_beyond_the_limit_keep_their_slot(nursery, autojump_clock):
    control = FakeControl([], leader_back_at=LEADER_BACK_AT_S)
    claimer, _ = make_claimer(control, nursery)
    slots = [FakeSlot(RUN_S) for _ in range(MAX_CLAIMS_WITHOUT_SLOT + 1)]
    async with trio.open_nursery() as senders:
        for number, slot in enumerate(slots):
            senders.start_soon(run_key, claimer, f"{KEY}-{number}", slot, RUN_S)
    kept = [slot for slot in slots if "released" not in slot.steps]
    assert [slot.steps for slot in kept] == [["sent"]]


async def test_claims_are_refused_at_once_until_quorum_is_back(nursery, autojump_clock):
    control = FakeControl([], leader_back_at=60.0)
    claimer, _ = make_claimer(control, nursery)
    await run_key(claimer, KEY, FakeSlot())
    await trio.sleep_until(QUORUM_TIMEOUT_S)
    before = trio.current_time()
    result = await run_key(claimer, KEY, FakeSlot())
    assert result.failure().kind is ErrorKind.NO_QUORUM
    assert result.failure().ran is Ran.NO
    assert trio.current_time() == before
    await trio.sleep_until(control.leader_back_at + PROBE_TIMEOUT_S + PROBE_INTERVAL_S)
    assert await run_key(claimer, f"{KEY}-2", FakeSlot()) == DONE
