"""Test the replacement of links while their calls are retried on other links."""

import pytest

from persimmonhall.address import Address
from persimmonhall.events import EventLog
from persimmonhall.ids import CallNumber
from persimmonhall.release.tests.builders import make_call
from persimmonhall.wire import call_link, call_link_pool
from persimmonhall.wire.call_link_pool import CallLinkPool

FIRST = Address("10.1.0.1", 7000)
SECOND = Address("10.1.0.2", 7000)
NOW = 5.0
# Calls of this number and above are retries.
RETRY_NUMBER_OFFSET = 100


class FakeLink:
    """Simulate a link to a peer that stops responding on demand."""

    silent: set[Address] = set()
    opened: list["FakeLink"] = []

    def __init__(self, address, reply_handler, log, may_send, budget):
        self.address = address
        self._reply_handler = reply_handler
        self._pending_calls: list[CallNumber] = []
        self.is_closed = False
        self.is_connected = True
        self.opened.append(self)

    def connect(self, poller, timers, on_connected):
        """Do nothing; the link is connected from the start."""

    def send(self, call):
        """Record the call until the peer is found silent."""
        self._pending_calls.append(call.number)

    def check(self, now):
        """Close the link to a silent peer."""
        if self.address in self.silent and not self.is_closed:
            self.is_closed = True
            for number in self._pending_calls:
                self._reply_handler.handle_link_failure(number, None, "silent")

    restart_silence_timeout = check


class RetryingHandler:
    """Retry each lost call once, on one other peer."""

    def __init__(self, other):
        self._other = other
        self.links: CallLinkPool | None = None

    def handle_reply(self, reply):
        """Ignore replies."""

    def handle_link_failure(self, number, ran, detail):
        """Retry on the other peer."""
        if number < RETRY_NUMBER_OFFSET:
            self.links.send(self._other, make_call(number + RETRY_NUMBER_OFFSET))


@pytest.fixture
def links(monkeypatch):
    monkeypatch.setattr(call_link_pool, "CallLink", FakeLink)
    monkeypatch.setattr(call_link.trio, "current_time", lambda: NOW)
    FakeLink.silent, FakeLink.opened = set(), []
    handler = RetryingHandler(SECOND)
    links = handler.links = CallLinkPool(handler, None, None, EventLog("test"))
    return links


def test_retried_calls_reopen_the_lost_link_to_another_peer(links):
    links.send(FIRST, make_call(1))
    links.send(SECOND, make_call(10))
    FakeLink.opened[1].is_closed = True
    FakeLink.silent = {FIRST}

    links.step(NOW)

    # The call of the first peer was retried on a new link to the second, still in use.
    newest = FakeLink.opened[-1]
    assert newest.address == SECOND
    links.send(SECOND, make_call(20))
    assert FakeLink.opened[-1] is newest
    assert len(newest._pending_calls) == 2


def test_retry_on_a_peer_that_refused_a_connection_opens_no_link(links):
    links.send(FIRST, make_call(1))
    links.send(SECOND, make_call(10))
    FakeLink.opened[1].is_closed = True
    FakeLink.opened[1].is_connected = False
    FakeLink.silent = {FIRST}

    links.step(NOW)
    links.step(NOW + 0.1)

    assert [link.address for link in FakeLink.opened] == [FIRST, SECOND]
