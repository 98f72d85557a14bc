"""Check which bytes a connection counts as sent, and how it ends."""

import socket as sockets

import pytest
import trio

from persimmonhall.wire.duplex import CLOSED_BY_PEER, RESET_ON_CLOSE, Duplex
from persimmonhall.wire.poller import Poller

DATA = b"x" * (16 * 1024 * 1024)


@pytest.fixture
def pair():
    """Build a connection and the socket of its peer."""
    local, peer = sockets.socketpair()
    local.setblocking(False)
    yield Duplex(local, Poller(), lambda data: None, lambda reason: None), peer
    local.close()
    peer.close()


def test_only_what_the_kernel_took_counts_as_sent(pair):
    """Peer that does not read: the rest is buffered, and never sent once closed."""
    duplex, _ = pair
    duplex.send(DATA)
    assert 0 < duplex.sent_bytes < len(DATA)
    assert duplex.sent_bytes + duplex.unsent_bytes == len(DATA)
    sent_bytes = duplex.sent_bytes
    duplex.close()
    assert duplex.sent_bytes == sent_bytes


def test_bytes_written_after_the_peer_has_gone_do_not_count_as_sent(pair):
    duplex, peer = pair
    peer.close()
    duplex.send(DATA)
    assert duplex.sent_bytes == 0


class TcpConnection:
    """Hold a connection, the socket of its peer and what was read."""

    def __init__(self):
        with sockets.create_server(("127.0.0.1", 0)) as listener:
            local = sockets.create_connection(listener.getsockname())
            self.peer, _ = listener.accept()
        local.setblocking(False)
        self._poller = Poller()
        self.received = []
        self.ends = []
        self.duplex = Duplex(
            local, self._poller, self.received.append, self.ends.append
        )

    def reset(self):
        """Reset the connection from the side of the peer."""
        self.peer.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, RESET_ON_CLOSE)
        self.peer.close()

    async def run(self):
        """Handle events until cancelled."""
        await self._poller.run()

    async def wait_for_end(self):
        """Handle events until the connection ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run)
            with trio.fail_after(2):
                while not self.ends:
                    await trio.sleep(0.005)
            nursery.cancel_scope.cancel()


# A write took the error of a reset, and the read after it saw an orderly end.
@pytest.mark.parametrize("first_call", ["send", "peek", "events"])
async def test_reset_is_no_orderly_end_whichever_call_meets_it_first(first_call):
    """Read what came before the reset, then report the error."""
    connection = TcpConnection()
    if first_call == "events":
        connection.duplex.send(DATA)
        assert connection.duplex.unsent_bytes
    if first_call != "peek":
        connection.peer.sendall(b"part")
    connection.reset()
    if first_call == "send":
        connection.duplex.send(b"more")
    elif first_call == "peek":
        assert not connection.duplex.has_unread_bytes
    await connection.wait_for_end()
    assert b"".join(connection.received) == (b"" if first_call == "peek" else b"part")
    [reason] = connection.ends
    assert reason != CLOSED_BY_PEER


async def test_end_of_a_peer_that_has_read_all_is_orderly():
    """Tell an orderly end from a reset."""
    connection = TcpConnection()
    connection.duplex.send(b"request")
    assert connection.peer.recv(100) == b"request"
    connection.peer.sendall(b"answer")
    connection.peer.close()
    await connection.wait_for_end()
    assert connection.received == [b"answer"]
    assert connection.ends == [CLOSED_BY_PEER]


async def test_large_and_small_messages_arrive_in_order_and_whole():
    """Queue them while the peer does not read, in any mix of sizes."""
    connection = TcpConnection()
    messages = [bytes([n]) * (n * n * 997 if n % 3 else 5) for n in range(1, 120)]
    for message in messages:
        connection.duplex.send(message)
    expected = b"".join(messages)
    assert connection.duplex.sent_bytes + connection.duplex.unsent_bytes == len(
        expected
    )
    received = bytearray()
    connection.peer.setblocking(False)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.run)
        with trio.fail_after(5):
            while len(received) < len(expected):
                try:
                    received += connection.peer.recv(1 << 20)
                except BlockingIOError:
                    await trio.sleep(0.001)
        nursery.cancel_scope.cancel()
    assert received == expected
    assert connection.duplex.unsent_bytes == 0
