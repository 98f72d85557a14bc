"""Check how a server's rate limit paces calls."""

import pytest

from persimmonhall.admission.rate_limiter import BURST_S, MIN_RATE_PER_S, RateLimiter


def count_sent(limiter, start, length_s, step_s=0.001):
    """Send as many calls as the limiter allows and return their number."""
    sent = 0
    for step in range(round(length_s / step_s)):
        while limiter.is_ready(start + step * step_s):
            limiter.spend()
            sent += 1
    return sent


@pytest.mark.parametrize("rate", [0.5, 23.1, 800.0])
def test_calls_keep_to_the_rate_from_its_start(rate):
    """Send no burst at the start: calls sent before the limit still count."""
    limiter = RateLimiter()
    limiter.set_rate(rate, now=5.0)
    assert count_sent(limiter, 5.0, 4.0) == pytest.approx(4.0 * rate, abs=1)


def test_idle_time_earns_a_bounded_burst():
    """After a pause, catch up with a fraction of a second at most."""
    limiter = RateLimiter()
    limiter.set_rate(100.0, now=0.0)
    assert count_sent(limiter, 60.0, 0.001) == BURST_S * 100.0


def test_server_that_accepts_nothing_is_tried_now_and_then():
    """Send rare calls at a limit of 0, whose answers can tell its end."""
    limiter = RateLimiter()
    limiter.set_rate(0.0, now=0.0)
    assert count_sent(limiter, 0.0, 20.1, 0.01) == 20 * MIN_RATE_PER_S


def test_no_limit_holds_after_its_end():
    """Allow any number of calls at once."""
    limiter = RateLimiter()
    limiter.set_rate(1.0, now=0.0)
    limiter.set_rate(None, now=0.1)
    assert all(limiter.is_ready(0.1) for _ in range(100))
    assert limiter.wait_s(50, 0.1) == 0.0


def test_steady_limit_is_not_restarted_by_each_answer():
    """Earn calls at a limit that every answer states again."""
    limiter = RateLimiter()
    sent = 0
    for step in range(101):
        limiter.set_rate(10.0, now=step * 0.01)
        sent += count_sent(limiter, step * 0.01, 0.001)
    assert sent == pytest.approx(10, abs=1)
