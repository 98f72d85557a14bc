"""Check which queued call starts first and which one is refused."""

from persimmonhall.admission.urgency import NESTED_RANK, UrgencyLine, Waiting


def fill(*rows):
    """Build a queue from rows of name, rank, target start and latest start."""
    line = UrgencyLine()
    for name, rank, start_by, latest in rows:
        line.add(Waiting(name, rank, start_by, latest))
    return line


def test_call_that_should_have_started_first_starts_first():
    """Order calls by target start across ranks."""
    line = fill(("browse", 2, 0.3, 9), ("eta", 1, 0.1, 9), ("nested", -1, 0.2, 9))
    assert [line.pop_first().item for _ in range(3)] == ["eta", "nested", "browse"]
    assert line.pop_first() is None


def test_least_urgent_newest_gives_way():
    """Remove the newest call of the lowest rank, none at or above the given rank."""
    line = fill(("old", 2, 1, 9), ("new", 2, 2, 9), ("mid", 1, 3, 9))
    assert line.pop_least_urgent(NESTED_RANK).item == "new"
    assert line.pop_least_urgent(1).item == "old"
    assert line.pop_least_urgent(1) is None
    assert len(line) == 1


def test_overdue_calls_are_taken_out_once():
    """Return the calls whose latest start has passed."""
    line = fill(("late", 1, 1, 5), ("early", 1, 2, 9))
    assert [waiting.item for waiting in line.pop_overdue(5)] == ["late"]
    assert line.pop_overdue(5) == []
    assert line.pop_first().item == "early"


def test_removed_call_is_passed_over():
    """Skip a call that its caller abandoned."""
    line = fill(("gone", 1, 1, 9), ("here", 1, 2, 9))
    gone = line._ranks[1][0]
    line.remove(gone)
    line.remove(gone)
    assert (len(line), line.pop_first().item) == (1, "here")
