"""Track the withdrawn claims of a key, so that none is granted late.

A claim id ends with a number that increases over one run of a node's process,
so the highest withdrawn number of a run covers all earlier claims of that run.
"""

from persimmonhall.ids import ClaimId

MAX_WITHDRAWN_RUNS = 64

Withdrawn = tuple[ClaimId, ...]


def withdraw(withdrawn: Withdrawn, claim: ClaimId) -> Withdrawn:
    """Add a claim, replacing an earlier one of the same run."""
    if is_withdrawn(withdrawn, claim):
        return withdrawn
    run, _ = _split_claim_id(claim)
    others = tuple(other for other in withdrawn if _split_claim_id(other)[0] != run)
    return (*others, claim)[-MAX_WITHDRAWN_RUNS:]


def is_withdrawn(withdrawn: Withdrawn, claim: ClaimId) -> bool:
    """Return whether a claim or a later one of the same run was withdrawn."""
    run, number = _split_claim_id(claim)
    marks = (_split_claim_id(mark) for mark in withdrawn)
    return any(mark_run == run and mark >= number for mark_run, mark in marks)


def _split_claim_id(claim: ClaimId) -> tuple[str, int]:
    run, _, number = claim.rpartition("/")
    return (run, int(number)) if number.isdecimal() else (claim, 0)
