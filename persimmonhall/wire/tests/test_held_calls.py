"""Check that orders are sent only to peers that respond, and what counts as sent."""

import pytest

from persimmonhall.address import Address
from persimmonhall.errors import Ran
from persimmonhall.events import EventLog
from persimmonhall.release.tests.builders import make_call
from persimmonhall.wire import call_link
from persimmonhall.wire.call_frames import (
    CALL_NUMBER,
    STREAM_POSITION,
    CallFrameReader,
    FrameType,
    decode_call,
    pack_frame,
)
from persimmonhall.wire.call_link import (
    BUSY_PING_AFTER_SILENCE_S,
    CHECK_INTERVAL_S,
    MAX_HOLD_S,
    MAX_PEER_AGE_S,
    MAX_PONG_DELAY_S,
    MAX_SILENCE_S,
    MIN_BUSY_CALLS,
    PING_AFTER_SILENCE_S,
    PREAMBLE,
    CallLink,
)
from persimmonhall.wire.call_server import PONG_FRAME
from persimmonhall.wire.long_frames import PART_HEADER


class FakeDuplex:
    """Record the bytes that a link sends."""

    unsent_bytes = 0

    def __init__(self, socket, poller, on_data, on_end, on_drained=None):
        self.on_data = on_data
        self.data = b""

    @property
    def sent_bytes(self):
        """Return how many bytes the kernel has taken."""
        return len(self.data) - self.unsent_bytes

    def send(self, data):
        """Record bytes."""
        self.data += data

    def abort(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


class FakeSocket:
    """Accept any option."""

    def setsockopt(self, *arguments):
        """Do nothing."""


class LinkFixture:
    """Run a link at a time that the test sets."""

    def __init__(self):
        self.now = 5.0
        self.failures = {}
        self.link = CallLink(Address("10.1.0.1", 7000), self, EventLog("test"))

    def connect(self):
        """Complete the connection."""
        self.link._handle_connected(FakeSocket(), None)

    def hear(self):
        """Receive an answer to a ping."""
        self.link._handle_data(PONG_FRAME)

    def handle_reply(self, reply):
        """Ignore replies."""

    def handle_link_failure(self, number, ran, detail):
        """Record a failure."""
        assert number not in self.failures, "two failures of one call"
        self.failures[number] = ran

    @property
    def calls(self):
        """Return the calls sent."""
        return [
            decode_call(payload)
            for kind, payload in self._read_frames()
            if kind == FrameType.CALL
        ]

    @property
    def frames(self):
        """Return the kinds of the frames sent, or the numbers of calls."""
        return [
            decode_call(payload).number if kind == FrameType.CALL else FrameType(kind)
            for kind, payload in self._read_frames()
        ]

    def _read_frames(self):
        data = self.link._duplex.data
        assert data.startswith(PREAMBLE)
        return CallFrameReader().feed(data[len(PREAMBLE) :])


@pytest.fixture
def fixture(monkeypatch):
    """Build a link with a fake connection and clock."""
    fixture = LinkFixture()
    monkeypatch.setattr(call_link, "Duplex", FakeDuplex)
    monkeypatch.setattr(call_link.trio, "current_time", lambda: fixture.now)
    return fixture


def make_order(number):
    """Build a call that may run only once."""
    return make_call(number, is_idempotent=False)


def test_order_is_sent_once_the_peer_answers_a_ping(fixture):
    fixture.connect()
    fixture.link.send(make_order(1))
    assert fixture.frames == [FrameType.PING]
    fixture.hear()
    assert fixture.frames == [FrameType.PING, 1]


def test_order_to_a_peer_just_heard_from_is_sent_at_once(fixture):
    fixture.connect()
    fixture.hear()
    fixture.now += MAX_PEER_AGE_S
    fixture.link.send(make_order(1))
    assert fixture.frames == [1]


def test_order_held_while_this_process_was_paused_beyond_its_time_is_not_sent(
    fixture,
):
    fixture.connect()
    fixture.link.send(make_order(1))
    fixture.link.send(make_call(2, is_idempotent=False, remaining_ms=9000))
    fixture.now += 6.0
    fixture.hear()
    assert fixture.failures == {1: Ran.NO}
    assert fixture.frames == [FrameType.PING, 2]
    assert fixture.calls[-1].remaining_ms == 3000


def test_repeatable_call_is_sent_at_once(fixture):
    fixture.connect()
    fixture.link.send(make_call(1))
    assert fixture.frames == [1]


def test_order_to_a_zone_just_cut_off_is_returned_as_not_sent(fixture):
    fixture.connect()
    fixture.hear()
    fixture.now += 1.0
    fixture.link.send(make_order(1))
    fixture.now += MAX_HOLD_S + 0.1
    fixture.link.check(fixture.now)
    assert fixture.failures == {1: Ran.NO}
    fixture.hear()
    assert fixture.frames == [FrameType.PING]


def test_lost_link_returns_held_orders_as_not_sent_and_others_as_unknown(fixture):
    fixture.connect()
    fixture.link.send(make_call(1))
    fixture.link.send(make_order(2))
    fixture.link.drop("reset")
    assert fixture.failures == {1: Ran.UNKNOWN, 2: Ran.NO}


def test_process_that_accepts_connections_but_is_paused_gets_no_order(fixture):
    fixture.link.send(make_order(1))
    fixture.link.send(make_call(2))
    fixture.connect()
    assert fixture.frames == [2, FrameType.PING]


def test_call_cancelled_before_the_connection_opens_is_never_sent(fixture):
    fixture.link.send(make_call(1))
    assert fixture.link.cancel(1)
    fixture.connect()
    assert fixture.frames == []


def test_call_that_was_sent_is_not_reported_as_unsent(fixture):
    fixture.connect()
    fixture.link.send(make_call(1))
    assert not fixture.link.cancel(1)
    assert fixture.frames == [1, FrameType.CANCEL]


def test_pause_of_this_process_does_not_make_a_peer_count_as_heard_from(fixture):
    fixture.connect()
    fixture.hear()
    fixture.now += 5.0
    fixture.link.restart_silence_timeout(fixture.now)
    fixture.link.send(make_order(1))
    assert fixture.frames == [FrameType.PING]


def pass_time(fixture, length_s):
    """Check the link at its interval for a time."""
    end = fixture.now + length_s
    while fixture.now < end - CHECK_INTERVAL_S / 2:
        fixture.now += CHECK_INTERVAL_S
        fixture.link.check(fixture.now)


def test_frame_that_never_left_wholly_counts_as_not_sent(fixture):
    """Peer that stops reading: only what the kernel took may have been read."""
    fixture.connect()
    fixture.link.send(make_call(1))
    fixture.link.send(make_call(2))
    fixture.link._duplex.unsent_bytes = 1
    fixture.link.drop("reset")
    assert fixture.failures == {1: Ran.UNKNOWN, 2: Ran.NO}


def send_busy_load(fixture):
    """Send as many calls as make silence remarkable, and wait until it is."""
    numbers = list(range(1, MIN_BUSY_CALLS + 1))
    for number in numbers:
        fixture.link.send(make_call(number))
    pass_time(
        fixture, BUSY_PING_AFTER_SILENCE_S + MAX_PONG_DELAY_S + 2 * CHECK_INTERVAL_S
    )
    return numbers


def test_repeatable_call_to_a_peer_that_owes_a_pong_is_held(fixture):
    """Zone just cut off: calls sent into it would end as maybe run."""
    fixture.connect()
    fixture.hear()
    numbers = send_busy_load(fixture)
    fixture.link.send(make_call(90))
    assert fixture.frames == [*numbers, FrameType.PING]
    pass_time(fixture, MAX_SILENCE_S + CHECK_INTERVAL_S)
    assert fixture.failures == {90: Ran.NO} | dict.fromkeys(numbers, Ran.UNKNOWN)


def test_held_repeatable_call_is_sent_once_the_peer_responds(fixture):
    fixture.connect()
    fixture.hear()
    numbers = send_busy_load(fixture)
    fixture.link.send(make_call(90))
    fixture.hear()
    fixture.link.send(make_call(91))
    assert fixture.frames == [*numbers, FrameType.PING, 90, 91]


def test_link_with_few_pending_calls_is_pinged_after_a_longer_silence(fixture):
    """Large site, one or two long calls per link: pings would cost more than calls."""
    fixture.connect()
    fixture.hear()
    fixture.link.send(make_call(1))
    pass_time(fixture, PING_AFTER_SILENCE_S)
    assert fixture.frames == [1]
    pass_time(fixture, CHECK_INTERVAL_S)
    assert fixture.frames == [1, FrameType.PING]


def test_link_whose_ping_stays_unanswered_is_closed_without_pending_calls(fixture):
    """Lost VM that is rarely called: the next call must not wait for the old ping."""
    fixture.connect()
    fixture.link.send(make_order(1))
    pass_time(fixture, MAX_SILENCE_S + 2 * CHECK_INTERVAL_S)
    assert fixture.failures == {1: Ran.NO}
    assert fixture.link.is_closed


def test_calls_beyond_what_a_stopped_peer_has_read_have_not_run(fixture):
    fixture.connect()
    fixture.link.send(make_call(1))
    position = len(fixture.link._duplex.data)
    fixture.link.send(make_call(2))
    payload = STREAM_POSITION.pack(position)
    fixture.link._handle_data(pack_frame(FrameType.STOPPED, payload))
    assert fixture.failures == {1: Ran.UNKNOWN, 2: Ran.NO}
    assert fixture.link.is_closed


LARGE_BODY = bytes(1024 * 1024)


def grant(fixture, number):
    """Receive room for the rest of a large call."""
    payload = CALL_NUMBER.pack(number)
    fixture.link._handle_data(pack_frame(FrameType.GRANT, payload))


def test_large_call_that_is_not_sent_in_full_has_not_run(fixture):
    """Report it as unsent when it is cancelled and when its link is lost."""
    fixture.connect()
    for number in (1, 2, 3):
        fixture.link.send(make_call(number, body=LARGE_BODY))
    assert fixture.frames == [FrameType.PART] * 3
    assert fixture.link.cancel(1)
    grant(fixture, 3)
    fixture.link.drop("lost")
    assert fixture.failures == {2: Ran.NO, 3: Ran.UNKNOWN}


def test_large_call_is_not_sent_on_once_it_may_no_longer_be_sent(fixture):
    """Check it again when the peer has room, as that may take long."""
    fixture.connect()
    fixture.link.send(make_call(1, body=LARGE_BODY))
    fixture.link._may_send = lambda number: False
    grant(fixture, 1)
    assert fixture.failures == {1: Ran.NO}
    assert fixture.frames == [FrameType.PART, FrameType.CANCEL]


def test_parts_of_a_reply_that_is_no_longer_awaited_are_ignored(fixture):
    """Reserve no room for it."""
    fixture.connect()
    part = PART_HEADER.pack(FrameType.REPLY, 9, len(LARGE_BODY)) + b"part"
    fixture.link._handle_data(pack_frame(FrameType.PART, part))
    assert fixture.frames == []
