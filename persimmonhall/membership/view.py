"""Merge gossip updates, time out suspects and refute suspicions."""

import math
import random
from dataclasses import replace

from persimmonhall.ids import NodeName
from persimmonhall.membership.effects import Effect, HealthChanged
from persimmonhall.membership.messages import Health, Member, News
from persimmonhall.membership.news import NewsQueue
from persimmonhall.membership.peers import Peers
from persimmonhall.membership.table import MemberTable

SUSPICION_S = 3.0


class View:
    """Keep the newest update of every node and queue changes for propagation."""

    def __init__(self, table: MemberTable, rng: random.Random):
        self._table = table
        self._left = False
        self._suspects: dict[NodeName, float] = {}
        self.peers = Peers(table, rng)
        self.queue = NewsQueue()

    @property
    def own(self) -> Member:
        """Return this node's own record."""
        return self._table.own

    @property
    def next_burial(self) -> float:
        """Return when the next suspicion times out."""
        return min(self._suspects.values(), default=math.inf)

    def set_own(self, own: Member) -> None:
        """Replace this node's own record and queue it."""
        self._table.set_own(own)
        self.queue.add(News(own))

    def leave(self) -> None:
        """Queue the update that this node has left and stop refuting."""
        self._left = True
        self.set_own(replace(self.own, version=self.own.version + 1))
        self.queue.add(News(self.own, Health.LEFT))

    def known(self, node: NodeName) -> News | None:
        """Return the latest update of another node."""
        peer = self.peers.get(node)
        return peer.news if peer is not None else None

    def accused(self, node: NodeName) -> tuple[News, ...]:
        """Return the latest update of a node unless it is alive."""
        known = self.known(node)
        return (known,) if known is not None and not _is_alive(known) else ()

    def suspect(self, node: NodeName, now: float) -> list[Effect]:
        """Mark a member that did not answer as suspect."""
        known = self.known(node)
        if known is None or not _is_alive(known):
            return []
        return self._hold(News(known.member, Health.SUSPECT), now)

    def delay_burials(self, now: float) -> None:
        """Restart the suspicion timeout of every suspect."""
        end = now + self._suspicion_s()
        self._suspects = dict.fromkeys(self._suspects, end)

    def take_news(
        self, news: tuple[News, ...], now: float, *, spread: bool = True
    ) -> list[Effect]:
        """Merge newer updates and queue them if propagate is set."""
        effects: list[Effect] = []
        for item in news:
            effects += self._take(item, now, spread)
        return effects

    def bury_suspects(self, now: float) -> list[Effect]:
        """Mark suspects dead that did not refute before their deadline."""
        effects: list[Effect] = []
        for node in [n for n, end in self._suspects.items() if now >= end]:
            member = self.peers.get(node).news.member
            effects += self._hold(News(member, Health.DEAD), now)
        return effects

    def _take(self, news: News, now: float, spread: bool) -> list[Effect]:
        if news.member.node == self.own.node:
            self._refute(news)
            return []
        known = self.known(news.member.node)
        if known is None:
            return self._hold(news, now, spread)
        if news.health is Health.DEAD and _is_alive(known):
            # Mark it suspect first, so that the member can still refute the update.
            news = replace(news, health=Health.SUSPECT)
        return self._hold(news, now, spread) if news.rank > known.rank else []

    def _hold(self, news: News, now: float, spread: bool = True) -> list[Effect]:
        node = news.member.node
        known = self.known(node)
        self.peers.put(news, now)
        self._suspects.pop(node, None)
        if spread or news.health is Health.SUSPECT:
            self.queue.add(news)
        if news.health is Health.SUSPECT:
            self._suspects[node] = now + self._suspicion_s()
        changed = known is None or known.health is not news.health
        return [HealthChanged(news)] if changed else []

    def _refute(self, news: News) -> None:
        own = self.own
        newer = news.member.order > own.order
        accused = news.member.order == own.order and not _is_alive(news)
        if self._left or not (newer or accused):
            return
        if news.member.incarnation > own.incarnation:
            own = replace(own, incarnation=news.member.incarnation + 1, version=0)
        else:
            own = replace(own, version=news.member.version + 1)
        self.set_own(own)

    def _suspicion_s(self) -> float:
        return SUSPICION_S * max(1.0, math.log10(len(self.peers.members) + 1))


def _is_alive(news: News) -> bool:
    return news.health is Health.ALIVE
