"""Queue the calls of routes and run them on the local backend server."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import trio

from persimmonhall.admission.level import LevelController, WorkFractions
from persimmonhall.admission.rate_limiter import RateLimiter
from persimmonhall.admission.success_rate import SuccessRates
from persimmonhall.admission.urgency_queue import NESTED_RANK, QueuedCall, UrgencyQueue
from persimmonhall.call.server_notices import (
    InvalidNoticeError,
    ServerNotice,
    ServerNotices,
    has_notice,
    read_notice,
)
from persimmonhall.dialect import HeaderNames, InstanceReport, InstanceState
from persimmonhall.errors import ErrorKind, Ran
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
from persimmonhall.http.messages import (
    FIRST_SERVER_ERROR_STATUS,
    HOP_BY_HOP_HEADERS,
    LENGTH_HEADERS,
)
from persimmonhall.ids import AttemptId, CallNumber, RouteName, ServiceName
from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.routing.route_origins import RouteOrigins
from persimmonhall.timers import Timer, Timers
from persimmonhall.wire.call_frames import GateLoad, RoutedCall, RoutedReply
from persimmonhall.wire.poller import Poller

# Servers become slow when this fraction of their slots is in use.
MAX_USED_SLOT_FRACTION = 0.95
# Connections beyond the slots: a few are closing while their replacements open.
SPARE_CONNECTIONS = 16
# Fraction of its latency objective that a root may queue here: a refusal before an
# eighth of the objective costs its caller nothing, and its resend can be in time.
MAX_ROOT_WAIT_FRACTION = 0.125
MIN_QUEUE_TIMEOUT_S = 0.01
MIN_START_DELAY_S = 0.001
# Calls at once; a lower rate limit would make any load look like a large excess.
MIN_CAPACITY = 0.1
# Fraction of its remaining time that a nested call may queue: refusing it would waste
# the work already done for its root request.
MAX_NESTED_WAIT_FRACTION = 0.6
RUN_TIME_WEIGHT = 0.1
# Exceeds the queue time of every call, which is bounded by the call's deadline.
SMALL_ROUTE_LEAD_S = 60.0
# Calls lost within this time before a server was found dead may have caused its death.
DEATH_WINDOW_S = 1.0
MISDIRECTED_STATUS = 421
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | LENGTH_HEADERS

ReplyCallback = Callable[[RoutedReply], None]
ERROR_BY_FAULT = {
    SendFault.NOT_LISTENING: ErrorKind.CONNECT_FAILED,
    SendFault.NOT_CONNECTED: ErrorKind.CONNECT_FAILED,
    SendFault.CONNECTION_LOST: ErrorKind.CONNECTION_LOST,
    SendFault.ANSWER_MALFORMED: ErrorKind.CONNECTION_LOST,
    SendFault.ANSWER_TRUNCATED: ErrorKind.ANSWER_CUT,
}


@dataclass(eq=False, slots=True)
class _CallState:
    """Track one call from its arrival to its reply."""

    origin: object
    call: RoutedCall
    on_reply: ReplyCallback
    arrived_at: float
    deadline: float
    is_logged: bool
    queued_call: QueuedCall | None = None
    request: BackendRequest | None = None
    notices: ServerNotices | None = None
    started_at: float = field(default=0.0)


class RoutedGate:
    """Start, queue or refuse calls so that the server never exceeds its capacity."""

    def __init__(
        self,
        headers: HeaderNames,
        poller: Poller,
        timers: Timers,
        graph: CallGraph,
        levels: RouteLevels,
        origins: RouteOrigins,
        log: EventLog,
        on_unavailable: Callable[[], None] = lambda: None,
        on_death: Callable[[list[RoutedCall]], None] = lambda calls: None,
        make_pool: Callable[..., BackendPool] = BackendPool,
        on_leaving: Callable[[], None] = lambda: None,
    ):
        self._headers = headers
        self._poller = poller
        self._timers = timers
        self._graph = graph
        self._levels = levels
        self._origins = origins
        self._log = log
        self._on_unavailable = on_unavailable
        self._on_death = on_death
        self._on_leaving = on_leaving
        self._lost_calls: list[tuple[float, RoutedCall]] = []
        self._is_probing = False
        self._make_pool = make_pool
        self._instance: InstanceReport | None = None
        self._pool: BackendPool | None = None
        self._notices = ServerNotices()
        self._rate_limiter = RateLimiter()
        self._start_timer: Timer | None = None
        self._closed_reason: ErrorKind | None = ErrorKind.NO_SERVER
        self._is_draining = False
        self._limit = 0
        self._connection_limits: Mapping[ServiceName, int] = {}
        self._in_flight = 0
        self._queue: UrgencyQueue[_CallState] = UrgencyQueue()
        self._calls: dict[tuple[object, CallNumber], _CallState] = {}
        self._level_controller = LevelController(1)
        self._work_fractions: WorkFractions[RouteName] = WorkFractions()
        self._success_rates: SuccessRates[RouteName] = SuccessRates()
        self._route_run_s: dict[RouteName, float] = {}
        self._mean_run_s = 0.0
        self._expiry_timer = None
        self.counts = CallCounters()
        self._logged_half_ranks = 0

    @property
    def instance(self) -> InstanceReport | None:
        """Return the instance that runs the calls."""
        return self._instance

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
        return self._limit

    @property
    def rate_limit(self) -> float:
        """Return how many calls per second the server accepts; may be infinite."""
        return self._rate_limiter.rate

    @property
    def capacity(self) -> float:
        """Return how many calls the slots and the rate limit allow to run at once."""
        if not self._rate_limiter.is_limited:
            return self._limit
        concurrency = self._rate_limiter.rate * self._mean_run_s
        return max(MIN_CAPACITY, min(self._limit, concurrency))

    @property
    def level(self) -> float:
        """Return up to which rank this gate alone would admit root requests."""
        return self._level_controller.level

    @property
    def is_server_leaving(self) -> bool:
        """Return whether the server states in its answers that it leaves."""
        return self._notices.current.is_leaving

    @property
    def is_idle(self) -> bool:
        """Return whether no call is running or queued."""
        return not self._calls

    def set_ranks(self, ranks: int) -> None:
        """Set the number of priority ranks of the active release."""
        self._level_controller.set_ranks(ranks)

    def set_connection_limits(self, limits: Mapping[ServiceName, int]) -> None:
        """Set how many connections a server of each service accepts; 0 is unlimited."""
        self._connection_limits = limits
        if self._instance is not None and self._pool is not None:
            self._limit_by_connections(self._instance)

    def set_instance(self, report: InstanceReport | None) -> None:
        """Apply the report of the backend server; None means that it is gone."""
        previous, self._instance = self._instance, report
        if report is not None and not self._notices.is_about(report):
            self._notices = ServerNotices(report.instance, report.born_ms)
            self._rate_limiter = RateLimiter()
        if report is None or report.state is InstanceState.DRAINING:
            self._closed_reason = (
                ErrorKind.NO_SERVER if report is None else ErrorKind.LEAVING
            )
            self._refuse_queued()
            return
        if (
            previous is None
            or previous.instance != report.instance
            or self._pool is None
        ):
            self._open_pool(report)
        self._limit_by_connections(report)
        is_closed = self._is_draining or self.is_server_leaving
        self._closed_reason = ErrorKind.LEAVING if is_closed else None
        self._start_queued()

    def drain(self) -> None:
        """Start draining: refuse new and queued calls; running ones continue."""
        self._is_draining = True
        self._closed_reason = ErrorKind.LEAVING
        self._refuse_queued()

    def begin(self, origin: object, call: RoutedCall, reply: ReplyCallback) -> None:
        """Start, queue or refuse a call."""
        now = trio.current_time()
        state = _CallState(
            origin,
            call,
            reply,
            now,
            now + call.remaining_ms / 1000,
            is_sampled(call.attempt),
        )
        if call.notice:
            self._recall_notice(call, now)
        refusal = self._refusal(state)
        if refusal is not None:
            self._refuse(state, *refusal)
            return
        limiter = self._rate_limiter
        is_ready = not len(self._queue) and limiter.is_ready(now)
        if not is_ready and call.has_alternative and limiter.is_limited:
            # Other servers of the service may have room now.
            detail = f"the backend server accepts {self.rate_limit:g} calls per second"
            self._refuse(state, ErrorKind.RATE_LIMITED, detail)
            return
        self._calls[origin, call.number] = state
        if not call.is_rerouted:
            # Another gate has already counted its work.
            run_s = self._expected_run_s(call.route)
            self._level_controller.add_work(run_s)
            self._work_fractions.add_work(call.route, run_s)
        if self._in_flight < self._limit and is_ready:
            self._start(state, now)
        else:
            self._enqueue(state, now)

    def cancel(self, origin: object, number: CallNumber) -> bool:
        """Cancel a call that is no longer awaited; return whether it was queued."""
        state = self._calls.pop((origin, number), None)
        if state is None:
            return False
        if state.queued_call is not None:
            self._queue.remove(state.queued_call)
            return True
        if state.request is not None and self._pool is not None:
            self._pool.abort(state.request)
        self._in_flight -= 1
        self._start_queued()
        return False

    def cancel_all(self, origin: object) -> None:
        """Cancel all calls of an origin that has gone away."""
        for key in [key for key in self._calls if key[0] is origin]:
            self.cancel(*key)

    def step(self, now: float, elapsed_s: float) -> None:
        """Adjust the level and close idle connections; call every STEP_INTERVAL_S."""
        self._level_controller.step(len(self._queue), self.capacity, elapsed_s)
        self._work_fractions.update()
        self._graph.end_interval()
        if self._pool is not None:
            self._pool.close_expired(now)
        self._log_level_change()

    def own_levels(self, now: float) -> dict[RouteName, float]:
        """Return the levels that replies report now, of the routes run here."""
        if self._closed_reason is not None:
            return {}
        if self._rate_limiter.is_limited:
            # The limit of one server does not show how loaded its service is.
            return {}
        return {route: self._level_for(route, now) for route in self._route_run_s}

    def load(self, route: RouteName, now: float) -> GateLoad:
        """Return the load, with the lowest level of the gate and the route's calls."""
        return GateLoad(
            self._in_flight,
            len(self._queue),
            math.ceil(self.capacity) if self._rate_limiter.is_limited else self._limit,
            self._level_for(route, now),
            self._origins.is_requested_by_callers(route),
            self._success_rate(route, now),
            self._rate_limiter.is_limited,
        )

    def _level_for(self, route: RouteName, now: float) -> float:
        local_level = self._level_controller.level + self._work_fractions.is_small(
            route
        )
        return min(local_level, self._levels.min_called_level(route, now))

    def _success_rate(self, route: RouteName, now: float) -> float:
        """Return the success rate of a route, 1 if the server makes no calls.

        While runs fail, few are admitted, so that a recovery shows first in the calls.
        """
        if not self._graph.has_calls:
            return 1.0
        rate_from_calls = self._levels.success_rate_from_calls(route, now)
        return max(self._success_rates.rate(route), rate_from_calls)

    def _open_pool(self, report: InstanceReport) -> None:
        if self._pool is not None:
            self._pool.close()
        self._pool = self._make_pool(
            report.address,
            self._poller,
            self._timers,
            self._headers.attempt,
            report.slots + SPARE_CONNECTIONS,
        )

    def _limit_by_connections(self, report: InstanceReport) -> None:
        """Set the limits for a server by its slots and the connections it accepts."""
        slots, connections = report.slots, report.slots + SPARE_CONNECTIONS
        accepted = self._connection_limits.get(report.service, 0)
        if accepted > 0:
            connections = min(connections, accepted)
            slots = min(slots, accepted)
        self._pool.max_connections = connections
        self._limit = usable_slots(slots)

    def _refusal(self, state: _CallState) -> tuple[ErrorKind, str] | None:
        instance = self._instance
        if instance is not None and instance.service != state.call.service:
            return (
                ErrorKind.NO_SERVER,
                f"the backend server here belongs to {instance.service}",
            )
        if self._closed_reason is not None:
            return self._closed_reason, "the backend server takes no new requests"
        if state.call.remaining_ms <= 0:
            return (
                ErrorKind.DEADLINE_EXCEEDED,
                "no time was left when the call was read",
            )
        return None

    def _enqueue(self, state: _CallState, now: float) -> None:
        call = state.call
        if call.is_nested:
            rank = NESTED_RANK
            max_wait_s = MAX_NESTED_WAIT_FRACTION * call.remaining_ms / 1000
        else:
            rank = call.rank
            max_wait_s = max(
                MIN_QUEUE_TIMEOUT_S, MAX_ROOT_WAIT_FRACTION * call.objective_ms / 1000
            )
        latest_start = min(
            now + max_wait_s, state.deadline - self._expected_run_s(call.route)
        )
        target_start = now + MAX_ROOT_WAIT_FRACTION * call.objective_ms / 1000
        is_prioritized = not call.is_nested and self._work_fractions.is_small(
            call.route
        )
        if is_prioritized:
            # A route that brings little work hardly delays the others.
            target_start = now - SMALL_ROUTE_LEAD_S
        state.queued_call = QueuedCall(state, rank, target_start, latest_start)
        self._queue.add(state.queued_call)
        if not is_prioritized and now + self._expected_wait_s() > latest_start:
            self._reject_least_urgent(state)
        self._schedule_expiry(latest_start)
        if self._in_flight < self._limit:
            self._schedule_start(now)

    def _reject_least_urgent(self, state: _CallState) -> None:
        """Reject a less urgent queued call to make room, or else the new call."""
        victim = self._queue.pop_least_urgent(state.queued_call.rank)
        if victim is None:
            self._queue.remove(state.queued_call)
            victim = state.queued_call
        self._reject_overloaded(victim.item)

    def _reject_overloaded(self, state: _CallState) -> None:
        del self._calls[state.origin, state.call.number]
        self._refuse(state, ErrorKind.OVERLOADED, "no slot available in time")

    def _expected_wait_s(self) -> float:
        queued = len(self._queue)
        slot_wait_s = queued * self._mean_run_s / max(1, self._limit)
        rate_wait_s = self._rate_limiter.wait_s(queued - 1, trio.current_time())
        return max(slot_wait_s, rate_wait_s)

    def _expected_run_s(self, route: RouteName) -> float:
        return self._route_run_s.get(route, 0.0)

    def _schedule_expiry(self, deadline: float) -> None:
        if self._expiry_timer is None:
            self._expiry_timer = self._timers.call_at(deadline, self._reject_overdue)

    def _reject_overdue(self) -> None:
        self._expiry_timer = None
        now = trio.current_time()
        for queued_call in self._queue.pop_overdue(now):
            self._reject_overloaded(queued_call.item)
        if len(self._queue):
            self._schedule_expiry(now + MIN_QUEUE_TIMEOUT_S)

    def _refuse_queued(self) -> None:
        for queued_call in self._queue.pop_all():
            state = queued_call.item
            del self._calls[state.origin, state.call.number]
            detail = "the backend server takes no new requests"
            self._refuse(state, self._closed_reason or ErrorKind.LEAVING, detail)

    def _start_queued(self) -> None:
        now = trio.current_time()
        while self._closed_reason is None and self._in_flight < self._limit:
            if not self._rate_limiter.is_ready(now):
                self._schedule_start(now)
                return
            queued_call = self._queue.pop_first()
            if queued_call is None:
                return
            if queued_call.latest_start <= now:
                self._reject_overloaded(queued_call.item)
            else:
                self._start(queued_call.item, now)

    def _schedule_start(self, now: float) -> None:
        """Start queued calls once the rate limit allows the next one."""
        is_scheduled = self._start_timer is not None and self._start_timer.is_pending
        if len(self._queue) and not is_scheduled:
            # Rounding could make the wait too short to advance the clock.
            when = now + max(MIN_START_DELAY_S, self._rate_limiter.wait_s(0, now))
            self._start_timer = self._timers.call_at(when, self._start_queued)

    def _start(self, state: _CallState, now: float) -> None:
        call = state.call
        self._rate_limiter.spend()
        state.queued_call = None
        left_ms = max(1, int((state.deadline - now) * 1000))
        names = self._headers
        head_end = b"%s: %d\r\n%s: %s\r\n" % (
            names.deadline_ms,
            left_ms,
            names.expected_instance,
            self._instance.instance.encode(),
        )
        if call.body:
            head_end += b"content-length: %d\r\n" % len(call.body)
        self._in_flight += 1
        self.counts.sent += 1
        state.started_at = now
        state.notices = self._notices
        self._graph.count_run(call.route)
        if state.is_logged:
            self._log.emit(
                Event.CALL_SENT,
                request=call.attempt,
                instance=self._instance.instance,
                waited_ms=round((now - state.arrived_at) * 1000, 1),
                left_ms=left_ms,
                in_flight=self._in_flight,
                limit=self._limit,
                rate_limit=self._notices.current.rate_limit,
            )
        state.request = BackendRequest(
            b"%s%s\r\n%s" % (call.head, head_end, call.body),
            call.attempt.encode("latin-1"),
            lambda result: self._handle_result(state, result),
            is_head=call.is_head,
            is_idempotent=call.is_idempotent,
        )
        self._pool.send(state.request)

    def _handle_result(self, state: _CallState, result: BackendResult) -> None:
        if self._calls.pop((state.origin, state.call.number), None) is None:
            return
        # Breaks a reference cycle that the garbage collector would have to free.
        state.request = None
        self._in_flight -= 1
        now = trio.current_time()
        if isinstance(result, BackendAnswer):
            self._record_notice(state, result, now)
        if isinstance(result, BackendFailure):
            self._handle_failure(state, result)
        elif self._is_not_executed(result):
            self._handle_not_executed(state, result)
        else:
            self._handle_answer(state, result, now)
        self._start_queued()

    def _record_notice(
        self, state: _CallState, answer: BackendAnswer, now: float
    ) -> None:
        """Record what the instance states about itself."""
        is_misdirected = answer.status == MISDIRECTED_STATUS
        if is_misdirected or state.notices is not self._notices:
            # Another instance answered, or this one has been replaced meanwhile.
            return
        if not has_notice(answer.headers, self._headers) and (
            self._notices.record_none()
        ):
            return
        try:
            notice = read_notice(answer.headers, self._headers)
        except InvalidNoticeError as error:
            self._log.emit(
                Event.INSTANCE_NOTICE_INVALID,
                instance=self._notices.instance,
                request=state.call.attempt,
                reason=str(error),
            )
            rate_limit = self._notices.current.rate_limit
            notice = ServerNotice(rate_limit, error.is_leaving)
        was_leaving = self.is_server_leaving
        if self._notices.record(notice, state.started_at, now):
            self._apply_notice(state.call.attempt, now, "answer", was_leaving)

    def _recall_notice(self, call: RoutedCall, now: float) -> None:
        """Learn from an entry what the server stated before this node restarted."""
        was_leaving = self.is_server_leaving
        if self._notices.recall(call.notice, now):
            self._apply_notice(call.attempt, now, "entry", was_leaving)

    def _apply_notice(
        self, attempt: AttemptId, now: float, source: str, was_leaving: bool
    ) -> None:
        notice = self._notices.current
        self._rate_limiter.set_rate(notice.rate_limit, now)
        self._log.emit(
            Event.INSTANCE_NOTICE,
            instance=self._notices.instance,
            request=attempt,
            source=source,
            rate_limit=notice.rate_limit,
            leaving=notice.is_leaving,
            sent_total=self.counts.sent,
            in_flight=self._in_flight,
            queued=len(self._queue),
        )
        if notice.is_leaving and not was_leaving:
            self._close_for_leaving()

    def _close_for_leaving(self) -> None:
        """Send no more calls to this incarnation of the server."""
        if self._closed_reason is None:
            self._closed_reason = ErrorKind.LEAVING
            self._refuse_queued()
        self._on_leaving()

    def _handle_answer(
        self, state: _CallState, answer: BackendAnswer, now: float
    ) -> None:
        route = state.call.route
        self._success_rates.record(route, answer.status < FIRST_SERVER_ERROR_STATUS)
        run_s = now - state.started_at
        mean_run_s = self._route_run_s.get(route, run_s)
        self._route_run_s[route] = mean_run_s + RUN_TIME_WEIGHT * (run_s - mean_run_s)
        self._mean_run_s += RUN_TIME_WEIGHT * (run_s - self._mean_run_s)
        head = b"".join(
            b"%s: %s\r\n" % pair
            for pair in answer.headers
            if pair[0] not in DROPPED_HEADERS
        )
        self.counts.record(f"status_{answer.status}", route, now - state.arrived_at)
        load = self.load(route, now)
        state.on_reply(
            RoutedReply(
                state.call.number,
                load,
                answer.status,
                head,
                answer.body,
                run_s=run_s,
                notice=self._notices.encoded,
            )
        )

    def _handle_failure(self, state: _CallState, failure: BackendFailure) -> None:
        ran = Ran.UNKNOWN if failure.was_sent else Ran.NO
        if failure.fault is SendFault.NOT_LISTENING:
            self._mark_unavailable("it accepts no connections")
        elif failure.was_sent:
            self._probe_for_death(state.call)
        self._refuse(state, ERROR_BY_FAULT[failure.fault], failure.detail, ran)

    def _probe_for_death(self, call: RoutedCall) -> None:
        """Probe whether the server died, to report calls that may have caused it."""
        self._lost_calls.append((trio.current_time(), call))
        if self._is_probing or self._pool is None:
            return
        self._is_probing = True
        self._pool.probe(self._handle_probe)

    def _handle_probe(self, is_listening: bool) -> None:
        self._is_probing = False
        window_start = trio.current_time() - DEATH_WINDOW_S
        lost_calls = [call for at, call in self._lost_calls if at > window_start]
        self._lost_calls.clear()
        if is_listening:
            return
        self._mark_unavailable("it died while running calls")
        self._on_death(lost_calls)

    def _handle_not_executed(self, state: _CallState, answer: BackendAnswer) -> None:
        if answer.status == MISDIRECTED_STATUS:
            self._mark_unavailable("another instance uses its address")
        detail = f"the backend server did not run the call: status {answer.status}"
        self._refuse(state, ErrorKind.NOT_EXECUTED, detail)

    def _is_not_executed(self, answer: BackendAnswer) -> bool:
        if answer.status == MISDIRECTED_STATUS:
            return True
        name = self._headers.not_executed
        return any(key == name for key, _ in answer.headers)

    def _mark_unavailable(self, reason: str) -> None:
        """Send no calls until the backend server reports itself again."""
        if self._closed_reason is not None:
            return
        self._log.emit(
            Event.INSTANCE_GONE, instance=self._instance.instance, reason=reason
        )
        self._closed_reason = ErrorKind.NO_SERVER
        if self._pool is not None:
            self._pool.close()
        self._on_unavailable()
        self._refuse_queued()

    def _refuse(
        self, state: _CallState, kind: ErrorKind, detail: str, ran: Ran = Ran.NO
    ) -> None:
        call = state.call
        now = trio.current_time()
        self._log.emit(
            Event.CALL_REFUSED if ran is Ran.NO else Event.CALL_FAILED,
            request=call.attempt,
            route=call.route,
            nested=call.is_nested,
            error=kind.value,
            reason=detail,
            ran=ran.value,
            waited_ms=round((now - state.arrived_at) * 1000, 1),
            queued=len(self._queue),
            in_flight=self._in_flight,
            limit=self._limit,
            rate_limit=self._notices.current.rate_limit,
        )
        self.counts.record(kind.value, call.route, now - state.arrived_at)
        load = self.load(call.route, now)
        state.on_reply(
            RoutedReply(
                call.number,
                load,
                error=kind,
                detail=detail,
                ran=ran,
                notice=self._notices.encoded,
            )
        )

    def _log_level_change(self) -> None:
        half_ranks = int(self._level_controller.level * 2)
        if half_ranks == self._logged_half_ranks:
            return
        self._logged_half_ranks = half_ranks
        self._log.emit(
            Event.SHED_LEVEL,
            level=round(self._level_controller.level, 2),
            in_flight=self._in_flight,
            queued=len(self._queue),
            limit=self._limit,
            run_ms=round(self._mean_run_s * 1000, 1),
        )


def usable_slots(slots: int) -> int:
    """Return how many slots may be in use before a server becomes slow."""
    return max(1, math.ceil(slots * MAX_USED_SLOT_FRACTION) - 1)
