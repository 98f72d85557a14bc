"""Report the status of a replica to operators."""

from persimmonhall.control.replica import Replica
from persimmonhall.metrics import ReplicaMetrics, replica_metrics_page


def replica_status(replica: Replica) -> dict:
    """Return the status of a replica: role, term, indexes and counts."""
    core = replica.core
    leader = core.replicas.get(core.leader_id) if core.leader_id else None
    local_member = core.replicas.get(core.id)
    return {
        "name": local_member.name if local_member is not None else "",
        "id": core.id,
        "role": _role_name(replica),
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
        "matches": {row["name"]: row["match"] for row in list_replicas(replica)},
    }


def replica_metrics(replica: Replica) -> bytes:
    """Return the metrics of a replica in the Prometheus text format."""
    core, driver, machine = replica.core, replica.driver, replica.machine
    figures = ReplicaMetrics(
        role=_role_name(replica),
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
    return replica_metrics_page(figures, driver.sync_us)


def _role_name(replica: Replica) -> str:
    core = replica.core
    return core.role.value if core.replicas.get(core.id) else "joining"


def list_replicas(replica: Replica) -> list[dict]:
    """Return the replica set; only the leader knows all match indexes."""
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
