"""Check which queued call starts first and which one is refused."""

from persimmonhall.admission.urgency_queue import NESTED_RANK, QueuedCall, UrgencyQueue


def make_queue(*rows):
    """Build a queue from rows of name, rank, target start and latest start."""
    queue = UrgencyQueue()
    for name, rank, target_start, latest in rows:
        queue.add(QueuedCall(name, rank, target_start, latest))
    return queue


def test_call_with_the_earliest_target_start_starts_first():
    """Order calls by target start across ranks."""
    queue = make_queue(
        ("browse", 2, 0.3, 9), ("eta", 1, 0.1, 9), ("nested", -1, 0.2, 9)
    )
    assert [queue.pop_first().item for _ in range(3)] == ["eta", "nested", "browse"]
    assert queue.pop_first() is None


def test_newest_call_of_the_least_urgent_rank_is_displaced():
    """Remove the newest call of the lowest rank, none at or above the given rank."""
    queue = make_queue(("old", 2, 1, 9), ("new", 2, 2, 9), ("mid", 1, 3, 9))
    assert queue.pop_least_urgent(NESTED_RANK).item == "new"
    assert queue.pop_least_urgent(1).item == "old"
    assert queue.pop_least_urgent(1) is None
    assert len(queue) == 1


def test_overdue_calls_are_removed_once():
    """Return the calls whose latest start has passed."""
    queue = make_queue(("late", 1, 1, 5), ("early", 1, 2, 9))
    assert [call.item for call in queue.pop_overdue(5)] == ["late"]
    assert queue.pop_overdue(5) == []
    assert queue.pop_first().item == "early"


def test_removed_call_is_skipped():
    """Skip a call that its caller abandoned."""
    queue = make_queue(("gone", 1, 1, 9), ("here", 1, 2, 9))
    gone = queue._queues_by_rank[1][0]
    queue.remove(gone)
    queue.remove(gone)
    assert (len(queue), queue.pop_first().item) == (1, "here")
