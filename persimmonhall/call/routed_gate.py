"""Queue the calls of routes and run them on the local backend server."""

from collections.abc import Callable, Mapping

from persimmonhall.call.backend_session import (
    MISDIRECTED_STATUS,
    BackendListeners,
    BackendSession,
)
from persimmonhall.call.gate_load import GateLoadMeter
from persimmonhall.call.gate_queue import CallState, GateQueue, ReplyCallback
from persimmonhall.call.gate_replies import GateReplies
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.dialect import HeaderNames, InstanceReport
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.event_time import current_time
from persimmonhall.events import Event, EventLog, is_sampled
from persimmonhall.exposition import CallCounters
from persimmonhall.http.backend_pool import (
    BackendAnswer,
    BackendFailure,
    BackendPool,
    BackendRequest,
    BackendResult,
    SendFault,
)
from persimmonhall.ids import CallNumber, RouteName, ServiceName
from persimmonhall.routing.route_knowledge import RouteKnowledge
from persimmonhall.timers import Timer, Timers
from persimmonhall.wire.call_frames import RoutedCall
from persimmonhall.wire.poller import Poller
from persimmonhall.wire.transfer_budget import TransferBudget

MIN_START_DELAY_S = 0.001
# Calls at once; a lower rate limit would make any load look like a large excess.
MIN_CAPACITY = 0.1
# Logged as slow from the first slowdown on, until it is below the second.
SLOWDOWN = 1.8
MIN_USUAL_SLOWDOWN = 1.3

ERROR_BY_FAULT = {
    SendFault.NOT_LISTENING: ErrorKind.CONNECT_FAILED,
    SendFault.NOT_CONNECTED: ErrorKind.CONNECT_FAILED,
    SendFault.CONNECTION_LOST: ErrorKind.CONNECTION_LOST,
    SendFault.ANSWER_MALFORMED: ErrorKind.CONNECTION_LOST,
    SendFault.ANSWER_TRUNCATED: ErrorKind.ANSWER_CUT,
}


