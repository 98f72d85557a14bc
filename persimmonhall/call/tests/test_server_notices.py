"""Check what a gate believes of the statements in its server's answers."""

import math

import pytest

from persimmonhall.call.server_notices import (
    InvalidNoticeError,
    ServerNotice,
    ServerNotices,
    read_notice,
)
from persimmonhall.call.tests.routed_fixtures import HEADERS, GateFixture
from persimmonhall.release.tests.builders import make_call, make_report


def limit_of(rate):
    """Return the header of a server that states a rate limit."""
    return (HEADERS.rate_limit, str(rate).encode())


@pytest.mark.parametrize(
    ("text", "rate"), [("23.1", 23.1), ("0", 0.0), ("007", 7.0), (".5", 0.5)]
)
def test_decimal_limits_are_read(text, rate):
    """Read a decimal number of requests per second."""
    assert read_notice((limit_of(text),), HEADERS) == ServerNotice(rate, False)


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e9", "1,5", "9" * 99, "x"])
def test_unreadable_limit_is_an_error(text):
    """Reject what is no decimal number, which float() would partly accept."""
    with pytest.raises(InvalidNoticeError):
        read_notice((limit_of(text),), HEADERS)


def test_lowest_of_several_limits_holds():
    """Satisfy each of several limits in one answer."""
    assert read_notice((limit_of(9), limit_of(4)), HEADERS).rate_limit == 4


def test_limit_ends_with_an_answer_to_a_later_request():
    """Keep the limit if an answer may have been written before it was stated."""
    notices = ServerNotices()
    assert notices.record(ServerNotice(5.0), sent_at=1.0, now=2.0)
    assert not notices.record(ServerNotice(), sent_at=1.5, now=2.1)
    assert notices.record(ServerNotice(), sent_at=2.2, now=2.3)
    assert notices.current.rate_limit is None


def test_leaving_is_final_for_an_incarnation():
    """Keep an instance leaving whatever its slower answers state."""
    notices = ServerNotices()
    notices.record(ServerNotice(is_leaving=True), sent_at=1.0, now=2.0)
    notices.record(ServerNotice(), sent_at=2.5, now=3.0)
    assert notices.current.is_leaving


async def test_limit_of_an_earlier_incarnation_does_not_hold(autojump_clock):
    """Forget the limit when the instance restarts; ignore its earlier answers."""
    fixture = GateFixture(make_report())
    fixture.begin(make_call(1))
    fixture.begin(make_call(2))
    fixture.pool.answer(headers=(limit_of(3),))
    assert fixture.gate.rate_limit == 3
    fixture.gate.set_instance(make_report(born_ms=2000))
    assert fixture.gate.rate_limit == math.inf
    fixture.pool.answer(headers=(limit_of(3),))
    assert fixture.gate.rate_limit == math.inf


async def test_unreadable_limit_leaves_the_stated_one_in_force(autojump_clock):
    """Answer the call as usual and keep what was stated before."""
    fixture = GateFixture(make_report())
    for number in (1, 2):
        fixture.begin(make_call(number))
    for number, text in ((1, "3"), (2, "many")):
        fixture.pool.answer(headers=(limit_of(text),))
        assert fixture.replies[number].status == 200
    assert fixture.gate.rate_limit == 3


@pytest.mark.parametrize(
    "encoded", [b"", b"\xff", b"1 2", b"1000 nan 0 i-1", b"x 3 1 i-1", b"1000 3 1 i-2"]
)
def test_unreadable_or_foreign_reminder_changes_nothing(encoded):
    """Ignore a reminder that cannot be read or is about another instance."""
    notices = ServerNotices("i-1", 1000)
    assert not notices.recall(encoded, now=1.0)
    assert notices.current == ServerNotice()


def test_reminder_of_a_limit_gives_way_to_answers():
    """Believe an entry until the server answers, and not afterwards."""
    told = ServerNotices("i-1", 1000)
    told.record(ServerNotice(4.0), sent_at=0.0, now=1.0)
    notices = ServerNotices("i-1", 1000)
    assert notices.recall(told.encoded, now=2.0)
    assert notices.record(ServerNotice(), sent_at=2.1, now=3.0)
    assert not notices.recall(told.encoded, now=4.0)
    assert notices.current.rate_limit is None


async def test_leaving_is_believed_beside_an_unreadable_limit(autojump_clock):
    """Close the gate for a server that leaves, whatever else it states."""
    fixture = GateFixture(make_report())
    fixture.begin(make_call(1))
    fixture.pool.answer(headers=((HEADERS.leaving, b"1"), limit_of("many")))
    assert fixture.leaving_count == 1
    assert fixture.gate.rate_limit == math.inf
