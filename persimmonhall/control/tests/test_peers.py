"""Test that the exit of a peer is distinguished from a broken connection."""

import pytest
import trio

from persimmonhall.address import Address
from persimmonhall.control.peers import Peers
from persimmonhall.control.replica_messages import Join
from persimmonhall.wire.link import LinkPool

REQUEST = Join("", "", "")
TIMEOUT_S = 1.0


@pytest.mark.parametrize("ended", [True, False], ids=["ended", "connection broken"])
async def test_peer_exit_is_reported_only_if_connections_are_refused(ended):
    exited = []

    async def close(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        if ended:
            serving.cancel_scope.cancel()
        await stream.aclose()

    with trio.fail_after(5 * TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            serving = await nursery.start(_serve, close)
            address = serving.address
            peers = Peers(nursery, LinkPool(nursery), Address("127.0.0.1", 1))
            reported = trio.Event()
            peers.set_exit_callback(lambda at: (exited.append(at), reported.set()))
            await peers.send_request(address, REQUEST, TIMEOUT_S)
            with trio.move_on_after(TIMEOUT_S if ended else 0.1):
                await reported.wait()
            nursery.cancel_scope.cancel()
    assert exited == ([address] if ended else [])


class _RunningServer:
    """Hold the address of a server and the scope that stops it."""

    def __init__(self, address, cancel_scope):
        self.address = address
        self.cancel_scope = cancel_scope


async def _serve(handler, *, task_status):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = Address(*listeners[0].socket.getsockname()[:2])
    with trio.CancelScope() as scope:
        task_status.started(_RunningServer(address, scope))
        await trio.serve_listeners(handler, listeners)
