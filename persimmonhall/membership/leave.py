"""Leave the system without cutting off a request in flight."""

import trio

from persimmonhall.call.gate import Gate
from persimmonhall.membership.gossip import Gossiper

NOTICE_S = 1.0
LAST_REPLIES_S = 0.2


class Leaving:
    """Take the steps of leaving, the last in use closed last."""

    def __init__(self, gate: Gate, gossiper: Gossiper, drain_seconds: float):
        self._gate = gate
        self._gossiper = gossiper
        self._drain_seconds = drain_seconds
        self.begun = trio.Event()
        self.closing_callers = trio.Event()
        self.closing_local = trio.Event()

    async def finish_calls(self, callers_scope: trio.CancelScope) -> None:
        """Refuse new calls, finish those in flight and close to callers."""
        callers_scope.deadline = trio.current_time() + self._drain_seconds
        self.begun.set()
        self._gate.drain()
        self._gossiper.leave()
        # Callers are still served: the entry routes their calls to others.
        await trio.sleep(min(NOTICE_S, self._drain_seconds))
        await self._gate.wait_idle(self._drain_seconds)
        self.closing_callers.set()

    async def finish_local(self, local_scope: trio.CancelScope) -> None:
        """Close to the backend server and tell peers that this node is gone."""
        local_scope.deadline = trio.current_time() + self._drain_seconds
        self._gossiper.say_left()
        self.closing_local.set()
        # Peers that have not heard yet still get their refusals.
        await trio.sleep(LAST_REPLIES_S)
