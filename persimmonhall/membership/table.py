"""Know the members of the system."""

from dataclasses import replace

from persimmonhall.ids import NodeName, ServiceName
from persimmonhall.membership.messages import Member, MemberState


class MemberTable:
    """Keep the newest record of every member, indexed by service."""

    def __init__(self, own: Member):
        self._own = own
        self._members: dict[NodeName, Member] = {}
        self._servers: dict[ServiceName, dict[NodeName, Member]] = {}
        self._listed: dict[ServiceName, tuple[Member, ...]] = {}
        self._index(own)

    @property
    def own(self) -> Member:
        """Return this node's own record."""
        return self._own

    def set_own(self, own: Member) -> None:
        """Replace this node's own record."""
        self._reindex(self._own, own)
        self._own = own

    def put(self, member: Member) -> None:
        """Replace the record of another node."""
        self._reindex(self._members.get(member.node), member)
        self._members[member.node] = member

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

    def all(self) -> tuple[Member, ...]:
        """Return every member, this node first."""
        return (self._own, *self._members.values())

    def servers_of(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the ready members of a service; the same tuple until one changes."""
        listed = self._listed.get(service)
        if listed is None and service in self._servers:
            listed = tuple(self._servers[service].values())
            self._listed[service] = listed
        return listed or ()

    def _reindex(self, old: Member | None, new: Member) -> None:
        if old is not None and _is_served_alike(old, new):
            return
        if old is not None:
            self._unindex(old)
        self._index(new)

    def _index(self, member: Member) -> None:
        if member.state is MemberState.READY:
            self._servers.setdefault(member.service, {})[member.node] = member
            self._listed.pop(member.service, None)

    def _unindex(self, member: Member) -> None:
        servers = self._servers.get(member.service, {})
        servers.pop(member.node, None)
        self._listed.pop(member.service, None)
        if not servers:
            self._servers.pop(member.service, None)


def _is_served_alike(old: Member, new: Member) -> bool:
    """Tell whether a newer record changes nothing for routing."""
    return replace(old, version=new.version) == new
