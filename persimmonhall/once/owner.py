"""Choose the only server that may run a suspect."""

from collections.abc import Collection, Iterable

import xxhash

from persimmonhall.ids import Fingerprint, NodeName
from persimmonhall.membership.messages import Member
from persimmonhall.routing.router import Choice, ChoiceReason


def choose_owner(
    members: Iterable[Member], fingerprint: Fingerprint, exclude: Collection[NodeName]
) -> Choice | None:
    """Return the member with the highest rendezvous hash, or None if none is left."""
    left = [member for member in members if member.node not in exclude]
    if not left:
        return None
    left.sort(key=lambda m: xxhash.xxh3_64_intdigest(m.node.encode(), fingerprint))
    return Choice(
        left[-1], tuple(member.node for member in left[-2:]), ChoiceReason.SUSPECT_OWNER
    )
