"""Find the buckets of nodes in which the views of two nodes differ."""

from collections.abc import Iterable

import xxhash

from persimmonhall.ids import NodeName
from persimmonhall.membership.messages import Differences, News

BUCKET_COUNT = 64


def bucket_of(node: NodeName) -> int:
    """Return the bucket that a node belongs to."""
    return xxhash.xxh64_intdigest(node.encode()) % BUCKET_COUNT


def bucket_digests(news: Iterable[News]) -> tuple[int, ...]:
    """Return one digest per bucket, independent of the order of the updates."""
    digests = [0] * BUCKET_COUNT
    for item in news:
        member = item.member
        text = f"{member.node} {member.version_key} {item.health.is_gone}"
        digests[bucket_of(member.node)] ^= xxhash.xxh64_intdigest(text.encode())
    return tuple(digests)


def news_in_buckets(news: Iterable[News], buckets: Iterable[int]) -> tuple[News, ...]:
    """Return the updates of nodes in the given buckets."""
    wanted = frozenset(buckets)
    return tuple(item for item in news if bucket_of(item.member.node) in wanted)


def find_differences(
    peer_digests: tuple[int, ...], news: tuple[News, ...]
) -> Differences:
    """Return the buckets whose digests differ and the local updates in them."""
    local_digests = bucket_digests(news)
    if len(peer_digests) != BUCKET_COUNT:
        raise ValueError(f"got {len(peer_digests)} digests, expected {BUCKET_COUNT}")
    buckets = tuple(
        n for n in range(BUCKET_COUNT) if local_digests[n] != peer_digests[n]
    )
    return Differences(buckets, news_in_buckets(news, buckets))
