"""Test the replacement of links while their calls are retried on other links."""

import pytest

from persimmonhall.address import Address
from persimmonhall.events import EventLog
from persimmonhall.ids import CallNumber
from persimmonhall.release.tests.builders import make_call
from persimmonhall.wire import call_link
from persimmonhall.wire.call_link import CallLinks

FIRST = Address("10.1.0.1", 7000)
SECOND = Address("10.1.0.2", 7000)
NOW = 5.0
# Calls of this number and above are retries.
RESENT = 100


class FakeLink:
    """Simulate a link to a peer that stops responding on demand."""

    silent: set[Address] = set()
    opened: list["FakeLink"] = []

    def __init__(self, address, taker, log):
        self.address = address
        self._taker = taker
        self._calls: list[CallNumber] = []
        self.closed = False
        self.is_connected = True
        self.opened.append(self)

    def connect(self, readiness, timers, on_connected):
        """Do nothing; the link is connected from the start."""

    def send(self, call):
        """Record the call until the peer is found silent."""
        self._calls.append(call.number)

    def check(self, now):
        """Close the link to a silent peer."""
        if self.address in self.silent and not self.closed:
            self.closed = True
            for number in self._calls:
                self._taker.handle_link_failure(number, None, "silent")

    forgive = check


class Resender:
    """Retry each lost call once, on one other peer."""

    def __init__(self, other):
        self._other = other
        self.links: CallLinks | None = None

    def handle_reply(self, reply):
        """Ignore replies."""

    def handle_link_failure(self, number, ran, detail):
        """Retry on the other peer."""
        if number < RESENT:
            self.links.send(self._other, make_call(number + RESENT))


@pytest.fixture
def links(monkeypatch):
    monkeypatch.setattr(call_link, "CallLink", FakeLink)
    monkeypatch.setattr(call_link.trio, "current_time", lambda: NOW)
    FakeLink.silent, FakeLink.opened = set(), []
    resender = Resender(SECOND)
    links = resender.links = CallLinks(resender, None, None, EventLog("test"))
    return links


def test_two_peers_fall_silent_and_the_calls_of_one_go_to_the_other(links):
    links.send(FIRST, make_call(1))
    links.send(SECOND, make_call(10))
    FakeLink.opened[1].closed = True
    FakeLink.silent = {FIRST}

    links.step(NOW)

    # The call of the first peer was retried on a new link to the second, still in use.
    newest = FakeLink.opened[-1]
    assert newest.address == SECOND
    links.send(SECOND, make_call(20))
    assert FakeLink.opened[-1] is newest
    assert len(newest._calls) == 2


def test_step_survives_a_link_that_never_connected_and_is_asked_for_again(links):
    links.send(FIRST, make_call(1))
    links.send(SECOND, make_call(10))
    FakeLink.opened[1].closed = True
    FakeLink.opened[1].is_connected = False
    FakeLink.silent = {FIRST}

    links.step(NOW)
    links.step(NOW + 0.1)

    assert [link.address for link in FakeLink.opened] == [FIRST, SECOND]
