"""Shut a node down without aborting requests in flight."""

import trio

from persimmonhall.call.gate import Gate
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.membership.gossip import Gossiper

DRAIN_NOTICE_S = 1.0
FINAL_REPLIES_S = 0.2


class GracefulShutdown:
    """Drain calls and close listeners in the order in which they fall idle."""

    def __init__(
        self,
        gate: Gate,
        gossiper: Gossiper,
        drain_seconds: float,
        window: ShutdownWindow,
    ):
        self._gate = gate
        self._gossiper = gossiper
        self._drain_seconds = drain_seconds
        self._window = window
        self.drain_started = trio.Event()
        self.closing_callers = trio.Event()
        self.closing_local = trio.Event()

    async def drain_calls(self, callers_scope: trio.CancelScope) -> None:
        """Refuse new calls, finish those in flight and close the caller listener."""
        now = trio.current_time()
        callers_scope.deadline = now + self._drain_seconds
        notice_s = min(DRAIN_NOTICE_S, self._drain_seconds)
        self._window.set(now + notice_s, callers_scope.deadline)
        self.drain_started.set()
        self._gate.drain()
        self._gossiper.announce_draining()
        # Requests of callers are still served: the entry routes them to other nodes.
        await trio.sleep(notice_s)
        await self._gate.wait_idle(self._drain_seconds)
        self.closing_callers.set()

    async def close_local(self, local_scope: trio.CancelScope) -> None:
        """Close the local listener and tell peers that this node has left."""
        local_scope.deadline = trio.current_time() + self._drain_seconds
        self._gossiper.announce_left()
        self.closing_local.set()
        # Peers that do not know yet that this node has left still get refusals.
        await trio.sleep(FINAL_REPLIES_S)
