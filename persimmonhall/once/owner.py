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
    candidates = [member for member in members if member.node not in exclude]
    if not candidates:
        return None
    candidates.sort(
        key=lambda m: xxhash.xxh3_64_intdigest(m.node.encode(), fingerprint)
    )
    return Choice(
        candidates[-1],
        tuple(member.node for member in candidates[-2:]),
        ChoiceReason.SUSPECT_OWNER,
    )
