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
        self._servers: dict[ServiceName, dict[NodeName, Member]] = {}
        self._listed: dict[ServiceName, tuple[Member, ...]] = {}
        self._index(None, own)

    @property
    def own(self) -> Member:
        """Return this node's own record."""
        return self._own

    def set_own(self, own: Member) -> None:
        """Replace this node's own record."""
        self._index(self._own, own)
        self._own = own

    def merge(self, gossip: Gossip, now: float) -> None:
        """Take in the records that are newer than ours."""
        for member in gossip.members:
            known = self._members.get(member.node)
            if member.node == self._own.node:
                continue
            if known is None or member.order > known.order:
                self._index(known, member)
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
            self._index(member, None)
            del self._members[member.node]
            del self._advanced[member.node]
        return silent

    def get(self, node: NodeName) -> Member | None:
        """Return the record of a node."""
        return self._own if node == self._own.node else self._members.get(node)

    def peers(self) -> tuple[Member, ...]:
        """Return every other member."""
        return tuple(self._members.values())

    def servers_of(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the ready members of a service; the same tuple until one changes."""
        listed = self._listed.get(service)
        if listed is None and service in self._servers:
            listed = tuple(self._servers[service].values())
            self._listed[service] = listed
        return listed or ()

    def _index(self, old: Member | None, new: Member | None) -> None:
        """Keep the ready members by service; a mere new version changes nothing."""
        if _served(old) == _served(new):
            return
        if old is not None:
            self._servers.get(old.service, {}).pop(old.node, None)
            self._listed.pop(old.service, None)
        if new is not None and new.state is MemberState.READY:
            self._servers.setdefault(new.service, {})[new.node] = new
            self._listed.pop(new.service, None)

    def gossip(self) -> Gossip:
        """Return all records to tell a peer."""
        return Gossip((self._own, *self._members.values()))


def _served(member: Member | None) -> tuple | None:
    if member is None or member.state is not MemberState.READY:
        return None
    return (member.service, member.frames, member.zone, member.slots, member.node)
