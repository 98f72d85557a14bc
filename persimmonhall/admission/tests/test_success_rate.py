"""Check when the runs of a route count as unlikely to succeed."""

from persimmonhall.admission.success_rate import SuccessRates, is_unlikely_to_succeed

DETECTION_RUNS = 20


def record_all(rates, outcomes):
    """Record the outcomes of runs of one kind."""
    for outcome in outcomes:
        rates.record("charts", outcome)


def test_unknown_kind_is_assumed_to_succeed():
    """Admit requests of a route without recorded runs."""
    assert not is_unlikely_to_succeed(SuccessRates().rate("charts"))


def test_failing_runs_are_detected_soon():
    """Detect a route whose runs all fail within about twenty runs."""
    rates = SuccessRates()
    record_all(rates, [False] * DETECTION_RUNS)
    assert is_unlikely_to_succeed(rates.rate("charts"))


def test_two_successful_runs_reopen_a_route():
    """Need few successful runs, as few requests are admitted to detect the recovery."""
    rates = SuccessRates()
    record_all(rates, [False] * 200 + [True, True])
    assert not is_unlikely_to_succeed(rates.rate("charts"))


def test_half_of_the_runs_failing_is_tolerated():
    """Refuse no requests of a route where every second run succeeds."""
    rates = SuccessRates()
    record_all(rates, [True, False] * 100)
    assert not is_unlikely_to_succeed(rates.rate("charts"))
