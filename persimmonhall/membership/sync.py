"""Find the buckets of nodes in which the views of two nodes differ."""

from collections.abc import Iterable

import xxhash

from persimmonhall.ids import NodeName
from persimmonhall.membership.messages import Differences, News

BUCKETS = 64


def bucket_of(node: NodeName) -> int:
    """Return the bucket that a node belongs to."""
    return xxhash.xxh64_intdigest(node.encode()) % BUCKETS


def digests_of(news: Iterable[News]) -> tuple[int, ...]:
    """Return one digest per bucket, independent of the order of the updates."""
    digests = [0] * BUCKETS
    for item in news:
        member = item.member
        text = f"{member.node} {member.order} {item.health.is_gone}"
        digests[bucket_of(member.node)] ^= xxhash.xxh64_intdigest(text.encode())
    return tuple(digests)


def news_in(news: Iterable[News], buckets: Iterable[int]) -> tuple[News, ...]:
    """Return the updates of nodes in the given buckets."""
    wanted = frozenset(buckets)
    return tuple(item for item in news if bucket_of(item.member.node) in wanted)


def compare(theirs: tuple[int, ...], news: tuple[News, ...]) -> Differences:
    """Return the buckets whose digests differ and the local updates in them."""
    ours = digests_of(news)
    if len(theirs) != BUCKETS:
        raise ValueError(f"got {len(theirs)} digests, expected {BUCKETS}")
    buckets = tuple(n for n in range(BUCKETS) if ours[n] != theirs[n])
    return Differences(buckets, news_in(news, buckets))
