"""Know the members of the system."""

from persimmonhall.ids import NodeName, ServiceName
from persimmonhall.membership.messages import Gossip, Member, MemberState

SILENCE_S = 5.0


class MemberTable:
    """Keep the newest record of every node, indexed by service."""

    def __init__(self, own: Member):
        self._own = own
        self._members: dict[NodeName, Member] = {}
        self._advanced: dict[NodeName, float] = {}
        self._servers: dict[ServiceName, dict[NodeName, Member]] = {}
        self._index(own)

    @property
    def own(self) -> Member:
        """Return this node's own record."""
        return self._own

    def set_own(self, own: Member) -> None:
        """Replace this node's own record."""
        self._unindex(self._own)
        self._own = own
        self._index(own)

    def merge(self, gossip: Gossip, now: float) -> None:
        """Take in the records that are newer than ours."""
        for member in gossip.members:
            known = self._members.get(member.node)
            if member.node == self._own.node:
                continue
            if known is None or member.order > known.order:
                self.put(member)
                self._advanced[member.node] = now

    def forget_silent(self, now: float) -> list[Member]:
        """Remove and return the members whose records stopped advancing."""
        silent = [
            member
            for member in self._members.values()
            if now - self._advanced[member.node] > SILENCE_S
        ]
        for member in silent:
            self.remove(member.node)
            del self._advanced[member.node]
        return silent

    def put(self, member: Member) -> None:
        """Replace the record of another node."""
        self.remove(member.node)
        self._members[member.node] = member
        self._index(member)

    def remove(self, node: NodeName) -> None:
        """Forget the record of another node."""
        known = self._members.pop(node, None)
        if known is not None:
            self._unindex(known)

    def get(self, node: NodeName) -> Member | None:
        """Return the record of a node."""
        return self._own if node == self._own.node else self._members.get(node)

    def peers(self) -> tuple[Member, ...]:
        """Return every other member."""
        return tuple(self._members.values())

    def servers_of(self, service: ServiceName) -> list[Member]:
        """Return the members whose backend server takes calls of a service."""
        return list(self._servers.get(service, {}).values())

    def gossip(self) -> Gossip:
        """Return all records to tell a peer."""
        return Gossip((self._own, *self._members.values()))

    def _index(self, member: Member) -> None:
        if member.state is MemberState.READY:
            self._servers.setdefault(member.service, {})[member.node] = member

    def _unindex(self, member: Member) -> None:
        servers = self._servers.get(member.service, {})
        servers.pop(member.node, None)
        if not servers:
            self._servers.pop(member.service, None)
