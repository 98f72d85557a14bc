"""Describe a replica for operators."""

from persimmonhall.control.replica import Replica


def status_of(replica: Replica) -> dict:
    """Return the role, term and indexes of a replica."""
    core = replica.core
    leader = core.replicas.get(core.leader_id) if core.leader_id else None
    own = core.replicas.get(core.id)
    return {
        "name": own.name if own is not None else "",
        "id": core.id,
        "role": core.role.value if own is not None else "joining",
        "leader": leader.name if leader is not None else "",
        "term": core.term,
        "commit": core.commit,
        "index": replica.machine.index,
        "snapshot": core.snapshot_index,
        "storage": replica.driver.full or "ok",
        "documents": replica.machine.documents.count,
        "voters": len(core.replicas.voters),
        "matches": {row["name"]: row["match"] for row in replicas_of(replica)},
    }


def replicas_of(replica: Replica) -> list[dict]:
    """Return the replica set; only the leader knows how far each log matches."""
    core = replica.core
    matches = {core.id: core.last_index, **core.matches}
    return [
        {
            "name": member.name,
            "id": member.id,
            "address": member.address,
            "voter": member.voter,
            "match": matches.get(member.id),
        }
        for member in core.replicas.members
    ]
