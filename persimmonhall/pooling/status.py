"""Show operators the organisations as a node knows them."""

import json

from persimmonhall.http.messages import HttpAnswer
from persimmonhall.pooling.pooled_counts import PooledCounts, SubjectRates

ORGANISATIONS_PATH = "/-/organisations"
# Bounds the labels of metrics.
MAX_METRIC_ORGANISATIONS = 20
JSON_CONTENT_TYPE = (b"content-type", b"application/json")


def answer_status(counts: PooledCounts, now: float) -> HttpAnswer:
    """Return the rates of all organisations, known to collectors only."""
    body = {
        "collector": counts.collector,
        "is_collector": counts.is_collector,
        "is_connected": counts.limits.is_connected(now),
        "organisations": [_describe(row) for row in counts.rates()],
    }
    return HttpAnswer(200, (JSON_CONTENT_TYPE,), json.dumps(body).encode())


def _describe(row: SubjectRates) -> dict:
    return {
        "organisation": row.name,
        "asked": round(row.asked, 2),
        "admitted": round(row.admitted, 2),
        "refused_by_quota": round(row.refused_by_quota, 2),
        "refused_otherwise": round(row.refused_otherwise, 2),
        "quota": row.quota.rate_per_s,
        "burst": row.quota.burst,
        "fraction": round(row.fraction, 3),
        "share": round(row.share, 3),
    }


def organisation_gauges(counts: PooledCounts) -> dict[str, dict[str, float]]:
    """Return the metrics of the busiest organisations, at collectors only."""
    rows = counts.rates()[:MAX_METRIC_ORGANISATIONS]
    if not rows:
        return {}
    return {
        "asked_per_second": {row.name: row.asked for row in rows},
        "admitted_per_second": {row.name: row.admitted for row in rows},
        "quota_per_second": {row.name: row.quota.rate_per_s for row in rows},
        "quota_fraction": {row.name: row.fraction for row in rows},
    }
