"""Check that a request is stopped after it has crashed two servers."""

import trio

from persimmonhall.call.crash_suspects import CrashSuspects
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.once.suspects import QUARANTINE_S, SuspectTable
from persimmonhall.release.tests.builders import make_call


class FakeSpreader:
    """Remember what was told."""

    def __init__(self):
        self.told = []

    def broadcast(self, suspects):
        """Take in suspects."""
        self.told.append(suspects)


def ask(suspects, call):
    """Return the refusal of a call as an entry would see it."""
    return suspects.refusal(call.service, call.head, call.body)


async def test_request_that_was_there_at_two_deaths_is_refused(autojump_clock):
    """Refuse it from the second death on; those there once go on."""
    suspects = CrashSuspects(SuspectTable(), FakeSpreader())
    killer = make_call(1, head=b"GET /charts/boom HTTP/1.1\r\nhost: a\r\n")
    suspects.report([killer, make_call(2)])
    assert ask(suspects, killer) is None
    again = make_call(3, head=b"GET /charts/boom HTTP/1.1\r\nhost: b\r\n")
    suspects.report([again, make_call(4, head=b"GET /charts/x HTTP/1.1\r\n")])
    refusal = ask(suspects, killer)
    assert (refusal.kind, refusal.ran) == (ErrorKind.QUARANTINED, Ran.NO)
    assert ask(suspects, make_call(2)) is None


async def test_other_body_is_another_request(autojump_clock):
    """Tell requests apart by their bodies."""
    suspects = CrashSuspects(SuspectTable(), FakeSpreader())
    for _ in range(2):
        suspects.report([make_call(1, body=b"bad")])
    assert ask(suspects, make_call(2, body=b"bad")) is not None
    assert ask(suspects, make_call(3, body=b"good")) is None


async def test_quarantine_ends(autojump_clock):
    """Let the request in again after a time, and tell every node of each death."""
    spreader = FakeSpreader()
    suspects = CrashSuspects(SuspectTable(), spreader)
    for _ in range(2):
        suspects.report([make_call(1)])
    assert len(spreader.told) == 2
    await trio.sleep(QUARANTINE_S)
    assert ask(suspects, make_call(1)) is None
