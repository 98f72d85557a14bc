"""Check which requests count as answered lately."""

from persimmonhall.ids import Fingerprint
from persimmonhall.once.proven import PROVEN_S, ProvenRequests


def test_answer_counts_for_a_bounded_time():
    proven = ProvenRequests()
    proven.add(Fingerprint(1), 0.0)
    assert proven.holds(Fingerprint(1), PROVEN_S)
    assert not proven.holds(Fingerprint(1), PROVEN_S + 0.1)
    assert not proven.holds(Fingerprint(2), 0.0)


def test_oldest_answer_is_forgotten_first():
    proven = ProvenRequests(max_requests=2)
    for number, now in ((1, 0.0), (2, 1.0), (1, 2.0), (3, 3.0)):
        proven.add(Fingerprint(number), now)
    assert [proven.holds(Fingerprint(n), 3.0) for n in (1, 2, 3)] == [
        True,
        False,
        True,
    ]
