"""Check that a request running at two server deaths is refused."""

import trio

from persimmonhall.call.crash_suspects import CrashSuspects
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.once.suspects import QUARANTINE_S, SuspectTable
from persimmonhall.release.tests.builders import make_call


class FakePropagator:
    """Record the suspects that were broadcast."""

    def __init__(self):
        self.broadcasts = []

    def broadcast(self, suspects):
        """Record suspects."""
        self.broadcasts.append(suspects)


def get_refusal(suspects, call):
    """Return the refusal that an entry gets for a call."""
    return suspects.refusal(call.service, call.head, call.body)


async def test_request_running_at_two_deaths_is_refused(autojump_clock):
    """Refuse it from the second death on; allow those running at one death."""
    suspects = CrashSuspects(SuspectTable(), FakePropagator())
    killer = make_call(1, head=b"GET /charts/boom HTTP/1.1\r\nhost: a\r\n")
    suspects.report_death([killer, make_call(2)])
    assert get_refusal(suspects, killer) is None
    again = make_call(3, head=b"GET /charts/boom HTTP/1.1\r\nhost: b\r\n")
    suspects.report_death([again, make_call(4, head=b"GET /charts/x HTTP/1.1\r\n")])
    refusal = get_refusal(suspects, killer)
    assert (refusal.kind, refusal.ran) == (ErrorKind.QUARANTINED, Ran.NO)
    assert get_refusal(suspects, make_call(2)) is None


async def test_other_body_is_another_request(autojump_clock):
    """Distinguish requests by their bodies."""
    suspects = CrashSuspects(SuspectTable(), FakePropagator())
    for _ in range(2):
        suspects.report_death([make_call(1, body=b"bad")])
    assert get_refusal(suspects, make_call(2, body=b"bad")) is not None
    assert get_refusal(suspects, make_call(3, body=b"good")) is None


async def test_quarantine_ends(autojump_clock):
    """Allow the request again after QUARANTINE_S and broadcast each death."""
    propagator = FakePropagator()
    suspects = CrashSuspects(SuspectTable(), propagator)
    for _ in range(2):
        suspects.report_death([make_call(1)])
    assert len(propagator.broadcasts) == 2
    await trio.sleep(QUARANTINE_S)
    assert get_refusal(suspects, make_call(1)) is None
