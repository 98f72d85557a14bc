"""Select the gossip updates to piggyback on the next datagrams."""

import math
from dataclasses import dataclass

from persimmonhall.ids import NodeName
from persimmonhall.membership.messages import News, pack_news
from persimmonhall.wire.codec import ITEM_SIZE

MAX_DATAGRAM_BYTES = 1200
DATAGRAM_OVERHEAD_BYTES = 160
RETRANSMIT_FACTOR = 2


def wire_bytes(news: News) -> int:
    """Return the size in bytes of an update within a datagram."""
    return ITEM_SIZE.size + len(pack_news(news))


@dataclass(slots=True)
class _QueuedNews:
    news: News
    size_bytes: int
    sent_count: int = 0


class GossipQueue:
    """Queue gossip updates until each was sent a limited number of times."""

    def __init__(self):
        self._items: dict[NodeName, _QueuedNews] = {}

    def __len__(self) -> int:
        """Return the number of nodes with a queued update."""
        return len(self._items)

    def add(self, news: News) -> None:
        """Queue an update in place of an older one of the same node."""
        self._items[news.member.node] = _QueuedNews(news, wire_bytes(news))

    def take(self, budget_bytes: int, member_count: int) -> tuple[News, ...]:
        """Return the least-sent updates that fit and count them as sent."""
        max_sends = RETRANSMIT_FACTOR * math.ceil(math.log(member_count + 1))
        taken = []
        for item in sorted(self._items.values(), key=lambda item: item.sent_count):
            if item.size_bytes > budget_bytes:
                break
            budget_bytes -= item.size_bytes
            item.sent_count += 1
            taken.append(item.news)
            if item.sent_count >= max_sends:
                del self._items[item.news.member.node]
        return tuple(taken)
