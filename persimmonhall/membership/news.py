"""Select the gossip updates to piggyback on the next datagrams."""

import math
from dataclasses import dataclass

from persimmonhall.ids import NodeName
from persimmonhall.membership.messages import Member, News

MAX_DATAGRAM_BYTES = 1200
HEAD_BYTES = 160
RECORD_BYTES = 128
WORD_BYTES = 8
RETRANSMIT_FACTOR = 3


def wire_bytes(member: Member) -> int:
    """Return the maximum size in bytes of a record within a datagram."""
    texts = (member.node, member.zone, member.region, member.frames, member.service)
    return RECORD_BYTES + sum(len(text.encode()) + WORD_BYTES for text in texts)


@dataclass(slots=True)
class _Item:
    news: News
    size: int
    sent: int = 0


class NewsQueue:
    """Queue gossip updates until each was sent a limited number of times."""

    def __init__(self):
        self._items: dict[NodeName, _Item] = {}

    def __len__(self) -> int:
        """Return the number of nodes with a queued update."""
        return len(self._items)

    def add(self, news: News) -> None:
        """Queue an update in place of an older one of the same node."""
        self._items[news.member.node] = _Item(news, wire_bytes(news.member))

    def take(self, budget_bytes: int, members: int) -> tuple[News, ...]:
        """Return the least-sent updates that fit and count them as sent."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log(members + 1))
        taken = []
        for item in sorted(self._items.values(), key=lambda item: item.sent):
            if item.size > budget_bytes:
                break
            budget_bytes -= item.size
            item.sent += 1
            taken.append(item.news)
            if item.sent >= limit:
                del self._items[item.news.member.node]
        return tuple(taken)
