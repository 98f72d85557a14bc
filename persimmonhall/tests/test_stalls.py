"""Test the detection of process pauses."""

from persimmonhall.stalls import STALL_S, Stalls


def test_stall_hits_what_began_before_its_end_whoever_notices_it_first():
    stalls = Stalls()
    stalls.beat(10.0)
    assert stalls.has_hit(9.9, 15.0)
    stalls.beat(15.01)
    assert stalls.has_hit(14.9, 15.02)
    assert not stalls.has_hit(15.0, 15.02)


def test_short_gaps_and_a_loop_without_beats_are_no_stalls():
    stalls = Stalls()
    assert not stalls.has_hit(0.0, 100.0)
    stalls.beat(100.0)
    assert not stalls.has_hit(0.0, 100.0 + STALL_S / 2)
