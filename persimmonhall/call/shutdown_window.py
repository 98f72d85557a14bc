"""Bound what an entry still passes on while its process stops."""

import math

# Reserved for the way of an answer that a server sends at its deadline.
REPLY_MARGIN_S = 0.1


class ShutdownWindow:
    """Hold when the process answers for the last time; never while it is not set."""

    def __init__(self):
        self._callers_left_at = math.inf
        self._end_at = math.inf

    @property
    def is_set(self) -> bool:
        """Return whether the process is stopping."""
        return self._end_at < math.inf

    def set(self, callers_left_at: float, end_at: float) -> None:
        """Set when callers have left, and when requests that still run are refused."""
        self._callers_left_at = callers_left_at
        self._end_at = end_at

    def may_finish(self, deadline: float, expected_s: float, now: float) -> bool:
        """Return whether a request may be passed on to a server.

        An expected end is enough only as long as callers may not know of the shutdown:
        a run that takes longer than expected would be broken off.
        """
        if deadline <= self._end_at:
            return True
        return now < self._callers_left_at and now + expected_s <= self._end_at

    def work_deadline(self, deadline: float) -> float:
        """Return until when a server may work on a request with a deadline.

        The server ends the run itself then, and its calls can be awaited to their
        deadlines; the process could only break them off.
        """
        return min(deadline, self._end_at - REPLY_MARGIN_S)
