"""Count requests by subject and report the counts.

With eighty entries, each sees too little of an organisation to judge it, so all of
them report to one node of the zone what they counted.
"""

from collections.abc import Container
from typing import NamedTuple

from persimmonhall.pooling.messages import Count, CountsReport, signed_difference
from persimmonhall.pooling.subject import SubjectId

# A change is in this many reports, so that one that arrives repairs lost ones.
REPORTS_PER_CHANGE = 3
BINS_PER_WINDOW = 10


class _SubjectCount:
    """Hold the counts of one subject, and those of the window in bins."""

    __slots__ = ("asked", "admitted", "bins", "reports_left")

    def __init__(self):
        self.asked = 0
        self.admitted = 0
        self.bins = [0] * (BINS_PER_WINDOW + 1)
        self.reports_left = 0


class CumulativeCounts:
    """Count what was asked and admitted since the start, and in the last window."""

    def __init__(self, window_s: float, boot: int, now: float):
        self._bin_s = window_s / BINS_PER_WINDOW
        self._window_s = window_s
        self._boot = boot
        self._sequence = 0
        self._started_at = now
        self._bin_number = int(now / self._bin_s)
        self._subjects: dict[SubjectId, _SubjectCount] = {}
        # Those that the next report contains.
        self._changed: set[SubjectId] = set()
        # Part of the nodes that are in zones which can be reached.
        self.reach = 1.0

    @property
    def has_changes(self) -> bool:
        """Return whether there is something to report again."""
        return bool(self._changed)

    def add(self, subject: SubjectId, asked: int, admitted: int, now: float) -> None:
        """Count requests; negative numbers give them back."""
        self._start_bins(now)
        count = self._subjects.get(subject)
        if count is None:
            count = self._subjects[subject] = _SubjectCount()
        count.asked += asked
        count.admitted += admitted
        count.bins[self._bin_number % len(count.bins)] += admitted
        count.reports_left = REPORTS_PER_CHANGE
        self._changed.add(subject)

    def add_recent(self, subject: SubjectId, admitted: int, now: float) -> None:
        """Add requests of the last window that were counted elsewhere."""
        self._start_bins(now)
        count = self._subjects.setdefault(subject, _SubjectCount())
        count.bins[self._bin_number % len(count.bins)] += admitted

    def keep(self, subjects: Container[SubjectId]) -> None:
        """Drop the counts of all other subjects."""
        for subject in [s for s in self._subjects if s not in subjects]:
            del self._subjects[subject]
            self._changed.discard(subject)

    def recent(self, subject: SubjectId, now: float) -> int:
        """Return how many requests were admitted in the last window."""
        self._start_bins(now)
        count = self._subjects.get(subject)
        return sum(count.bins) if count is not None else 0

    def covered_s(self, now: float) -> float:
        """Return for how long requests were counted, up to the window."""
        return min(self._window_s, now - self._started_at)

    def make_report(
        self,
        now: float,
        *,
        is_first: bool,
        needs_shares: bool = False,
        needs_answer: bool = True,
    ) -> CountsReport:
        """Report what has changed, or everything in a first report."""
        self._start_bins(now)
        self._sequence += 1
        counts = {}
        for subject in list(self._subjects if is_first else self._changed):
            count = self._subjects[subject]
            counts[subject] = Count(count.asked, count.admitted, sum(count.bins))
            count.reports_left = max(0, count.reports_left - 1)
            if not count.reports_left:
                self._changed.discard(subject)
        return CountsReport(
            self._boot,
            self._sequence,
            self.covered_s(now),
            counts,
            is_first,
            needs_shares,
            self.reach,
            needs_answer,
        )

    def repeat_in_full(self, report: CountsReport, now: float) -> CountsReport:
        """Return a first report with the sequence of another report."""
        counts = {
            subject: Count(count.asked, count.admitted, sum(count.bins))
            for subject, count in self._subjects.items()
        }
        return CountsReport(
            self._boot,
            report.sequence,
            self.covered_s(now),
            counts,
            is_first=True,
            reach=self.reach,
        )

    def _start_bins(self, now: float) -> None:
        number = int(now / self._bin_s)
        if number == self._bin_number:
            return
        started = min(number - self._bin_number, BINS_PER_WINDOW + 1)
        for count in self._subjects.values():
            for offset in range(started):
                count.bins[(number - offset) % len(count.bins)] = 0
        self._bin_number = number


class Change(NamedTuple):
    """Describe what a report adds to the sums.

    `recent` are requests of the last window that it does not add, as they were
    counted before the first report.
    """

    asked: int
    admitted: int
    recent: int = 0


class CountsSource:
    """Turn the cumulative counts of one reporter into changes."""

    def __init__(self):
        self._boot = -1
        self._sequence = -1
        self._counts: dict[SubjectId, Count] = {}
        self._began_at = 0.0
        self.heard_at = 0.0
        self.covered_s = 0.0
        self.reach = 1.0

    @property
    def recent(self) -> dict[SubjectId, int]:
        """Return the requests that the reporter admitted in its last window."""
        return {subject: count.recent for subject, count in self._counts.items()}

    def has_begun(self, now: float, max_gap_s: float) -> bool:
        """Return whether the reporter was not heard before, or after a gap."""
        return now - self._began_at < max_gap_s

    def merge(
        self, report: CountsReport, now: float, max_gap_s: float
    ) -> dict[SubjectId, Change]:
        """Return what a report adds; nothing if it is older than another one.

        After a gap nothing is added: other sums have what was counted in it.
        """
        if report.boot != self._boot or now - self.heard_at > max_gap_s:
            self._boot = report.boot
            self._counts = {}
            self._sequence = -1
            self._began_at = now
        if report.sequence < self._sequence:
            return {}
        self._sequence = report.sequence
        self.heard_at = now
        self.covered_s = report.covered_s
        self.reach = report.reach
        is_begin = self.has_begun(now, max_gap_s)
        changes = {}
        for subject, count in report.counts.items():
            old = self._counts.get(subject)
            self._counts[subject] = count
            if old is not None:
                changes[subject] = Change(
                    signed_difference(count.asked, old.asked),
                    signed_difference(count.admitted, old.admitted),
                )
            elif is_begin:
                changes[subject] = Change(0, 0, count.recent)
            else:
                # New to this reporter, or its first report was lost.
                recent = count.recent
                changes[subject] = Change(min(count.asked, 2 * recent), recent)
        return changes
