"""Check how the limit adapts to announced slots, latency, shedding and failures."""

import pytest

from persimmonhall.admission.limiter import ConcurrencyLimiter, Sample
from persimmonhall.admission.messages import Outcome, RequestKind
from persimmonhall.admission.service_times import ServiceTimes

KIND = RequestKind("GET /segments")


def feed(limiter, begin: float, count: int, seconds=0.1, outcome=Outcome.DONE):
    """Record full rounds of requests, as many in each as the limit allows."""
    now = begin
    for _ in range(count):
        started, now = now, now + seconds
        for _ in range(limiter.limit):
            sample = Sample(KIND, outcome, started, seconds, limiter.limit)
            limiter.record(sample, now)
    return now


def test_a_cold_server_starts_low_and_doubles_each_round():
    limiter = ConcurrencyLimiter(1)
    limiter.start_cold(40, 0.0)
    limits = [limiter.limit]
    now = 0.0
    while limiter.limit < 40:
        now = feed(limiter, now, 1)
        limits.append(limiter.limit)
    assert limits == [4, 8, 16, 32, 40]


def test_announced_slots_cap_the_limit_at_once():
    limiter = ConcurrencyLimiter(40)
    limiter.set_slots(10)
    assert limiter.limit == 10
    limiter.set_slots(20)
    assert limiter.limit == 20


@pytest.mark.parametrize("outcome", [Outcome.SHED, Outcome.FAILED])
def test_limit_falls_to_one_and_is_back_within_two_seconds(outcome):
    limiter = ConcurrencyLimiter(60)
    now = feed(limiter, 0.0, 5)
    now = feed(limiter, now, 200, seconds=0.01, outcome=outcome)
    assert limiter.limit == 1
    end = now
    while limiter.limit < 60:
        now = feed(limiter, now, 1)
    assert now - end <= 2.0


def test_requests_started_before_a_cut_do_not_cut_again():
    limiter = ConcurrencyLimiter(10)
    for _ in range(50):
        limiter.record(Sample(KIND, Outcome.SHED, 0.0, 0.1, 10), 0.1)
    assert limiter.limit == 8


def test_recently_proven_limit_is_not_cut():
    limiter = ConcurrencyLimiter(4)
    now = feed(limiter, 0.0, 10)
    limits = set()
    while now < 8.0:
        now = feed(limiter, now, 1, seconds=0.4)
        limits.add(limiter.limit)
    assert limits == {4}


def test_reduced_server_capacity_is_detected_once_the_proven_limit_expires():
    limiter = ConcurrencyLimiter(20)
    now = feed(limiter, 0.0, 10)
    while now < 40.0:
        now = feed(limiter, now, 1, seconds=0.1 * max(1.0, limiter.limit / 4))
    assert 4 <= limiter.limit <= 15


def test_cut_goes_no_lower_than_the_recently_proven_limit():
    limiter = ConcurrencyLimiter(40)
    now = 0.0
    while now < 2.0:
        started, now = now, now + 0.1
        for _ in range(10):
            limiter.record(Sample(KIND, Outcome.DONE, started, 0.1, 10), now)
    while limiter.limit > 10 and now < 8.0:
        now = feed(limiter, now, 1, seconds=0.05 * limiter.limit)
    assert limiter.limit == 10


def test_requests_below_the_limit_do_not_raise_it():
    limiter = ConcurrencyLimiter(10)
    limiter.record(Sample(KIND, Outcome.SHED, 0.0, 0.1, 5), 0.1)
    assert limiter.limit == 4
    for number in range(100):
        started = 1.0 + number * 0.1
        limiter.record(Sample(KIND, Outcome.DONE, started, 0.1, 1), started + 0.1)
    assert limiter.limit == 4


def test_estimate_without_samples_decays_after_a_delay():
    times = ServiceTimes()
    times.record(KIND, 2.0, 0.0)
    assert times.expected_s(KIND, 4.0) == 2.0
    assert times.expected_s(KIND, 6.0) == 0.5
    times.record(KIND, 0.1, 20.0)
    assert times.expected_s(KIND, 20.0) == pytest.approx(0.1, abs=0.01)
