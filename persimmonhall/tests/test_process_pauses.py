"""Test the detection of process pauses."""

from persimmonhall.process_pauses import MIN_PROCESS_PAUSE_S, ProcessPauses


def test_pause_counts_for_what_began_before_its_end():
    process_pauses = ProcessPauses()
    process_pauses.record_heartbeat(10.0)
    assert process_pauses.has_paused_since(9.9, 15.0)
    process_pauses.record_heartbeat(15.01)
    assert process_pauses.has_paused_since(14.9, 15.02)
    assert not process_pauses.has_paused_since(15.0, 15.02)


def test_short_gaps_and_a_loop_without_heartbeats_are_no_pauses():
    process_pauses = ProcessPauses()
    assert not process_pauses.has_paused_since(0.0, 100.0)
    process_pauses.record_heartbeat(100.0)
    assert not process_pauses.has_paused_since(0.0, 100.0 + MIN_PROCESS_PAUSE_S / 2)
