"""Index the members of the system."""

from persimmonhall.ids import NodeName, ServiceName
from persimmonhall.membership.messages import Member, MemberState


class MemberTable:
    """Store the latest record of every member, indexed by service."""

    def __init__(self, local_member: Member):
        self._local_member = local_member
        self._members: dict[NodeName, Member] = {}
        self._servers_by_service: dict[ServiceName, dict[NodeName, Member]] = {}
        self._server_tuples: dict[ServiceName, tuple[Member, ...]] = {}
        self._update_index(None, local_member)

    @property
    def local_member(self) -> Member:
        """Return this node's own record."""
        return self._local_member

    @property
    def member_count(self) -> int:
        """Return the number of members, this node included."""
        return len(self._members) + 1

    def set_local_member(self, local_member: Member) -> None:
        """Replace this node's own record."""
        self._update_index(self._local_member, local_member)
        self._local_member = local_member

    def put(self, member: Member) -> None:
        """Replace the record of another node."""
        self._update_index(self._members.get(member.node), member)
        self._members[member.node] = member

    def remove(self, node: NodeName) -> None:
        """Remove the record of another node."""
        self._update_index(self._members.pop(node, None), None)

    def get(self, node: NodeName) -> Member | None:
        """Return the record of a node."""
        return (
            self._local_member
            if node == self._local_member.node
            else self._members.get(node)
        )

    def peers(self) -> tuple[Member, ...]:
        """Return every other member."""
        return tuple(self._members.values())

    def all_members(self) -> tuple[Member, ...]:
        """Return every member, this node first."""
        return (self._local_member, *self._members.values())

    def servers_of(self, service: ServiceName) -> tuple[Member, ...]:
        """Return the ready members of a service; reuse the tuple until one changes."""
        servers = self._server_tuples.get(service)
        if servers is None and service in self._servers_by_service:
            servers = tuple(self._servers_by_service[service].values())
            self._server_tuples[service] = servers
        return servers or ()

    def _update_index(self, old: Member | None, new: Member | None) -> None:
        """Update the index if a field that routing uses has changed."""
        if _routing_fields(old) == _routing_fields(new):
            return
        if old is not None:
            self._unindex(old)
        if new is not None and new.state is MemberState.READY:
            self._servers_by_service.setdefault(new.service, {})[new.node] = new
            self._server_tuples.pop(new.service, None)

    def _unindex(self, member: Member) -> None:
        servers = self._servers_by_service.get(member.service, {})
        servers.pop(member.node, None)
        self._server_tuples.pop(member.service, None)
        if not servers:
            self._servers_by_service.pop(member.service, None)


def _routing_fields(member: Member | None) -> tuple | None:
    """Return the fields that routing uses, or None unless the member is ready."""
    if member is None or member.state is not MemberState.READY:
        return None
    return (member.service, member.frames, member.zone, member.slots, member.node)
