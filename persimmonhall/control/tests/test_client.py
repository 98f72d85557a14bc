"""Test which control VMs get requests when some hang, are down or lose replies."""

import math

import pytest
import trio
from returns.result import Failure, Success

from persimmonhall.address import Address
from persimmonhall.control.client import MIN_HEDGE_DELAY_S, RETRY_DELAY_S, ControlClient
from persimmonhall.control.messages import (
    COMMAND_REPLIES,
    REPLIES,
    Declined,
    NoOp,
    NoReply,
    Submitted,
)
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.wire.link import LinkError

VMS = tuple(Address("127.0.0.1", port) for port in (1, 2, 3))
DONE = Success(REPLIES.encode(Submitted(COMMAND_REPLIES.encode(NoReply()))))
REFUSED = Failure(LinkError("refused", is_sent=False))
LOST = Failure(LinkError("lost", is_sent=True))
NO_LEADER = Success(REPLIES.encode(Declined(ErrorKind.NO_QUORUM, "none", Ran.NO)))
NEVER = math.inf
LEADER_ELECTED_AT_S = 1.2


class FakeLinks:
    """Answer the requests to each control VM from a script of times and answers."""

    def __init__(self, script):
        self._script = {VMS[number]: list(steps) for number, steps in script.items()}
        self.request_count = 0

    async def request(self, address, channel, payload):
        """Return the next answer of a control VM at its time; the last one repeats."""
        self.request_count += 1
        steps = self._script[address]
        at_s, answer = steps.pop(0) if len(steps) > 1 else steps[0]
        await trio.sleep_until(at_s)
        return answer


ALL_REFUSED = {0: [(0, REFUSED)], 1: [(0, REFUSED)], 2: [(0, REFUSED)]}
CASES = {
    "first VM answers": (
        {0: [(0, DONE)], 1: [(0, DONE)], 2: [(0, DONE)]},
        0.0,
        1,
        False,
    ),
    "first VM refuses": (
        {0: [(0, REFUSED)], 1: [(0, DONE)], 2: [(0, DONE)]},
        0.0,
        2,
        False,
    ),
    "first VM paused": (
        {0: [(NEVER, DONE)], 1: [(0, DONE)], 2: [(0, DONE)]},
        MIN_HEDGE_DELAY_S,
        2,
        True,
    ),
    "leader killed, the others wait for the next": (
        {
            0: [(0, LOST), (0, REFUSED)],
            1: [(LEADER_ELECTED_AT_S, DONE)],
            2: [(LEADER_ELECTED_AT_S, DONE)],
        },
        LEADER_ELECTED_AT_S,
        4,
        True,
    ),
    "leader paused, the others wait for the next": (
        {
            0: [(NEVER, DONE)],
            1: [(LEADER_ELECTED_AT_S, DONE)],
            2: [(LEADER_ELECTED_AT_S, DONE)],
        },
        LEADER_ELECTED_AT_S,
        2,
        True,
    ),
    "first VM knows no leader": (
        {0: [(0, NO_LEADER)], 1: [(0, DONE)], 2: [(0, DONE)]},
        0.0,
        2,
        False,
    ),
    "answer lost": (
        {0: [(0, LOST), (0, DONE)], 1: [(NEVER, DONE)], 2: [(NEVER, DONE)]},
        RETRY_DELAY_S,
        2,
        True,
    ),
}


@pytest.mark.parametrize("name", CASES)
async def test_submit_hedged(name, autojump_clock):
    script, took_s, request_count, delayed = CASES[name]
    links = FakeLinks(script)
    delays = []
    client = ControlClient(links, VMS)
    result = await client.submit_hedged(NoOp(), lambda: delays.append(True))
    assert result == Success(NoReply())
    assert trio.current_time() == pytest.approx(took_s)
    assert (links.request_count, bool(delays)) == (request_count, delayed)


async def test_submit_fails_at_once_if_all_control_vms_refuse(autojump_clock):
    links = FakeLinks(ALL_REFUSED)
    result = await ControlClient(links, VMS).submit_hedged(NoOp(), lambda: None)
    assert result.failure().ran is Ran.NO
    assert (trio.current_time(), links.request_count) == (0, len(VMS))


async def test_unresponsive_control_vm_is_tried_last(autojump_clock):
    script = {0: [(NEVER, DONE)], 1: [(0, DONE)], 2: [(0, DONE)]}
    links = FakeLinks(script)
    client = ControlClient(links, VMS)
    await client.submit_hedged(NoOp(), lambda: None)
    request_count = links.request_count
    await client.submit_hedged(NoOp(), lambda: None)
    assert (trio.current_time(), links.request_count) == (
        MIN_HEDGE_DELAY_S,
        request_count + 1,
    )


class SlowLinks(FakeLinks):
    """Answer every request late."""

    async def request(self, address, channel, payload):
        """Answer after twice the minimum hedge delay."""
        self.request_count += 1
        await trio.sleep(2 * MIN_HEDGE_DELAY_S)
        return DONE


async def test_slow_control_vms_get_no_hedged_requests_after_an_answer(autojump_clock):
    links = SlowLinks({})
    client = ControlClient(links, VMS)
    commands, pause_s = 60, 0.1

    async def submit(number: int) -> None:
        await trio.sleep(number * pause_s)
        await client.submit_hedged(NoOp(), lambda: None)

    async with trio.open_nursery() as nursery:
        for number in range(commands):
            nursery.start_soon(submit, number)
    submitted_before_first_answer = int(2 * MIN_HEDGE_DELAY_S / pause_s) + 2
    assert links.request_count <= commands + submitted_before_first_answer
