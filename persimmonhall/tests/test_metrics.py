"""Test the metrics page of a replica."""

from persimmonhall.histogram import new_histogram, record_seconds
from persimmonhall.metrics import ReplicaMetrics, replica_metrics_page

REPLICA_METRICS = ReplicaMetrics(
    role="follower",
    term=4,
    commit=90,
    applied=89,
    snapshot=50,
    log_bytes=1234,
    claims=7,
    documents=2,
    voters=3,
    leader_known=True,
    storage_full=False,
    elections=1,
)


def test_replica_page_has_one_metric_per_line():
    syncs = new_histogram()
    for _ in range(99):
        record_seconds(syncs, 0.001)
    record_seconds(syncs, 0.5)
    lines = replica_metrics_page(REPLICA_METRICS, syncs).decode().splitlines()
    page = dict(line.removeprefix("persimmonhall_").rsplit(" ", 1) for line in lines)
    assert page['role{role="follower"}'] == "1"
    assert (page["term"], page["elections_total"]) == ("4", "1")
    assert (page["commit_index"], page["applied_index"]) == ("90", "89")
    assert (page["claims"], page["documents"]) == ("7", "2")
    assert (page["leader_known"], page["storage_full"]) == ("1", "0")
    assert 990 <= int(page['sync_us{percentile="50"}']) <= 1010
    assert int(page['sync_us{percentile="99.9"}']) >= 495_000
    assert page["sync_us_count"] == "100"
