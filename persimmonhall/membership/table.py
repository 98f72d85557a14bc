"""Know the members of the system from gossip."""

from persimmonhall.ids import NodeName, ServiceName
from persimmonhall.membership.messages import Gossip, Member, MemberState

SILENCE_S = 5.0


class MemberTable:
    """Keep the newest record of every node and when it last advanced."""

    def __init__(self, own: Member):
        self._own = own
        self._members: dict[NodeName, Member] = {}
        self._advanced: dict[NodeName, float] = {}

    @property
    def own(self) -> Member:
        """Return this node's own record."""
        return self._own

    def set_own(self, own: Member) -> None:
        """Replace this node's own record."""
        self._own = own

    def merge(self, gossip: Gossip, now: float) -> None:
        """Take in the records that are newer than ours."""
        for member in gossip.members:
            known = self._members.get(member.node)
            if member.node == self._own.node:
                continue
            if known is None or member.order > known.order:
                self._members[member.node] = member
                self._advanced[member.node] = now

    def forget_silent(self, now: float) -> list[Member]:
        """Remove and return the members whose records stopped advancing."""
        silent = [
            member
            for member in self._members.values()
            if now - self._advanced[member.node] > SILENCE_S
        ]
        for member in silent:
            del self._members[member.node]
            del self._advanced[member.node]
        return silent

    def get(self, node: NodeName) -> Member | None:
        """Return the record of a node."""
        return self._own if node == self._own.node else self._members.get(node)

    def peers(self) -> tuple[Member, ...]:
        """Return every other member."""
        return tuple(self._members.values())

    def servers_of(self, service: ServiceName) -> list[Member]:
        """Return the members whose backend server takes calls of a service."""
        return [
            member
            for member in (self._own, *self._members.values())
            if member.service == service and member.state is MemberState.READY
        ]

    def gossip(self) -> Gossip:
        """Return all records to tell a peer."""
        return Gossip((self._own, *self._members.values()))
