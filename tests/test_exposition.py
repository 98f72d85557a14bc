"""Check that metrics are exposed in the Prometheus text format."""

from prometheus_client.parser import text_string_to_metric_families

from persimmonhall.exposition import CallCounters, Exposition


def test_page_has_counters_and_histograms():
    """Expose the recorded values with labels and units."""
    requests, calls = CallCounters(), CallCounters()
    for seconds in (0.004, 0.3):
        requests.record("status_200", "charts", seconds)
    calls.record("overloaded", "charts", 0.01)
    page = Exposition(requests, calls, lambda: {"level": 2.5}).render().decode()
    families = {f.name: f for f in text_string_to_metric_families(page)}
    [counted] = families["persimmonhall_requests"].samples
    assert (counted.labels, counted.value) == ({"outcome": "status_200"}, 2.0)
    buckets = {
        sample.labels["le"]: sample.value
        for sample in families["persimmonhall_requests_seconds"].samples
        if sample.name.endswith("_bucket")
    }
    assert (buckets["0.005"], buckets["0.25"], buckets["+Inf"]) == (1, 1, 2)
    assert families["persimmonhall_level"].samples[0].value == 2.5
