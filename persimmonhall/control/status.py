"""Describe a replica for operators."""

from persimmonhall.control.replica import Replica
from persimmonhall.metrics import ReplicaFigures, replica_page


def status_of(replica: Replica) -> dict:
    """Return the role, term and indexes of a replica."""
    core = replica.core
    leader = core.replicas.get(core.leader_id) if core.leader_id else None
    own = core.replicas.get(core.id)
    return {
        "name": own.name if own is not None else "",
        "id": core.id,
        "role": _role_of(replica),
        "leader": leader.name if leader is not None else "",
        "term": core.term,
        "commit": core.commit_index,
        "index": replica.machine.index,
        "snapshot": core.snapshot_index,
        "storage": replica.driver.disk_full_reason or "ok",
        "documents": replica.machine.documents.count,
        "claims": replica.machine.claims.count,
        "log_bytes": replica.driver.log_bytes,
        "elections": replica.driver.elections,
        "sync_p99_ms": replica.driver.sync_us.get_value_at_percentile(99.0) / 1000,
        "voters": len(core.replicas.voters),
        "matches": {row["name"]: row["match"] for row in replicas_of(replica)},
    }


def metrics_of(replica: Replica) -> bytes:
    """Return the counts of a replica as a page of text."""
    core, driver, machine = replica.core, replica.driver, replica.machine
    figures = ReplicaFigures(
        role=_role_of(replica),
        term=core.term,
        commit=core.commit_index,
        applied=machine.index,
        snapshot=core.snapshot_index,
        log_bytes=driver.log_bytes,
        claims=machine.claims.count,
        documents=machine.documents.count,
        voters=len(core.replicas.voters),
        leader_known=core.leader_id is not None,
        storage_full=bool(driver.disk_full_reason),
        elections=driver.elections,
    )
    return replica_page(figures, driver.sync_us)


def _role_of(replica: Replica) -> str:
    core = replica.core
    return core.role.value if core.replicas.get(core.id) else "joining"


def replicas_of(replica: Replica) -> list[dict]:
    """Return the replica set; only the leader knows how far each log matches."""
    core = replica.core
    matches = {core.id: core.last_index, **core.match_indexes}
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
