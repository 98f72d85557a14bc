"""Test that a key is granted once when messages are lost, repeated or reordered."""

import random
from dataclasses import replace

import pytest

from persimmonhall.ids import Fingerprint
from persimmonhall.once.claims import ClaimTable
from persimmonhall.once.messages import (
    ClaimKey,
    ClaimOutcome,
    ClaimState,
    ElapseTime,
    FinishKey,
    LoseClaims,
    ReleaseKey,
)
from tests.builders import (
    KEY,
    SERVICE,
    claim_id,
    make_claim,
    make_claim_release,
    make_finish,
)

SEEDS = range(300)
STEPS_PER_SCHEDULE = 60
OTHER_REQUEST = {"fingerprint": Fingerprint(8)}
UNKNOWN = ClaimState.UNKNOWN


def make_release_by_one_node(number: int) -> ReleaseKey:
    """Build the release of one of several claims by the same node."""
    return replace(make_claim_release(number), claim=claim_id(number, "suva-cue-9"))


CASES = {
    "first": ([], make_claim(1), "granted"),
    "same claim again": ([make_claim(1)], make_claim(1), "granted"),
    "second claim": ([make_claim(1)], make_claim(2), "running"),
    "finished": ([make_claim(1), make_finish(1)], make_claim(2), "finished"),
    "own claim finished": ([make_claim(1), make_finish(1)], make_claim(1), "finished"),
    "outcome lost": (
        [make_claim(1), make_finish(1, state=UNKNOWN)],
        make_claim(2),
        "unknown",
    ),
    "holder restarted": (
        [make_claim(1), LoseClaims(make_claim(1).holder, 2)],
        make_claim(2),
        "unknown",
    ),
    "other holder restarted": (
        [make_claim(1), LoseClaims(make_claim(2).holder, 2)],
        make_claim(2),
        "running",
    ),
    "released": ([make_claim(1), make_claim_release(1)], make_claim(2), "granted"),
    "released by another": (
        [make_claim(1), make_claim_release(2)],
        make_claim(2),
        "withdrawn",
    ),
    "release after finish": (
        [make_claim(1), make_finish(1), make_claim_release(1)],
        make_claim(2),
        "finished",
    ),
    "release after loss": (
        [make_claim(1), make_finish(1, state=UNKNOWN), make_claim_release(1)],
        make_claim(2),
        "unknown",
    ),
    "released before it arrived": ([make_claim_release(1)], make_claim(1), "withdrawn"),
    "late duplicate of a released claim": (
        [make_claim(1), make_claim_release(1), make_claim(2), make_claim_release(2)],
        make_claim(1),
        "withdrawn",
    ),
    "late duplicate after many releases": (
        [make_claim_release(number) for number in range(1, 30)],
        make_claim(1),
        "withdrawn",
    ),
    "late duplicate after a later release of its node": (
        [
            make_claim_release(1),
            make_release_by_one_node(2),
            make_release_by_one_node(3),
            make_release_by_one_node(4),
        ],
        make_claim(2, claim=claim_id(2, "suva-cue-9")),
        "withdrawn",
    ),
    "later claim of a node that released": (
        [make_release_by_one_node(2)],
        make_claim(3, claim=claim_id(3, "suva-cue-9")),
        "granted",
    ),
    "own claim after a later release of its node": (
        [make_claim(2, claim=claim_id(2, "suva-cue-9")), make_release_by_one_node(3)],
        make_claim(2, claim=claim_id(2, "suva-cue-9")),
        "granted",
    ),
    "other request": ([make_claim(1)], make_claim(2, **OTHER_REQUEST), "mismatch"),
    "other request after the end": (
        [make_claim(1), make_finish(1)],
        make_claim(2, **OTHER_REQUEST),
        "mismatch",
    ),
    "not expired": ([make_claim(1), ElapseTime(999)], make_claim(2), "running"),
    "expired": ([make_claim(1), ElapseTime(1000)], make_claim(2), "granted"),
    "finish of another": ([make_claim(1), make_finish(2)], make_claim(3), "running"),
    "other service": ([make_claim(1)], make_claim(2, service="maps"), "granted"),
}


def apply_command(table: ClaimTable, command):
    """Apply one command to the table."""
    match command:
        case ClaimKey():
            return table.claim(command)
        case FinishKey():
            return table.finish(command)
        case ReleaseKey():
            return table.release(command)
        case ElapseTime():
            return table.advance_clock(command)
        case LoseClaims():
            return table.mark_lost(command)


