"""Write structured log lines at a bounded rate without blocking."""

import json
import os
import time
from collections import Counter, deque
from enum import Enum

import trio
import xxhash

MAX_BUFFERED_LINES = 5000  # about 1 MB at 200 bytes a line
MAX_LINES_PER_WRITE = 100
FLUSH_INTERVAL_S = 0.1
# Lines per second of one event; an overload refuses thousands of requests a second.
MAX_LINES_PER_S = 100
# One in this many requests is logged from end to end if it meets no error.
REQUESTS_PER_SAMPLE = 200


class Event(Enum):
    """Define every event that is logged; docs/OPERATIONS.md explains each."""

    START = "start"
    STOP = "stop"
    STOPPED = "stopped"
    RELOAD = "reload"
    RELOAD_FAILED = "reload_failed"
    LOG = "log"
    LINES_DROPPED = "lines_dropped"

    REQUEST_ROUTED = "request_routed"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_REFUSED = "request_refused"
    REQUEST_RESENT = "request_resent"
    REQUEST_RETURNED = "request_returned"
    REQUEST_ABANDONED = "request_abandoned"
    CALL_REFUSED = "call_refused"
    CALL_SENT = "call_sent"
    CALL_FAILED = "call_failed"

    INSTANCE_SEEN = "instance_seen"
    INSTANCE_GONE = "instance_gone"
    INSTANCE_REPORT_REFUSED = "instance_report_refused"
    INSTANCE_NOTICE = "instance_notice"
    INSTANCE_NOTICE_INVALID = "instance_notice_invalid"
    DEPARTURE_UNCONFIRMED = "departure_unconfirmed"
    DEPARTURES_RESTORED = "departures_restored"
    LINK_LOST = "link_lost"
    LINK_REGAINED = "link_regained"
    CONTROL_LOST = "control_lost"
    CONTROL_REGAINED = "control_regained"
    RELEASE_PUT = "release_put"
    RELEASE_IN_FORCE = "release_in_force"
    RELEASE_PROOF_SHORT = "release_proof_short"
    RELEASE_PROOF_LOST = "release_proof_lost"
    RELEASE_PROOF_HELD = "release_proof_held"
    RELEASE_UNREADABLE = "release_unreadable"
    SHED_LEVEL = "shed_level"
    SERVER_SPEED = "server_speed"
    SERVER_ACCUSED = "server_accused"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_KEPT = "quota_kept"
    COLLECTOR_CHANGED = "collector_changed"
    COLLECTOR_LOST = "collector_lost"
    COLLECTOR_REGAINED = "collector_regained"
    ZONE_COUNTS_LOST = "zone_counts_lost"
    ZONE_COUNTS_REGAINED = "zone_counts_regained"


# Exempt from the limits on lines: these events are rare and explain other lines.
UNLIMITED_EVENTS = frozenset(
    {Event.START, Event.STOP, Event.STOPPED, Event.LINES_DROPPED}
)


def is_sampled(attempt_id: str) -> bool:
    """Return whether all lines of a request are logged; the same on every node."""
    return xxhash.xxh3_64_intdigest(attempt_id.encode()) % REQUESTS_PER_SAMPLE == 0


class EventLog:
    """Buffer log lines and write them to a file descriptor that may block."""

    def __init__(self, node: str, fd: int = 1):
        self._node = node
        self._fd = fd
        self._buffered_lines: deque[bytes] = deque()
        self._unwritten_bytes = b""
        self._line_counts: Counter[Event] = Counter()
        self._dropped_counts: Counter[Event] = Counter()
        self._dropped_total = 0
        self._second_started_at = 0.0

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the start."""
        return self._dropped_total

    def emit(self, event: Event, **fields: object) -> None:
        """Buffer one line; drop it if the event is over its rate or the buffer full."""
        if event not in UNLIMITED_EVENTS and self._is_over_limit(event):
            self._dropped_counts[event] += 1
            self._dropped_total += 1
            return
        self._line_counts[event] += 1
        line = {"t": round(time.time(), 4), "node": self._node, "event": event.value}
        line.update((k, v) for k, v in fields.items() if v is not None)
        self._buffered_lines.append(json.dumps(line, default=str).encode() + b"\n")

    def set_nonblocking(self) -> None:
        """Make the descriptor non-blocking, so that a slow reader delays nothing."""
        os.set_blocking(self._fd, False)

    async def run(self) -> None:
        """Write buffered lines until cancelled."""
        self.set_nonblocking()
        while True:
            await trio.sleep(FLUSH_INTERVAL_S)
            self.step(trio.current_time())

    def step(self, now: float) -> None:
        """Write buffered lines; once a second report the dropped ones."""
        if now - self._second_started_at >= 1:
            self._second_started_at = now
            self._report_dropped_lines()
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._unwritten_bytes or self._buffered_lines:
            if not self._unwritten_bytes:
                count = min(MAX_LINES_PER_WRITE, len(self._buffered_lines))
                self._unwritten_bytes = b"".join(
                    self._buffered_lines.popleft() for _ in range(count)
                )
            try:
                written = os.write(self._fd, self._unwritten_bytes)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and the error cannot be logged anywhere else.
                self._dropped_total += len(self._buffered_lines)
                self._buffered_lines.clear()
                self._unwritten_bytes = b""
                return
            self._unwritten_bytes = self._unwritten_bytes[written:]

    def _is_over_limit(self, event: Event) -> bool:
        if self._line_counts[event] >= MAX_LINES_PER_S:
            return True
        return len(self._buffered_lines) >= MAX_BUFFERED_LINES

    def _report_dropped_lines(self) -> None:
        self._line_counts.clear()
        if self._dropped_counts:
            counts = {
                event.value: count for event, count in self._dropped_counts.items()
            }
            self._dropped_counts.clear()
            self.emit(Event.LINES_DROPPED, counts=counts, total=self._dropped_total)
