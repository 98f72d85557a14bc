"""Reply to the calls of a gate: answers of its server, refusals and failures."""

from typing import Protocol

from persimmonhall.call.backend_session import BackendSession
from persimmonhall.call.gate_load import GateLoadMeter
from persimmonhall.call.gate_queue import CallState
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.event_time import current_time
from persimmonhall.events import Event, EventLog
from persimmonhall.exposition import CallCounters
from persimmonhall.http.backend_pool import BackendAnswer
from persimmonhall.http.messages import (
    FIRST_SERVER_ERROR_STATUS,
    HOP_BY_HOP_HEADERS,
    LENGTH_HEADERS,
)
from persimmonhall.ids import RouteName
from persimmonhall.wire.call_frames import GateLoad, RoutedReply

DROPPED_HEADERS = HOP_BY_HOP_HEADERS | LENGTH_HEADERS


class RunningCalls(Protocol):
    """Tell how many calls a gate runs and holds."""

    in_flight: int
    queued: int
    capacity: float


class GateReplies:
    """Send each reply with the load of the gate; count it and log what failed."""

    def __init__(
        self,
        calls: RunningCalls,
        session: BackendSession,
        load_meter: GateLoadMeter,
        log: EventLog,
        counts: CallCounters,
    ):
        self._calls = calls
        self._session = session
        self._load_meter = load_meter
        self._log = log
        self._counts = counts

    def answer(self, state: CallState, answer: BackendAnswer, now: float) -> None:
        """Send the answer of the backend server."""
        route = state.call.route
        run_s = now - state.started_at
        is_success = answer.status < FIRST_SERVER_ERROR_STATUS
        self._load_meter.record_answer(route, run_s, now, is_success=is_success)
        head = b"".join(
            b"%s: %s\r\n" % pair
            for pair in answer.headers
            if pair[0] not in DROPPED_HEADERS
        )
        self._counts.record(f"status_{answer.status}", route, now - state.arrived_at)
        state.on_reply(
            RoutedReply(
                state.call.number,
                self._load(route, now),
                answer.status,
                head,
                answer.body,
                run_s=run_s,
                notice=self._session.notices.encoded,
            )
        )

    def refuse(
        self, state: CallState, kind: ErrorKind, detail: str, ran: Ran = Ran.NO
    ) -> None:
        """Send a refusal, or a failure if the call may have run."""
        call = state.call
        now = current_time()
        self._log.emit(
            Event.CALL_REFUSED if ran is Ran.NO else Event.CALL_FAILED,
            request=call.attempt,
            route=call.route,
            nested=call.is_nested,
            error=kind.value,
            reason=detail,
            ran=ran.value,
            waited_ms=round((now - state.arrived_at) * 1000, 1),
            queued=self._calls.queued,
            in_flight=self._calls.in_flight,
            limit=self._session.slot_limit,
            rate_limit=self._session.notices.current.rate_limit,
        )
        self._counts.record(kind.value, call.route, now - state.arrived_at)
        state.on_reply(
            RoutedReply(
                call.number,
                self._load(call.route, now),
                error=kind,
                detail=detail,
                ran=ran,
                notice=self._session.notices.encoded,
            )
        )

    def _load(self, route: RouteName, now: float) -> GateLoad:
        """Return the load, with the lowest level of the gate and the route's calls."""
        calls = self._calls
        return self._load_meter.make_report(
            route,
            calls.in_flight,
            calls.queued,
            calls.capacity,
            is_rate_limited=self._session.rate_limiter.is_limited,
            now=now,
        )
