"""Store the known state of every other node, including removed ones."""

import random
from dataclasses import dataclass

from persimmonhall.ids import NodeName
from persimmonhall.membership.control_members import CONTROL_SERVICE
from persimmonhall.membership.messages import Member, News
from persimmonhall.membership.table import MemberTable


@dataclass(slots=True)
class Peer:
    """Store the latest update of a node and the time at which it was stored."""

    news: News
    updated_at: float


class Peers:
    """Store the updates of members and the tombstones of removed nodes."""

    def __init__(self, table: MemberTable, rng: random.Random):
        self._table = table
        self._rng = rng
        self._peers: dict[NodeName, Peer] = {}
        self._tombstones: dict[NodeName, None] = {}
        self._members: list[Member] | None = None
        self._local_members: list[Member] = []
        self._remote_members: list[Member] = []
        self._probe_round: list[NodeName] = []

    @property
    def members(self) -> list[Member]:
        """Return the other members."""
        if self._members is None:
            self._members = list(self._table.peers())
            zone = self._table.local_member.zone
            self._local_members = [m for m in self._members if m.zone == zone]
            self._remote_members = [m for m in self._members if m.zone != zone]
        return self._members

    @property
    def own_zone(self) -> list[Member]:
        """Return the other members of the own zone."""
        return self._local_members if self.members else []

    @property
    def news(self) -> tuple[News, ...]:
        """Return the latest update of every node, this one first."""
        own = News(self._table.local_member)
        return (own, *(peer.news for peer in self._peers.values()))

    def get(self, node: NodeName) -> Peer | None:
        """Return the known state of a node."""
        return self._peers.get(node)

    def put(self, news: News, now: float) -> None:
        """Replace the known state of a node."""
        node = news.member.node
        self._peers[node] = Peer(news, now)
        self._members = None
        if news.health.is_gone:
            self._tombstones[node] = None
            self._table.remove(node)
        else:
            self._tombstones.pop(node, None)
            self._table.put(news.member)

    def remove_tombstones(self, before: float) -> None:
        """Remove the tombstones that were stored before a time."""
        for node in [n for n in self._tombstones if self._peers[n].updated_at < before]:
            del self._tombstones[node]
            del self._peers[node]

    def next_to_probe(self) -> Member | None:
        """Return the next member, each once per shuffled round."""
        while self._probe_round or self.members:
            if not self._probe_round:
                self._probe_round = [member.node for member in self.members]
                self._rng.shuffle(self._probe_round)
            member = self._table.get(self._probe_round.pop())
            if member is not None:
                return member
        return None

    def sample(self, count: int) -> list[Member]:
        """Return up to count distinct random members."""
        return self._rng.sample(self.members, min(count, len(self.members)))

    def sample_own_zone_first(self, count: int) -> list[Member]:
        """Return up to count random members, all but one in the own zone."""
        if not self.members:
            return []
        remote = self._rng.sample(
            self._remote_members, min(1, len(self._remote_members))
        )
        local_count = min(count - len(remote), len(self._local_members))
        return [*self._rng.sample(self._local_members, local_count), *remote]

    def sample_own_zone_nodes(self, count: int) -> list[Member]:
        """Return up to count random members of the own zone that are no control VMs."""
        nodes = [m for m in self.own_zone if m.service != CONTROL_SERVICE]
        return self._rng.sample(nodes, min(count, len(nodes)))

    def random_tombstone(self) -> News | None:
        """Return the update of a random removed node."""
        if not self._tombstones:
            return None
        return self._peers[self._rng.choice(list(self._tombstones))].news
