"""Detect pauses of this process, so that they are not counted against peers."""

import math

MIN_PROCESS_PAUSE_S = 1.0


class ProcessPauses:
    """Record when the latest process pause ended.

    A pause is a gap between heartbeats; before the first one no pause is detected.
    """

    def __init__(self):
        self._last_heartbeat_at = math.inf
        self._last_pause_ended_at = -math.inf

    def record_heartbeat(self, now: float) -> None:
        """Record that the loop runs; call far more often than MIN_PROCESS_PAUSE_S."""
        self._detect_pause(now)
        self._last_heartbeat_at = now

    def has_paused_since(self, start: float, now: float) -> bool:
        """Return whether a process pause ended after the start."""
        self._detect_pause(now)
        return start < self._last_pause_ended_at

    def _detect_pause(self, now: float) -> None:
        if now - self._last_heartbeat_at >= MIN_PROCESS_PAUSE_S:
            self._last_pause_ended_at = self._last_heartbeat_at = now
