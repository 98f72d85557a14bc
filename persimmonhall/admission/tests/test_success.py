"""Check when runs of a route count as vain."""

from persimmonhall.admission.success import SuccessShares, is_vain

SOON = 20


def end_all(shares, outcomes):
    """Take in how runs of one kind ended."""
    for outcome in outcomes:
        shares.end("charts", outcome)


def test_unknown_kind_is_not_vain():
    """Let a route be tried that nothing is known of."""
    assert not is_vain(SuccessShares().share("charts"))


def test_failing_runs_are_found_vain_soon():
    """Find it within some twenty runs that none ends well."""
    shares = SuccessShares()
    end_all(shares, [False] * SOON)
    assert is_vain(shares.share("charts"))


def test_two_good_runs_open_a_route_again():
    """Need few good runs, for few are tried."""
    shares = SuccessShares()
    end_all(shares, [False] * 200 + [True, True])
    assert not is_vain(shares.share("charts"))


def test_every_second_run_that_fails_is_not_vain():
    """Leave routes alone whose callers may well succeed."""
    shares = SuccessShares()
    end_all(shares, [True, False] * 100)
    assert not is_vain(shares.share("charts"))
