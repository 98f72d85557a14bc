"""Detect pauses of this process, so that they are not counted against peers."""

import math

MIN_PROCESS_PAUSE_S = 1.0
# A gap this long between heartbeats, which follow each other every 0.1 s, ages input.
MIN_INPUT_AGE_S = 0.3
# Input that arrived during a gap is read within this time after it.
BACKLOG_READ_S = 0.1


class ProcessPauses:
    """Record when the latest process pause ended.

    A pause is a gap between heartbeats; before the first one no pause is detected.
    """

    def __init__(self):
        self._last_heartbeat_at = math.inf
        self._last_pause_ended_at = -math.inf
        self._last_gap_s = 0.0
        self._last_gap_ended_at = -math.inf

    def record_heartbeat(self, now: float) -> None:
        """Record that the loop runs; call far more often than MIN_PROCESS_PAUSE_S."""
        self._detect_pause(now)
        self._last_heartbeat_at = now

    def input_age_s(self, now: float) -> float:
        """Return how many seconds ago input that is read now may have arrived."""
        self._detect_pause(now)
        is_backlog = now - self._last_gap_ended_at < BACKLOG_READ_S
        return self._last_gap_s if is_backlog else 0.0

    def has_paused_since(self, start: float, now: float) -> bool:
        """Return whether a process pause ended after the start."""
        self._detect_pause(now)
        return start < self._last_pause_ended_at

    def _detect_pause(self, now: float) -> None:
        gap_s = now - self._last_heartbeat_at
        if gap_s < MIN_INPUT_AGE_S:
            return
        self._last_gap_s, self._last_gap_ended_at = gap_s, now
        self._last_heartbeat_at = now
        if gap_s >= MIN_PROCESS_PAUSE_S:
            self._last_pause_ended_at = now
