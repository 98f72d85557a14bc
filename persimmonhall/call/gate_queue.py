"""Queue the calls of a gate and refuse those that cannot start in time."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from persimmonhall.admission.room_wait import max_room_wait_s
from persimmonhall.admission.urgency_queue import NESTED_RANK, QueuedCall, UrgencyQueue
from persimmonhall.event_time import current_time
from persimmonhall.http.backend_pool import BackendRequest
from persimmonhall.ids import CallNumber
from persimmonhall.timers import Timer, Timers
from persimmonhall.wire.call_frames import RoutedCall, RoutedReply

MIN_QUEUE_TIMEOUT_S = 0.01
# A refusal sent later than this before the deadline may miss it: the entry would have
# to answer that the call may have run.
MIN_REPLY_TIME_S = 0.03
# Fraction of its remaining time that a nested call may queue: refusing it would waste
# the work already done for its root request.
MAX_NESTED_WAIT_FRACTION = 0.6
# Exceeds the queue time of every call, which is bounded by the call's deadline.
SMALL_ROUTE_LEAD_S = 60.0

ReplyCallback = Callable[[RoutedReply], None]


@dataclass(eq=False, slots=True)
class CallState:
    """Track one call from its arrival to its reply."""

    origin: object
    call: RoutedCall
    on_reply: ReplyCallback
    arrived_at: float
    deadline: float
    is_logged: bool
    queued_call: QueuedCall | None = None
    request: BackendRequest | None = None
    # The notices of the instance that runs the call.
    notices: object = None
    started_at: float = field(default=0.0)

    @property
    def key(self) -> tuple[object, CallNumber]:
        """Return the key that identifies the call at its gate."""
        return self.origin, self.call.number


class GateQueue:
    """Order the waiting calls and refuse the least urgent if the wait is too long."""

    def __init__(self, timers: Timers, on_overloaded: Callable[[CallState], None]):
        self._timers = timers
        self._on_overloaded = on_overloaded
        self._queue: UrgencyQueue[CallState] = UrgencyQueue()
        self._expiry_timer: Timer | None = None
        self._expiry_at = math.inf

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    def add(
        self,
        state: CallState,
        now: float,
        run_s: float,
        expected_wait_s: Callable[[], float],
        *,
        is_prioritized: bool,
    ) -> None:
        """Queue a call; refuse the least urgent one if this one would wait too long.

        A call that can't be answered by its deadline is refused itself.

        `run_s` is the expected run time of the call. A prioritized call goes first,
        as its route hardly delays the others.
        """
        call = state.call
        rank = NESTED_RANK if call.is_nested else call.rank
        target_start = now + max_room_wait_s(call.objective_ms)
        if is_prioritized:
            target_start = now - SMALL_ROUTE_LEAD_S
        answerable_until = state.deadline - max(run_s, MIN_REPLY_TIME_S)
        if answerable_until <= now:
            self._on_overloaded(state)
            return
        latest_start = min(now + _max_wait_s(call), answerable_until)
        state.queued_call = QueuedCall(state, rank, target_start, latest_start)
        self._queue.add(state.queued_call)
        if not is_prioritized and now + expected_wait_s() > latest_start:
            self._reject_least_urgent(state)
        if self._expiry_at == math.inf or answerable_until < self._expiry_at:
            self._schedule_expiry(latest_start)

    def remove(self, state: CallState) -> None:
        """Remove a call that is no longer awaited."""
        self._queue.remove(state.queued_call)
        _take_item(state.queued_call)

    def pop_first(self, now: float) -> CallState | None:
        """Remove and return the call to start next; refuse those that are overdue."""
        while (queued_call := self._queue.pop_first()) is not None:
            state = _take_item(queued_call)
            if queued_call.latest_start > now:
                return state
            self._on_overloaded(state)
        return None

    def pop_all(self) -> list[CallState]:
        """Remove and return all calls."""
        return [_take_item(queued_call) for queued_call in self._queue.pop_all()]

    def _reject_least_urgent(self, state: CallState) -> None:
        """Reject a less urgent queued call to make room, or else the new call."""
        victim = self._queue.pop_least_urgent(state.queued_call.rank)
        if victim is None:
            self._queue.remove(state.queued_call)
            victim = state.queued_call
        self._on_overloaded(_take_item(victim))

    def _schedule_expiry(self, deadline: float) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._expiry_at = deadline
        self._expiry_timer = self._timers.call_at(deadline, self._reject_overdue)

    def _reject_overdue(self) -> None:
        self._expiry_at = math.inf
        now = current_time()
        for queued_call in self._queue.pop_overdue(now):
            self._on_overloaded(_take_item(queued_call))
        if len(self._queue):
            self._schedule_expiry(now + MIN_QUEUE_TIMEOUT_S)


def _take_item(queued_call: QueuedCall[CallState]) -> CallState:
    """Return the call of an entry that has left the queue.

    The two refer to each other: only the garbage collector would free them, which
    counts objects and not bytes.
    """
    state = queued_call.item
    state.queued_call = None
    return state


def _max_wait_s(call: RoutedCall) -> float:
    if call.is_nested:
        return MAX_NESTED_WAIT_FRACTION * call.remaining_ms / 1000
    return max(MIN_QUEUE_TIMEOUT_S, max_room_wait_s(call.objective_ms))
