"""Test goodput and recovery time of load reports."""

import pytest

from persimmonhall.load.report import Report, Sample

REQUESTS_PER_S = 50


def make_report(bad_from: float, bad_until: float, end: float = 20.0) -> Report:
    """Build a report in which all requests sent in a span of time failed."""
    report = Report()
    for number in range(int(end * REQUESTS_PER_S)):
        begin = number / REQUESTS_PER_S
        good = not bad_from <= begin < bad_until
        report.add(Sample("customer", "all", begin, begin + 0.1, good, "timeout"))
    return report


@pytest.mark.parametrize(
    ("bad_until", "recovery_s"),
    [(10.0, 0.0), (12.0, 2.0), (15.0, 5.0), (20.0, float("inf"))],
)
def test_recovery_time_starts_at_the_end_of_the_trigger(bad_until, recovery_s):
    report = make_report(5.0, bad_until)
    assert report.recovery_s((0.0, 5.0), 10.0) == pytest.approx(recovery_s, abs=0.2)


def test_tally_counts_good_answers_and_failure_reasons():
    tally = make_report(5.0, 10.0).tally("all", "customer")
    assert (tally.sent, tally.good) == (1000, 750)
    assert tally.reasons == {"timeout": 250}
    assert tally.as_dict()["latency_ms"]["p50"] == pytest.approx(100, rel=0.01)