@pytest.mark.parametrize("name", CASES)
def test_claim_outcome(name):
    before, command, expected = CASES[name]
    table = ClaimTable()
    for earlier in before:
        apply_command(table, earlier)
    restored = ClaimTable()
    for block in table.blocks():
        restored.restore(block)
    outcomes = [t.claim(command).outcome.value for t in (table, restored)]
    assert outcomes == [expected, expected]
    assert [*table.blocks()] == [*restored.blocks()]


def test_stored_answer_is_returned():
    table = ClaimTable()
    table.claim(make_claim(1))
    table.finish(make_finish(1, b"published"))
    table.finish(make_finish(1, b"another"))
    assert table.claim(make_claim(2)).answer.body == b"published"


def test_table_limits():
    table = ClaimTable(max_claims=3, max_stored_bytes=10)
    for number in range(3):
        key = f"caller:{number}"
        table.claim(make_claim(number, key=key))
        table.finish(replace(make_finish(number, b"12345"), key=key))
    assert table.claim(make_claim(9, key="caller:9")).outcome is ClaimOutcome.FULL
    assert table.stored_bytes == 10
    forgotten = table.claim(make_claim(9, key="caller:0")).answer
    assert (forgotten.whole, forgotten.status, forgotten.size) == (False, 200, 5)
    table.advance_clock(ElapseTime(1000))
    assert (table.count, table.stored_bytes) == (0, 0)


class Attempts:
    """Simulate attempts that race for one key over a lossy, repeating log."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._table = ClaimTable()
        self._messages_in_flight: list = []
        self._waiting: set = set()
        self.runs = 0

    def step(self, number: int) -> None:
        """Start or withdraw an attempt, lose a node, pass time or deliver a message."""
        pick = self._rng.random()
        if pick < 0.2:
            node = f"node-{self._rng.randrange(3)}"
            claim = make_claim(number, holder=node, claim=claim_id(number, node))
            self._waiting.add(claim)
            self._messages_in_flight.append(claim)
        elif pick < 0.3 and self._waiting:
            self._withdraw(self._pick(self._waiting))
        elif pick < 0.35:
            self._messages_in_flight.append(
                LoseClaims(f"node-{self._rng.randrange(3)}", 2)
            )
        elif pick < 0.4:
            self._table.advance_clock(ElapseTime(10))
        elif self._messages_in_flight:
            self._deliver(self._rng.choice(self._messages_in_flight))

    def _pick(self, claims):
        return self._rng.choice(sorted(claims, key=lambda c: c.claim))

    def _withdraw(self, claim) -> None:
        self._waiting.discard(claim)
        self._messages_in_flight.append(ReleaseKey(claim.claim, SERVICE, KEY))

    def _deliver(self, command) -> None:
        if self._rng.random() < 0.7:
            self._messages_in_flight.remove(command)
        reply = apply_command(self._table, command)
        lost = self._rng.random() < 0.2
        if lost or reply is None or command not in self._waiting:
            return
        self._waiting.discard(command)
        if reply.outcome is ClaimOutcome.GRANTED:
            self._run_granted(command)

    def _run_granted(self, claim) -> None:
        """Run the request, release the key without a run, or end without an outcome."""
        pick = self._rng.random()
        if pick < 0.3:
            self._messages_in_flight.append(ReleaseKey(claim.claim, SERVICE, KEY))
            return
        self.runs += 1
        state = ClaimState.FINISHED if pick < 0.6 else ClaimState.UNKNOWN
        if pick < 0.9:
            finish = replace(make_finish(0, state=state), claim=claim.claim)
            self._messages_in_flight.append(finish)


@pytest.mark.parametrize("seed", SEEDS)
def test_runs_at_most_once(seed):
    attempts = Attempts(random.Random(seed))
    for number in range(STEPS_PER_SCHEDULE):
        attempts.step(number)
    assert attempts.runs <= 1


def test_most_schedules_run_the_request():
    runs = 0
    for seed in SEEDS:
        attempts = Attempts(random.Random(seed))
        for number in range(STEPS_PER_SCHEDULE):
            attempts.step(number)
        runs += attempts.runs
    assert runs > len(SEEDS) / 2
