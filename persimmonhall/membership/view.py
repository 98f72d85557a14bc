"""Merge gossip updates, time out suspects and refute suspicions."""

import math
import random
from dataclasses import replace

from persimmonhall.ids import NodeName
from persimmonhall.membership.effects import DepartureLearned, Effect, HealthChanged
from persimmonhall.membership.gossip_queue import GossipQueue
from persimmonhall.membership.messages import Health, Member, News
from persimmonhall.membership.peers import Peers
from persimmonhall.membership.table import MemberTable

MIN_SUSPICION_TIMEOUT_S = 3.0


class MembershipView:
    """Keep the newest update of every node and queue changes for propagation."""

    def __init__(self, table: MemberTable, rng: random.Random):
        self._table = table
        self._has_left = False
        self._suspicion_deadlines: dict[NodeName, float] = {}
        self.peers = Peers(table, rng)
        self.queue = GossipQueue()

    @property
    def local_member(self) -> Member:
        """Return this node's own record."""
        return self._table.local_member

    @property
    def next_suspicion_deadline(self) -> float:
        """Return when the next suspicion times out."""
        return min(self._suspicion_deadlines.values(), default=math.inf)

    def set_local_member(self, local_member: Member) -> None:
        """Replace this node's own record and queue it."""
        # Raises an error if no message can hold the record: it must not be adopted.
        self.queue.add(News(local_member))
        self._table.set_local_member(local_member)

    def leave(self) -> None:
        """Queue the update that this node has left and stop refuting."""
        self._has_left = True
        self.set_local_member(
            replace(self.local_member, version=self.local_member.version + 1)
        )
        self.queue.add(News(self.local_member, Health.LEFT))

    def news_of(self, node: NodeName) -> News | None:
        """Return the latest update of another node."""
        peer = self.peers.get(node)
        return peer.news if peer is not None else None

    def news_for(self, sender: Member) -> tuple[News, ...]:
        """Return what a node has to know about itself: an accusation, a departure."""
        known = self.news_of(sender.node)
        if known is None:
            return ()
        is_unknown = known.member.knows_later_departure(sender)
        return (known,) if is_unknown or not _is_alive(known) else ()

    def news_to_refute(self, node: NodeName) -> tuple[News, ...]:
        """Return the latest update of a node unless it is alive."""
        known = self.news_of(node)
        return (known,) if known is not None and not _is_alive(known) else ()

    def suspect(self, node: NodeName, now: float) -> list[Effect]:
        """Mark a member that did not answer as suspect."""
        known = self.news_of(node)
        if known is None or not _is_alive(known):
            return []
        return self._store(News(known.member, Health.SUSPECT), now)

    def restart_suspicion_timeouts(self, now: float) -> None:
        """Restart the suspicion timeout of every suspect."""
        deadline = now + self._suspicion_timeout_s()
        self._suspicion_deadlines = dict.fromkeys(self._suspicion_deadlines, deadline)

    def merge_news(
        self, news: tuple[News, ...], now: float, *, propagate: bool = True
    ) -> list[Effect]:
        """Merge newer updates and queue them if propagate is set."""
        effects: list[Effect] = []
        for item in news:
            effects += self._merge(item, now, propagate)
        return effects

    def expire_suspects(self, now: float) -> list[Effect]:
        """Mark suspects dead that did not refute before their deadline."""
        effects: list[Effect] = []
        for node in [n for n, end in self._suspicion_deadlines.items() if now >= end]:
            member = self.peers.get(node).news.member
            effects += self._store(News(member, Health.DEAD), now)
        return effects

    def _merge(self, news: News, now: float, propagate: bool) -> list[Effect]:
        if news.member.node == self.local_member.node:
            effects = self._adopt_departure(news.member)
            self._refute(news)
            return effects
        known = self.news_of(news.member.node)
        if known is None:
            return self._store(news, now, propagate)
        if known.member.knows_later_departure(news.member):
            news = _with_departure(news, known.member)
        elif news.member.knows_later_departure(known.member):
            known = _with_departure(known, news.member)
            self.peers.put(known, now)
            self.queue.add(known)
        if news.health is Health.DEAD and _is_alive(known):
            # Mark it suspect first, so that the member can still refute the update.
            news = replace(news, health=Health.SUSPECT)
        return (
            self._store(news, now, propagate)
            if news.precedence > known.precedence
            else []
        )

    def _store(self, news: News, now: float, propagate: bool = True) -> list[Effect]:
        node = news.member.node
        known = self.news_of(node)
        self.peers.put(news, now)
        self._suspicion_deadlines.pop(node, None)
        if propagate or news.health is Health.SUSPECT:
            self.queue.add(news)
        if news.health is Health.SUSPECT:
            self._suspicion_deadlines[node] = now + self._suspicion_timeout_s()
        changed = known is None or known.health is not news.health
        return [HealthChanged(news)] if changed else []

    def _adopt_departure(self, member: Member) -> list[Effect]:
        """Take over what an earlier process of this node has announced."""
        local_member = self.local_member
        if self._has_left or not member.knows_later_departure(local_member):
            return []
        self.set_local_member(
            replace(
                local_member,
                version=local_member.version + 1,
                departure=member.departure,
            )
        )
        return [DepartureLearned(member.departure)]

    def _refute(self, news: News) -> None:
        local_member = self.local_member
        is_newer = news.member.version_key > local_member.version_key
        is_accused = (
            news.member.version_key == local_member.version_key and not _is_alive(news)
        )
        if self._has_left or not (is_newer or is_accused):
            return
        if news.member.incarnation > local_member.incarnation:
            local_member = replace(
                local_member, incarnation=news.member.incarnation + 1, version=0
            )
        else:
            local_member = replace(local_member, version=news.member.version + 1)
        self.set_local_member(local_member)

    def _suspicion_timeout_s(self) -> float:
        return MIN_SUSPICION_TIMEOUT_S * max(
            1.0, math.log10(len(self.peers.members) + 1)
        )


def _with_departure(news: News, member: Member) -> News:
    """Return an update with the departure that another record of the node has."""
    return replace(news, member=replace(news.member, departure=member.departure))


def _is_alive(news: News) -> bool:
    return news.health is Health.ALIVE
