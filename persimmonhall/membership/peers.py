"""Keep what this node holds of every other node, gone ones included."""

import random
from dataclasses import dataclass

from persimmonhall.ids import NodeName
from persimmonhall.membership.messages import Member, News
from persimmonhall.membership.table import MemberTable


@dataclass(slots=True)
class Peer:
    """Hold the newest news of a node and since when its health holds."""

    news: News
    since: float


class Peers:
    """Hold the news of members and the tombstones of gone nodes."""

    def __init__(self, table: MemberTable, rng: random.Random):
        self._table = table
        self._rng = rng
        self._peers: dict[NodeName, Peer] = {}
        self._gone: dict[NodeName, None] = {}
        self._members: list[Member] | None = None
        self._round: list[NodeName] = []

    @property
    def members(self) -> list[Member]:
        """Return the other nodes that count as members."""
        if self._members is None:
            self._members = list(self._table.peers())
        return self._members

    @property
    def news(self) -> tuple[News, ...]:
        """Return the news held of all nodes, this one first."""
        own = News(self._table.own)
        return (own, *(peer.news for peer in self._peers.values()))

    def get(self, node: NodeName) -> Peer | None:
        """Return what is held of a node."""
        return self._peers.get(node)

    def put(self, news: News, now: float) -> None:
        """Replace what is held of a node."""
        node = news.member.node
        self._peers[node] = Peer(news, now)
        self._members = None
        if news.health.is_gone:
            self._gone[node] = None
            self._table.remove(node)
        else:
            self._gone.pop(node, None)
            self._table.put(news.member)

    def forget_gone(self, before: float) -> None:
        """Drop the tombstones of nodes that went before a time."""
        for node in [n for n in self._gone if self._peers[n].since < before]:
            del self._gone[node]
            del self._peers[node]

    def next_to_probe(self) -> Member | None:
        """Return each member once in a shuffled round."""
        while self._round or self.members:
            if not self._round:
                self._round = [member.node for member in self.members]
                self._rng.shuffle(self._round)
            member = self._table.get(self._round.pop())
            if member is not None:
                return member
        return None

    def sample(self, count: int) -> list[Member]:
        """Return distinct random members, at most the count."""
        return self._rng.sample(self.members, min(count, len(self.members)))

    def random_gone(self) -> News | None:
        """Return the news of a random gone node."""
        if not self._gone:
            return None
        return self._peers[self._rng.choice(list(self._gone))].news
