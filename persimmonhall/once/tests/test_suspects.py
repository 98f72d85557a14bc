"""Test which requests are suspected, cleared and quarantined."""

import itertools
import random

import pytest

from persimmonhall.ids import DeathId
from persimmonhall.once.crash_messages import Suspicion, decode_news, encode_news
from persimmonhall.once.owner import choose_owner
from persimmonhall.once.suspects import MAX_SUSPECTS, QUARANTINE_S, SuspectTable
from tests.builders import make_member, make_suspect_request

CRASHER, HARMLESS = make_suspect_request(1), make_suspect_request(2)
CASES = {
    "one death": ([("a", 0.0)], 1.0, Suspicion.SUSPECT),
    "two deaths": ([("a", 0.0), ("b", 1.0)], 1.0, Suspicion.QUARANTINED),
    "one death reported twice": ([("a", 0.0), ("a", 1.0)], 1.0, Suspicion.SUSPECT),
    "the first death has expired": (
        [("a", 0.0), ("b", QUARANTINE_S - 1)],
        QUARANTINE_S,
        Suspicion.SUSPECT,
    ),
    "all deaths have expired": ([("a", 0.0), ("b", 0.0)], QUARANTINE_S, Suspicion.NONE),
}


@pytest.mark.parametrize("name", CASES)
def test_suspicion(name):
    deaths, now, expected = CASES[name]
    table = SuspectTable()
    for death, at in deaths:
        table.record_death(DeathId(death), [CRASHER], at)
    assert table.suspicion(CRASHER.fingerprint, now) is expected
    assert table.suspicion(HARMLESS.fingerprint, now) is Suspicion.NONE


def test_clearing_propagates_and_covers_only_earlier_deaths():
    here, there = SuspectTable(), SuspectTable()
    reported = here.record_death(DeathId("a"), [CRASHER, HARMLESS], 0.0)
    there.merge(reported, 0.0)
    there.merge(here.clear(HARMLESS.fingerprint, 1.0), 1.0)
    there.merge(reported, 1.0)
    assert there.suspicion(HARMLESS.fingerprint, 1.0) is Suspicion.NONE
    assert there.suspicion(CRASHER.fingerprint, 1.0) is Suspicion.SUSPECT
    there.record_death(DeathId("b"), [CRASHER, HARMLESS], 2.0)
    assert there.suspicion(HARMLESS.fingerprint, 2.0) is Suspicion.SUSPECT
    assert there.suspicion(CRASHER.fingerprint, 2.0) is Suspicion.QUARANTINED
    assert there.seconds_left(CRASHER.fingerprint, 2.0) == QUARANTINE_S - 2.0


@pytest.mark.parametrize("seed", range(50))
def test_tables_converge_in_any_order(seed):
    rng = random.Random(seed)
    tables = [SuspectTable() for _ in range(3)]
    reported = []
    for number in range(6):
        table = rng.choice(tables)
        reported.append(
            table.record_death(DeathId(f"d{number}"), [CRASHER, HARMLESS], 0.0)
        )
        if rng.random() < 0.5:
            reported.append(table.clear(HARMLESS.fingerprint, 0.0))
    for table in tables:
        for suspects in rng.sample(reported * 2, 2 * len(reported)):
            table.merge(suspects, 0.0)
    digests = {table.make_news(0.0).digest for table in tables}
    assert len(digests) == 1
    news = tables[0].make_news(0.0, suspects=tables[0].all(0.0))
    assert decode_news(encode_news(news)) == news


def test_table_is_bounded():
    table = SuspectTable()
    requests = [make_suspect_request(number) for number in range(MAX_SUSPECTS + 5)]
    table.record_death(DeathId("a"), requests[:5], 0.0)
    table.record_death(DeathId("b"), requests[5:], 1.0)
    assert len(table.all(1.0)) == MAX_SUSPECTS
    assert table.suspicion(requests[0].fingerprint, 1.0) is Suspicion.NONE


def test_every_entry_chooses_the_same_owner():
    members = [make_member(number) for number in range(4)]
    owners = {
        choose_owner(order, CRASHER.fingerprint, ()).member.node
        for order in itertools.permutations(members)
    }
    assert len(owners) == 1
    others = choose_owner(members, CRASHER.fingerprint, owners)
    assert others.member.node not in owners
    assert choose_owner(members[:1], CRASHER.fingerprint, [members[0].node]) is None
