"""Index the members of the system."""

from persimmonhall.ids import NodeName, ServiceName
from persimmonhall.membership.messages import Member, MemberState


class MemberTable:
    """Store the latest record of every member, indexed by service."""

    def __init__(self, own: Member):
        self._own = own
        self._members: dict[NodeName, Member] = {}
        self._servers: dict[ServiceName, dict[NodeName, Member]] = {}
        self._listed: dict[ServiceName, tuple[Member, ...]] = {}
        self._replace(None, own)

    @property
    def own(self) -> Member:
        """Return this node's own record."""
        return self._own

    def set_own(self, own: Member) -> None:
        """Replace this node's own record."""
        self._replace(self._own, own)
        self._own = own

    def put(self, member: Member) -> None:
        """Replace the record of another node."""
        self._replace(self._members.get(member.node), member)
        self._members[member.node] = member

    def remove(self, node: NodeName) -> None:
        """Remove the record of another node."""
        self._replace(self._members.pop(node, None), None)

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
        """Return the ready members of a service; reuse the tuple until one changes."""
        listed = self._listed.get(service)
        if listed is None and service in self._servers:
            listed = tuple(self._servers[service].values())
            self._listed[service] = listed
        return listed or ()

    def _replace(self, old: Member | None, new: Member | None) -> None:
        """Update the index if a field that routing uses has changed."""
        if _served(old) == _served(new):
            return
        if old is not None:
            self._unindex(old)
        if new is not None and new.state is MemberState.READY:
            self._servers.setdefault(new.service, {})[new.node] = new
            self._listed.pop(new.service, None)

    def _unindex(self, member: Member) -> None:
        servers = self._servers.get(member.service, {})
        servers.pop(member.node, None)
        self._listed.pop(member.service, None)
        if not servers:
            self._servers.pop(member.service, None)


def _served(member: Member | None) -> tuple | None:
    """Return the fields that routing uses, or None unless the member is ready."""
    if member is None or member.state is not MemberState.READY:
        return None
    return (member.service, member.frames, member.zone, member.slots, member.node)
