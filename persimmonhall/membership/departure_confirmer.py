"""Wait until members know of a departure before it is acknowledged."""

from collections.abc import Callable

import trio

from persimmonhall.ids import NodeName
from persimmonhall.membership.control_members import CONTROL_SERVICE
from persimmonhall.membership.core import MembershipCore
from persimmonhall.membership.effects import Effect
from persimmonhall.membership.messages import Member
from persimmonhall.membership.table import MemberTable

# Members that have to know before the acknowledgement; the rest learns by gossip.
MIN_CONFIRMATIONS = 2
FANOUT = 4
ATTEMPTS = 4
ATTEMPT_TIMEOUT_S = 0.1


class _Confirmation:
    """Collect the members that have answered with the newest record of this node."""

    def __init__(self):
        self.members: set[NodeName] = set()
        self._answered = trio.Event()

    def add(self, node: NodeName) -> None:
        """Add a member that has answered."""
        self.members.add(node)
        event, self._answered = self._answered, trio.Event()
        event.set()

    async def wait_for(self, count: int) -> None:
        """Wait until a number of members has answered."""
        while len(self.members) < count:
            await self._answered.wait()


class DepartureConfirmer:
    """Ping members with the record of this node until enough have answered."""

    def __init__(
        self,
        core: MembershipCore,
        table: MemberTable,
        apply_effects: Callable[[list[Effect]], None],
    ):
        self._core = core
        self._table = table
        self._apply_effects = apply_effects
        self._pings: dict[int, tuple[NodeName, _Confirmation]] = {}

    async def confirm(self) -> bool:
        """Return whether enough members know the record, after some attempts."""
        confirmation = _Confirmation()
        sequences: list[int] = []
        try:
            for _ in range(ATTEMPTS):
                members = self._choose_members(confirmation.members)
                needed = min(
                    MIN_CONFIRMATIONS, len(members) + len(confirmation.members)
                )
                pings = self._core.ping_members(members)
                for ping in pings:
                    datagram = ping.datagram
                    self._pings[datagram.sequence] = (datagram.target, confirmation)
                    sequences.append(datagram.sequence)
                self._apply_effects(pings)
                with trio.move_on_after(ATTEMPT_TIMEOUT_S):
                    await confirmation.wait_for(needed)
                    return True
        finally:
            for sequence in sequences:
                self._pings.pop(sequence, None)
        return False

    def handle_answer(self, sequence: int) -> None:
        """Record the answer to a ping."""
        if sequence in self._pings:
            node, confirmation = self._pings.pop(sequence)
            confirmation.add(node)

    def _choose_members(self, answered: set[NodeName]) -> list[Member]:
        """Choose control VMs, which a node that restarts asks first, and others."""
        control = self._table.servers_of(CONTROL_SERVICE)[:MIN_CONFIRMATIONS]
        others = (m for m in self._core.sample(FANOUT) if m not in control)
        members = [m for m in (*control, *others) if m.node not in answered]
        return members[:FANOUT]
