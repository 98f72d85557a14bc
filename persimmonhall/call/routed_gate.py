"""Run the calls of routes at the one backend server next to this node."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from persimmonhall.admission.level import LevelController, WorkFractions
from persimmonhall.admission.success_rate import SuccessRates
from persimmonhall.admission.urgency_queue import NESTED_RANK, QueuedCall, UrgencyQueue
from persimmonhall.dialect import HeaderNames, InstanceReport, InstanceState
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.events import Event, EventLog, is_sampled
from persimmonhall.exposition import CallCounts
from persimmonhall.http.backends import (
    BackendAnswer,
    BackendFailure,
    BackendPool,
    BackendRequest,
    BackendResult,
    SendFault,
)
from persimmonhall.http.messages import FIRST_SERVER_ERROR, HOP_BY_HOP, LENGTH_HEADERS
from persimmonhall.ids import CallNumber, RouteName
from persimmonhall.routing.call_graph import CallGraph
from persimmonhall.routing.route_levels import RouteLevels
from persimmonhall.routing.route_origins import RouteOrigins
from persimmonhall.timers import Timers
from persimmonhall.wire.calls import GateLoad, RoutedCall, RoutedReply
from persimmonhall.wire.readiness import Readiness

# Servers turn slow when this share of their slots is taken.
SLOW_SHARE = 0.95
# Connections beyond the slots: a few close while others open in their place.
SPARE_CONNECTIONS = 16
# Of its latency objective a root may wait here: a refusal before an eighth of the
# objective costs its caller nothing, and its next try can still be in time.
ROOT_WAIT_SHARE = 0.125
LEAST_WAIT_S = 0.01
# Of its remaining time a call of a running request may wait, as its refusal would
# waste what ran before.
NESTED_WAIT_SHARE = 0.6
RUN_WEIGHT = 0.1
# Before any call that waits, as none waits for longer than its deadline.
SMALL_ROUTE_LEAD_S = 60.0
# Calls lost this long before a server was found dead may have killed it.
DEATH_S = 1.0
MISDIRECTED_STATUS = 421
DROPPED = HOP_BY_HOP | LENGTH_HEADERS

ReplyTo = Callable[[RoutedReply], None]
FAULTS = {
    SendFault.NOT_LISTENING: ErrorKind.CONNECT_FAILED,
    SendFault.NOT_CONNECTED: ErrorKind.CONNECT_FAILED,
    SendFault.LOST: ErrorKind.CONNECTION_LOST,
    SendFault.UNREADABLE: ErrorKind.CONNECTION_LOST,
    SendFault.CUT: ErrorKind.ANSWER_CUT,
}


@dataclass(eq=False, slots=True)
class _Work:
    """Follow one call from its arrival to its reply."""

    origin: object
    call: RoutedCall
    reply: ReplyTo
    arrived: float
    deadline: float
    is_logged: bool
    waiting: QueuedCall | None = None
    request: BackendRequest | None = None
    started: float = field(default=0.0)


class RoutedGate:
    """Start, queue or refuse calls so that the server never has more than it holds."""

    def __init__(
        self,
        headers: HeaderNames,
        readiness: Readiness,
        timers: Timers,
        graph: CallGraph,
        levels: RouteLevels,
        origins: RouteOrigins,
        log: EventLog,
        on_down: Callable[[], None] = lambda: None,
        on_death: Callable[[list[RoutedCall]], None] = lambda calls: None,
        make_pool: Callable[..., BackendPool] = BackendPool,
    ):
        self._headers = headers
        self._readiness = readiness
        self._timers = timers
        self._graph = graph
        self._levels = levels
        self._origins = origins
        self._log = log
        self._on_down = on_down
        self._on_death = on_death
        self._lost: list[tuple[float, RoutedCall]] = []
        self._is_probing = False
        self._make_pool = make_pool
        self._instance: InstanceReport | None = None
        self._pool: BackendPool | None = None
        self._closed: ErrorKind | None = ErrorKind.NO_SERVER
        self._leaving = False
        self._limit = 0
        self._in_flight = 0
        self._line: UrgencyQueue[_Work] = UrgencyQueue()
        self._work: dict[tuple[object, CallNumber], _Work] = {}
        self._controller = LevelController(1)
        self._shares: WorkFractions[RouteName] = WorkFractions()
        self._successes: SuccessRates[RouteName] = SuccessRates()
        self._run_s: dict[RouteName, float] = {}
        self._mean_run_s = 0.0
        self._expiry = None
        self.counts = CallCounts()
        self._logged_level = 0

    @property
    def instance(self) -> InstanceReport | None:
        """Return the instance that calls are run at."""
        return self._instance

    @property
    def in_flight(self) -> int:
        """Return how many calls run."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return how many calls wait."""
        return len(self._line)

    @property
    def limit(self) -> int:
        """Return how many calls may run at once."""
        return self._limit

    @property
    def level(self) -> float:
        """Return up to which rank this gate alone would take root requests."""
        return self._controller.level

    @property
    def is_idle(self) -> bool:
        """Tell whether no call runs or waits."""
        return not self._work

    def set_ranks(self, ranks: int) -> None:
        """Take in how many ranks of priority the release in force has."""
        self._controller.set_ranks(ranks)

    def set_instance(self, report: InstanceReport | None) -> None:
        """Take in what the backend server says of itself, None when it is gone."""
        known, self._instance = self._instance, report
        if report is None or report.state is InstanceState.DRAINING:
            self._closed = ErrorKind.NO_SERVER if report is None else ErrorKind.LEAVING
            self._refuse_waiting()
            return
        if known is None or known.instance != report.instance or self._pool is None:
            self._open_pool(report)
        self._limit = usable_slots(report.slots)
        self._closed = ErrorKind.LEAVING if self._leaving else None
        self._start_waiting()

    def leave(self) -> None:
        """Refuse new calls from now on; those that run go on."""
        self._leaving = True
        self._closed = ErrorKind.LEAVING
        self._refuse_waiting()

    def begin(self, origin: object, call: RoutedCall, reply: ReplyTo) -> None:
        """Take in a call."""
        now = trio.current_time()
        work = _Work(
            origin,
            call,
            reply,
            now,
            now + call.remaining_ms / 1000,
            is_sampled(call.attempt),
        )
        refusal = self._refusal(work)
        if refusal is not None:
            self._refuse(work, *refusal)
            return
        self._work[origin, call.number] = work
        if not call.is_rerouted:
            # Elsewhere its work was counted already.
            run_s = self._expected_s(call.route)
            self._controller.add_work(run_s)
            self._shares.add_work(call.route, run_s)
        if self._in_flight < self._limit and not len(self._line):
            self._start(work, now)
        else:
            self._queue(work, now)

    def cancel(self, origin: object, number: CallNumber) -> None:
        """Stop a call that nobody waits for."""
        work = self._work.pop((origin, number), None)
        if work is None:
            return
        if work.waiting is not None:
            self._line.remove(work.waiting)
            return
        if work.request is not None and self._pool is not None:
            self._pool.abort(work.request)
        self._in_flight -= 1
        self._start_waiting()

    def cancel_all(self, origin: object) -> None:
        """Stop all calls of an origin that is gone."""
        for key in [key for key in self._work if key[0] is origin]:
            self.cancel(*key)

    def step(self, now: float, passed_s: float) -> None:
        """Adjust the level and close idle connections; call every STEP_INTERVAL_S."""
        self._controller.step(len(self._line), self._limit, passed_s)
        self._shares.update()
        self._graph.end_interval()
        if self._pool is not None:
            self._pool.close_idle(now)
        self._note_level()

    def load(self, route: RouteName, now: float) -> GateLoad:
        """Return how busy the gate is, with the level of all that a route leads to."""
        own_level = self._controller.level + self._shares.is_small(route)
        level = min(own_level, self._levels.min_called_level(route, now))
        return GateLoad(
            self._in_flight,
            len(self._line),
            self._limit,
            level,
            self._origins.is_requested_by_callers(route),
            self._success(route, now),
        )

    def _success(self, route: RouteName, now: float) -> float:
        """Return which share of runs ends well, where it may hang on their calls.

        Few runs are tried while they fail: that their calls succeed shows earlier.
        """
        if not self._graph.has_calls:
            return 1.0
        by_calls = self._levels.success_rate_from_calls(route, now)
        return max(self._successes.rate(route), by_calls)

    def _open_pool(self, report: InstanceReport) -> None:
        if self._pool is not None:
            self._pool.close()
        self._pool = self._make_pool(
            report.address,
            self._readiness,
            self._timers,
            self._headers.attempt,
            report.slots + SPARE_CONNECTIONS,
        )

    def _refusal(self, work: _Work) -> tuple[ErrorKind, str] | None:
        instance = self._instance
        if instance is not None and instance.service != work.call.service:
            return ErrorKind.NO_SERVER, f"the server here is of {instance.service}"
        if self._closed is not None:
            return self._closed, "the backend server takes no new requests"
        return None

    def _queue(self, work: _Work, now: float) -> None:
        call = work.call
        if call.is_nested:
            rank = NESTED_RANK
            most_s = NESTED_WAIT_SHARE * call.remaining_ms / 1000
        else:
            rank = call.rank
            most_s = max(LEAST_WAIT_S, ROOT_WAIT_SHARE * call.objective_ms / 1000)
        latest = min(now + most_s, work.deadline - self._expected_s(call.route))
        start_by = now + ROOT_WAIT_SHARE * call.objective_ms / 1000
        goes_first = not call.is_nested and self._shares.is_small(call.route)
        if goes_first:
            # A route that brings little work delays the others little.
            start_by = now - SMALL_ROUTE_LEAD_S
        work.waiting = QueuedCall(work, rank, start_by, latest)
        self._line.add(work.waiting)
        if not goes_first and now + self._wait_s() > latest:
            self._give_one_up(work)
        self._set_expiry(latest)

    def _give_one_up(self, work: _Work) -> None:
        """Refuse a less urgent call that waits in place of the new one, or this one."""
        victim = self._line.pop_least_urgent(work.waiting.rank)
        if victim is None:
            self._line.remove(work.waiting)
            victim = work.waiting
        self._give_up(victim.item)

    def _give_up(self, work: _Work) -> None:
        del self._work[work.origin, work.call.number]
        self._refuse(work, ErrorKind.OVERLOADED, "no place in time at the server")

    def _wait_s(self) -> float:
        return len(self._line) * self._mean_run_s / max(1, self._limit)

    def _expected_s(self, route: RouteName) -> float:
        return self._run_s.get(route, 0.0)

    def _set_expiry(self, when: float) -> None:
        if self._expiry is None:
            self._expiry = self._timers.call_at(when, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        now = trio.current_time()
        for waiting in self._line.pop_overdue(now):
            self._give_up(waiting.item)
        if len(self._line):
            self._set_expiry(now + LEAST_WAIT_S)

    def _refuse_waiting(self) -> None:
        for waiting in self._line.pop_all():
            work = waiting.item
            del self._work[work.origin, work.call.number]
            detail = "the backend server takes no new requests"
            self._refuse(work, self._closed or ErrorKind.LEAVING, detail)

    def _start_waiting(self) -> None:
        now = trio.current_time()
        while self._closed is None and self._in_flight < self._limit:
            waiting = self._line.pop_first()
            if waiting is None:
                return
            if waiting.latest_start <= now:
                self._give_up(waiting.item)
            else:
                self._start(waiting.item, now)

    def _start(self, work: _Work, now: float) -> None:
        call = work.call
        work.waiting = None
        left_ms = max(1, int((work.deadline - now) * 1000))
        names = self._headers
        end = b"%s: %d\r\n%s: %s\r\n" % (
            names.deadline_ms,
            left_ms,
            names.expected_instance,
            self._instance.instance.encode(),
        )
        if call.body:
            end += b"content-length: %d\r\n" % len(call.body)
        self._in_flight += 1
        work.started = now
        self._graph.count_run(call.route)
        if work.is_logged:
            self._log.emit(
                Event.CALL_SENT,
                request=call.attempt,
                instance=self._instance.instance,
                waited_ms=round((now - work.arrived) * 1000, 1),
                left_ms=left_ms,
                in_flight=self._in_flight,
                limit=self._limit,
            )
        work.request = BackendRequest(
            b"%s%s\r\n%s" % (call.head, end, call.body),
            call.attempt.encode("latin-1"),
            lambda result: self._end(work, result),
            is_head=call.is_head,
            may_repeat=call.is_idempotent,
        )
        self._pool.send(work.request)

    def _end(self, work: _Work, result: BackendResult) -> None:
        if self._work.pop((work.origin, work.call.number), None) is None:
            return
        # Cycles would be left to the garbage collector, one for each call.
        work.request = None
        self._in_flight -= 1
        now = trio.current_time()
        if isinstance(result, BackendFailure):
            self._end_failed(work, result)
        elif self._is_not_executed(result):
            self._end_not_executed(work, result)
        else:
            self._end_answered(work, result, now)
        self._start_waiting()

    def _end_answered(self, work: _Work, answer: BackendAnswer, now: float) -> None:
        route = work.call.route
        self._successes.record(route, answer.status < FIRST_SERVER_ERROR)
        run_s = now - work.started
        known = self._run_s.get(route, run_s)
        self._run_s[route] = known + RUN_WEIGHT * (run_s - known)
        self._mean_run_s += RUN_WEIGHT * (run_s - self._mean_run_s)
        head = b"".join(
            b"%s: %s\r\n" % pair for pair in answer.headers if pair[0] not in DROPPED
        )
        self.counts.note(f"status_{answer.status}", route, now - work.arrived)
        load = self.load(route, now)
        work.reply(
            RoutedReply(
                work.call.number, load, answer.status, head, answer.body, run_s=run_s
            )
        )

    def _end_failed(self, work: _Work, failure: BackendFailure) -> None:
        ran = Ran.UNKNOWN if failure.was_sent else Ran.NO
        if failure.fault is SendFault.NOT_LISTENING:
            self._take_down("it takes no connections")
        elif failure.was_sent:
            self._look_for_death(work.call)
        self._refuse(work, FAULTS[failure.fault], failure.detail, ran)

    def _look_for_death(self, call: RoutedCall) -> None:
        """Find out whether the server has died, and of which calls it may have."""
        self._lost.append((trio.current_time(), call))
        if self._is_probing or self._pool is None:
            return
        self._is_probing = True
        self._pool.probe(self._end_probe)

    def _end_probe(self, is_listening: bool) -> None:
        self._is_probing = False
        since = trio.current_time() - DEATH_S
        lost = [call for at, call in self._lost if at > since]
        self._lost.clear()
        if is_listening:
            return
        self._take_down("it died with calls under way")
        self._on_death(lost)

    def _end_not_executed(self, work: _Work, answer: BackendAnswer) -> None:
        if answer.status == MISDIRECTED_STATUS:
            self._take_down("another instance has its address")
        detail = f"the backend server did not run it, status {answer.status}"
        self._refuse(work, ErrorKind.NOT_EXECUTED, detail)

    def _is_not_executed(self, answer: BackendAnswer) -> bool:
        if answer.status == MISDIRECTED_STATUS:
            return True
        name = self._headers.not_executed
        return any(key == name for key, _ in answer.headers)

    def _take_down(self, reason: str) -> None:
        """Send nothing more until the backend server reports itself again."""
        if self._closed is not None:
            return
        self._log.emit(
            Event.INSTANCE_GONE, instance=self._instance.instance, reason=reason
        )
        self._closed = ErrorKind.NO_SERVER
        if self._pool is not None:
            self._pool.close()
        self._on_down()
        self._refuse_waiting()

    def _refuse(
        self, work: _Work, kind: ErrorKind, detail: str, ran: Ran = Ran.NO
    ) -> None:
        call = work.call
        now = trio.current_time()
        self._log.emit(
            Event.CALL_REFUSED if ran is Ran.NO else Event.CALL_FAILED,
            request=call.attempt,
            route=call.route,
            nested=call.is_nested,
            error=kind.value,
            reason=detail,
            ran=ran.value,
            waited_ms=round((now - work.arrived) * 1000, 1),
            queued=len(self._line),
            in_flight=self._in_flight,
            limit=self._limit,
        )
        self.counts.note(kind.value, call.route, now - work.arrived)
        load = self.load(call.route, now)
        work.reply(RoutedReply(call.number, load, error=kind, detail=detail, ran=ran))

    def _note_level(self) -> None:
        rounded = int(self._controller.level * 2)
        if rounded == self._logged_level:
            return
        self._logged_level = rounded
        self._log.emit(
            Event.SHED_LEVEL,
            level=round(self._controller.level, 2),
            in_flight=self._in_flight,
            queued=len(self._line),
            limit=self._limit,
            run_ms=round(self._mean_run_s * 1000, 1),
        )


def usable_slots(slots: int) -> int:
    """Return how many slots may be taken before a server turns slow."""
    return max(1, math.ceil(slots * SLOW_SHARE) - 1)