class RoutedGate:
    """Start, queue or refuse calls so that the server never exceeds its capacity."""

    def __init__(
        self,
        headers: HeaderNames,
        poller: Poller,
        timers: Timers,
        knowledge: RouteKnowledge,
        log: EventLog,
        listeners: BackendListeners | None = None,
        make_pool: Callable[..., BackendPool] = BackendPool,
        shutdown: ShutdownWindow | None = None,
        answer_budget: TransferBudget | None = None,
    ):
        self._headers = headers
        self._timers = timers
        self._graph = knowledge.graph
        self._log = log
        self._shutdown = shutdown or ShutdownWindow()
        self._in_flight = 0
        self._calls: dict[tuple[object, CallNumber], CallState] = {}
        self._load_meter = GateLoadMeter(knowledge)
        self._queue = GateQueue(timers, self._reject_overloaded)
        self._session = BackendSession(
            headers,
            poller,
            timers,
            log,
            listeners or BackendListeners(),
            self._refuse_queued,
            self._read_load,
            make_pool,
            answer_budget,
        )
        self.counts = CallCounters()
        self._replies = GateReplies(
            self, self._session, self._load_meter, log, self.counts
        )
        self._start_timer: Timer | None = None
        self._logged_half_ranks = 0
        self._is_logged_slow = False

    @property
    def load_meter(self) -> GateLoadMeter:
        """Return the run times and levels that replies report."""
        return self._load_meter

    @property
    def session(self) -> BackendSession:
        """Return the state of the backend server."""
        return self._session

    @property
    def instance(self) -> InstanceReport | None:
        """Return the instance that runs the calls."""
        return self._session.instance

    @property
    def in_flight(self) -> int:
        """Return the number of running calls."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return the maximum number of concurrent calls."""
        return self._session.slot_limit

    @property
    def rate_limit(self) -> float:
        """Return how many calls per second the server accepts; may be infinite."""
        return self._session.rate_limiter.rate

    @property
    def capacity(self) -> float:
        """Return how many calls the slots and the rate limit allow to run at once."""
        limiter = self._session.rate_limiter
        if not limiter.is_limited:
            return self.limit
        concurrency = limiter.rate * self._load_meter.mean_run_s
        return max(MIN_CAPACITY, min(self.limit, concurrency))

    @property
    def level(self) -> float:
        """Return up to which rank this gate alone would admit root requests."""
        return self._load_meter.level

    @property
    def is_server_leaving(self) -> bool:
        """Return whether the server states in its answers that it leaves."""
        return self._session.is_leaving

    @property
    def is_idle(self) -> bool:
        """Return whether no call is running or queued."""
        return not self._calls

    def set_ranks(self, ranks: int) -> None:
        """Set the number of priority ranks of the active release."""
        self._load_meter.set_ranks(ranks)

    def set_connection_limits(self, limits: Mapping[ServiceName, int]) -> None:
        """Set how many connections a server of each service accepts; 0 is unlimited."""
        self._session.set_connection_limits(limits)
        self._start_queued()

    def set_instance(self, report: InstanceReport | None) -> None:
        """Apply the report of the backend server; None means that it is gone."""
        self._session.set_instance(report)
        self._start_queued()

    def drain(self) -> None:
        """Start draining: refuse new and queued calls; running ones continue."""
        self._session.drain()

    def begin(self, origin: object, call: RoutedCall, reply: ReplyCallback) -> None:
        """Start, queue or refuse a call."""
        now = current_time()
        state = CallState(
            origin,
            call,
            reply,
            now,
            now + call.remaining_ms / 1000,
            is_sampled(call.attempt),
        )
        if call.notice:
            self._session.recall_notice(call, now)
        refusal = self._refusal(call)
        if refusal is not None:
            self._replies.refuse(state, *refusal)
            return
        limiter = self._session.rate_limiter
        is_ready = not len(self._queue) and limiter.is_ready(now)
        if not is_ready and call.has_alternative and limiter.is_limited:
            # Other servers of the service may have room now.
            detail = f"the backend server accepts {self.rate_limit:g} calls per second"
            self._replies.refuse(state, ErrorKind.RATE_LIMITED, detail)
            return
        self._calls[state.key] = state
        if not call.is_rerouted:
            # Another gate has already counted its work.
            self._load_meter.add_work(call.route)
        if self._in_flight < self.limit and is_ready:
            self._start(state, now)
        else:
            self._enqueue(state, now)

    def cancel(self, origin: object, number: CallNumber) -> bool:
        """Cancel a call that is no longer awaited; return whether it was unsent."""
        state = self._calls.pop((origin, number), None)
        if state is None:
            return False
        if state.queued_call is not None:
            self._queue.remove(state)
            return True
        pool = self._session.pool
        is_unsent = False
        # As in _handle_result, the two refer to each other.
        request, state.request = state.request, None
        if request is not None and pool is not None:
            is_unsent = pool.abort(request)
        self._in_flight -= 1
        self._start_queued()
        return is_unsent

    def cancel_all(self, origin: object) -> None:
        """Cancel all calls of an origin that has gone away."""
        for key in [key for key in self._calls if key[0] is origin]:
            self.cancel(*key)

    def step(self, now: float, elapsed_s: float) -> None:
        """Adjust the level and close idle connections; call every STEP_INTERVAL_S."""
        self._load_meter.step(len(self._queue), self.capacity, elapsed_s, now)
        self._load_meter.speed.set_running(
            (state.call.route, now - state.started_at)
            for state in self._calls.values()
            if state.queued_call is None
        )
        self._graph.end_interval()
        if self._session.pool is not None:
            self._session.pool.close_expired(now)
        self._log_level_change()
        self._log_speed_change(now)

    def own_levels(self, now: float) -> dict[RouteName, float]:
        """Return the levels that replies report now, of the routes run here."""
        session = self._session
        # The limit of one server does not show how loaded its service is.
        if session.closed_reason is not None or session.rate_limiter.is_limited:
            return {}
        return self._load_meter.own_levels(now)

    def _refusal(self, call: RoutedCall) -> tuple[ErrorKind, str] | None:
        instance = self._session.instance
        if instance is not None and instance.service != call.service:
            return (
                ErrorKind.NO_SERVER,
                f"the backend server here belongs to {instance.service}",
            )
        if self._session.closed_reason is not None:
            detail = "the backend server takes no new requests"
            return self._session.closed_reason, detail
        if call.remaining_ms <= 0:
            return (
                ErrorKind.DEADLINE_EXCEEDED,
                "no time was left when the call was read",
            )
        return None

    def _enqueue(self, state: CallState, now: float) -> None:
        call = state.call
        self._queue.add(
            state,
            now,
            self._load_meter.expected_run_s(call.route),
            self._expected_wait_s,
            is_prioritized=not call.is_nested and self._load_meter.is_small(call.route),
        )
        if self._in_flight < self.limit:
            self._schedule_start(now)

    def _reject_overloaded(self, state: CallState) -> None:
        del self._calls[state.key]
        self._replies.refuse(state, ErrorKind.OVERLOADED, "no slot available in time")

    def _expected_wait_s(self) -> float:
        queued = len(self._queue)
        slot_wait_s = queued * self._load_meter.mean_run_s / max(1, self.limit)
        limiter = self._session.rate_limiter
        rate_wait_s = limiter.wait_s(queued - 1, current_time())
        return max(slot_wait_s, rate_wait_s)

    def _refuse_queued(self) -> None:
        for state in self._queue.pop_all():
            del self._calls[state.key]
            detail = "the backend server takes no new requests"
            kind = self._session.closed_reason or ErrorKind.LEAVING
            self._replies.refuse(state, kind, detail)

    def _start_queued(self) -> None:
        now = current_time()
        session = self._session
        while session.closed_reason is None and self._in_flight < self.limit:
            if not session.rate_limiter.is_ready(now):
                self._schedule_start(now)
                return
            state = self._queue.pop_first(now)
            if state is None:
                return
            self._start(state, now)

    def _schedule_start(self, now: float) -> None:
        """Start queued calls once the rate limit allows the next one."""
        is_scheduled = self._start_timer is not None and self._start_timer.is_pending
        if len(self._queue) and not is_scheduled:
            # Rounding could make the wait too short to advance the clock.
            wait_s = self._session.rate_limiter.wait_s(0, now)
            when = now + max(MIN_START_DELAY_S, wait_s)
            self._start_timer = self._timers.call_at(when, self._start_queued)

    def _start(self, state: CallState, now: float) -> None:
        call = state.call
        session = self._session
        session.rate_limiter.spend()
        state.queued_call = None
        deadline = self._shutdown.work_deadline(state.deadline)
        left_ms = max(1, int((deadline - now) * 1000))
        names = self._headers
        head_end = b"%s: %d\r\n%s: %s\r\n" % (
            names.deadline_ms,
            left_ms,
            names.expected_instance,
            session.instance.instance.encode(),
        )
        if call.body:
            head_end += b"content-length: %d\r\n" % len(call.body)
        self._in_flight += 1
        self.counts.sent += 1
        state.started_at = now
        state.notices = session.notices
        self._graph.count_run(call.route)
        if state.is_logged:
            self._log.emit(
                Event.CALL_SENT,
                request=call.attempt,
                instance=session.instance.instance,
                waited_ms=round((now - state.arrived_at) * 1000, 1),
                left_ms=left_ms,
                in_flight=self._in_flight,
                limit=self.limit,
                rate_limit=session.notices.current.rate_limit,
            )
        state.request = BackendRequest(
            b"%s%s\r\n%s" % (call.head, head_end, call.body),
            call.attempt.encode("latin-1"),
            lambda result: self._handle_result(state, result),
            is_head=call.is_head,
            is_idempotent=call.is_idempotent,
        )
        session.pool.send(state.request)

    def _handle_result(self, state: CallState, result: BackendResult) -> None:
        if self._calls.pop(state.key, None) is None:
            return
        # Breaks a reference cycle that the garbage collector would have to free.
        state.request = None
        self._in_flight -= 1
        now = current_time()
        if isinstance(result, BackendAnswer):
            self._session.record_notice(state, result, now)
        if isinstance(result, BackendFailure):
            self._handle_failure(state, result)
        elif self._is_not_executed(result):
            self._handle_not_executed(state, result)
        else:
            self._replies.answer(state, result, now)
        self._start_queued()

    def _handle_failure(self, state: CallState, failure: BackendFailure) -> None:
        ran = Ran.UNKNOWN if failure.was_sent else Ran.NO
        if failure.fault is SendFault.NOT_LISTENING:
            self._session.mark_unavailable("it accepts no connections")
        elif failure.was_sent:
            self._session.probe_for_death(state.call)
        self._replies.refuse(state, ERROR_BY_FAULT[failure.fault], failure.detail, ran)

    def _handle_not_executed(self, state: CallState, answer: BackendAnswer) -> None:
        if answer.status == MISDIRECTED_STATUS:
            self._session.handle_misdirected(state)
        detail = f"the backend server did not run the call: status {answer.status}"
        self._replies.refuse(state, ErrorKind.NOT_EXECUTED, detail)

    def _is_not_executed(self, answer: BackendAnswer) -> bool:
        if answer.status == MISDIRECTED_STATUS:
            return True
        name = self._headers.not_executed
        return any(key == name for key, _ in answer.headers)

    def _read_load(self) -> dict[str, int]:
        return {
            "sent_total": self.counts.sent,
            "in_flight": self._in_flight,
            "queued": len(self._queue),
        }

    def _log_speed_change(self, now: float) -> None:
        slowdown = self._load_meter.speed.slowdown(now, self._in_flight)
        is_slow = slowdown > (MIN_USUAL_SLOWDOWN if self._is_logged_slow else SLOWDOWN)
        if is_slow == self._is_logged_slow:
            return
        self._is_logged_slow = is_slow
        self._log.emit(
            Event.SERVER_SPEED,
            is_slow=is_slow,
            slowdown=round(slowdown, 2),
            in_flight=self._in_flight,
        )

    def _log_level_change(self) -> None:
        half_ranks = int(self.level * 2)
        if half_ranks == self._logged_half_ranks:
            return
        self._logged_half_ranks = half_ranks
        self._log.emit(
            Event.SHED_LEVEL,
            level=round(self.level, 2),
            in_flight=self._in_flight,
            queued=len(self._queue),
            limit=self.limit,
            run_ms=round(self._load_meter.mean_run_s * 1000, 1),
        )
