"""Check when the runs of a route count as unlikely to succeed."""

from persimmonhall.admission.success import SuccessShares, is_vain

SOON = 20


def end_all(shares, outcomes):
    """Record the outcomes of runs of one kind."""
    for outcome in outcomes:
        shares.end("charts", outcome)


def test_unknown_kind_is_not_vain():
    """Admit requests of a route without recorded runs."""
    assert not is_vain(SuccessShares().share("charts"))


def test_failing_runs_are_found_vain_soon():
    """Detect a route whose runs all fail within about twenty runs."""
    shares = SuccessShares()
    end_all(shares, [False] * SOON)
    assert is_vain(shares.share("charts"))


def test_two_good_runs_open_a_route_again():
    """Need few successful runs, as few requests are admitted to detect the recovery."""
    shares = SuccessShares()
    end_all(shares, [False] * 200 + [True, True])
    assert not is_vain(shares.share("charts"))


def test_every_second_run_that_fails_is_not_vain():
    """Refuse no requests of a route where every second run succeeds."""
    shares = SuccessShares()
    end_all(shares, [True, False] * 100)
    assert not is_vain(shares.share("charts"))
