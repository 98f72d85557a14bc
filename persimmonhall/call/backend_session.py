"""Follow the local backend server: its instance, connections, notices and death."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from persimmonhall.admission.rate_limiter import RateLimiter
from persimmonhall.call.gate_queue import CallState
from persimmonhall.call.server_notices import (
    InvalidNoticeError,
    ServerNotice,
    ServerNotices,
    has_notice,
    read_notice,
)
from persimmonhall.dialect import HeaderNames, InstanceReport, InstanceState
from persimmonhall.errors import ErrorKind
from persimmonhall.event_time import current_time
from persimmonhall.events import Event, EventLog
from persimmonhall.http.backend_pool import BackendAnswer, BackendPool
from persimmonhall.ids import ServiceName
from persimmonhall.timers import Timers
from persimmonhall.wire.call_frames import RoutedCall
from persimmonhall.wire.poller import Poller
from persimmonhall.wire.transfer_budget import TransferBudget

# Servers become slow when this fraction of their slots is in use.
MAX_USED_SLOT_FRACTION = 0.95
# Connections beyond the slots: a few are closing while their replacements open.
SPARE_CONNECTIONS = 16
# Calls lost within this time before a server was found dead may have caused its death.
DEATH_WINDOW_S = 1.0
MISDIRECTED_STATUS = 421


@dataclass(frozen=True)
class BackendListeners:
    """Hold the functions to call when the state of the backend server changes."""

    on_unavailable: Callable[[], None] = lambda: None
    on_death: Callable[[list[RoutedCall]], None] = lambda calls: None
    on_leaving: Callable[[], None] = lambda: None
    on_misdirected: Callable[[], None] = lambda: None


class BackendSession:
    """Track which instance takes calls now, how many, and why it takes none."""

    def __init__(
        self,
        headers: HeaderNames,
        poller: Poller,
        timers: Timers,
        log: EventLog,
        listeners: BackendListeners,
        on_closed: Callable[[], None],
        read_load: Callable[[], dict[str, int]],
        make_pool: Callable[..., BackendPool] = BackendPool,
        answer_budget: TransferBudget | None = None,
    ):
        self._headers = headers
        self._poller = poller
        self._timers = timers
        self._log = log
        self._listeners = listeners
        self._on_closed = on_closed
        self._read_load = read_load
        self.make_pool = make_pool
        self._answer_budget = answer_budget or TransferBudget()
        # Read several times a call, so without properties: the instance that runs the
        # calls, its connections, what it states, what paces it, why it takes no new
        # calls, and how many may run at once.
        self.instance: InstanceReport | None = None
        self.pool: BackendPool | None = None
        self.notices = ServerNotices()
        self.rate_limiter = RateLimiter()
        self.closed_reason: ErrorKind | None = ErrorKind.NO_SERVER
        self.slot_limit = 0
        self._is_draining = False
        self._connection_limits: Mapping[ServiceName, int] = {}
        self._lost_calls: list[tuple[float, RoutedCall]] = []
        self._is_probing = False

    @property
    def is_leaving(self) -> bool:
        """Return whether the server states in its answers that it leaves."""
        return self.notices.current.is_leaving

    def set_connection_limits(self, limits: Mapping[ServiceName, int]) -> None:
        """Set how many connections a server of each service accepts; 0 is unlimited."""
        self._connection_limits = limits
        if self.instance is not None and self.pool is not None:
            self._limit_by_connections(self.instance)

    def set_instance(self, report: InstanceReport | None) -> None:
        """Apply the report of the backend server; None means that it is gone."""
        previous, self.instance = self.instance, report
        if report is not None and not self.notices.is_about(report):
            self.notices = ServerNotices(report.instance, report.born_ms)
            self.rate_limiter = RateLimiter()
        if report is None or report.state is InstanceState.DRAINING:
            self.closed_reason = (
                ErrorKind.NO_SERVER if report is None else ErrorKind.LEAVING
            )
            self._on_closed()
            return
        is_known = previous is not None and previous.instance == report.instance
        if self.pool is None or not is_known or previous.address != report.address:
            self._open_pool(report)
        self._limit_by_connections(report)
        is_closed = self._is_draining or self.is_leaving
        self.closed_reason = ErrorKind.LEAVING if is_closed else None

    def drain(self) -> None:
        """Take no new calls; those that run continue."""
        self._is_draining = True
        self.closed_reason = ErrorKind.LEAVING
        self._on_closed()

    def record_notice(
        self, state: CallState, answer: BackendAnswer, now: float
    ) -> None:
        """Record what the instance states about itself in an answer."""
        is_misdirected = answer.status == MISDIRECTED_STATUS
        if is_misdirected or state.notices is not self.notices:
            # Another instance answered, or this one has been replaced meanwhile.
            return
        if not has_notice(answer.headers, self._headers) and (
            self.notices.record_none()
        ):
            return
        try:
            notice = read_notice(answer.headers, self._headers)
        except InvalidNoticeError as error:
            self._log.emit(
                Event.INSTANCE_NOTICE_INVALID,
                instance=self.notices.instance,
                request=state.call.attempt,
                reason=str(error),
            )
            rate_limit = self.notices.current.rate_limit
            notice = ServerNotice(rate_limit, error.is_leaving)
        was_leaving = self.is_leaving
        if self.notices.record(notice, state.started_at, now):
            self._apply_notice(state.call, now, "answer", was_leaving)

    def recall_notice(self, call: RoutedCall, now: float) -> None:
        """Learn from an entry what the server stated before this node restarted."""
        was_leaving = self.is_leaving
        if self.notices.recall(call.notice, now):
            self._apply_notice(call, now, "entry", was_leaving)

    def mark_unavailable(self, reason: str) -> None:
        """Send no calls until the backend server reports itself again."""
        if self.closed_reason is not None:
            return
        self._log.emit(
            Event.INSTANCE_GONE, instance=self.instance.instance, reason=reason
        )
        self.closed_reason = ErrorKind.NO_SERVER
        if self.pool is not None:
            self.pool.close()
        self._listeners.on_unavailable()
        self._on_closed()

    def handle_misdirected(self, state: CallState) -> None:
        """Send no calls to an instance that its server says it is not."""
        if state.notices is not self.notices:
            # The call was for an instance that has been replaced meanwhile.
            return
        self.mark_unavailable("another instance uses its address")
        self._listeners.on_misdirected()

    def probe_for_death(self, call: RoutedCall) -> None:
        """Probe whether the server died, to report calls that may have caused it."""
        self._lost_calls.append((current_time(), call))
        if self._is_probing or self.pool is None:
            return
        self._is_probing = True
        self.pool.probe(self._handle_probe)

    def _handle_probe(self, is_listening: bool) -> None:
        self._is_probing = False
        window_start = current_time() - DEATH_WINDOW_S
        lost_calls = [call for at, call in self._lost_calls if at > window_start]
        self._lost_calls.clear()
        if is_listening:
            return
        self.mark_unavailable("it died while running calls")
        self._listeners.on_death(lost_calls)

    def _apply_notice(
        self, call: RoutedCall, now: float, source: str, was_leaving: bool
    ) -> None:
        notice = self.notices.current
        self.rate_limiter.set_rate(notice.rate_limit, now)
        self._log.emit(
            Event.INSTANCE_NOTICE,
            instance=self.notices.instance,
            request=call.attempt,
            source=source,
            rate_limit=notice.rate_limit,
            leaving=notice.is_leaving,
            **self._read_load(),
        )
        if notice.is_leaving and not was_leaving:
            self._close_for_leaving()

    def _close_for_leaving(self) -> None:
        """Send no more calls to this incarnation of the server."""
        if self.closed_reason is None:
            self.closed_reason = ErrorKind.LEAVING
            self._on_closed()
        self._listeners.on_leaving()

    def _open_pool(self, report: InstanceReport) -> None:
        if self.pool is not None:
            self.pool.close()
        self.pool = self.make_pool(
            report.address,
            self._poller,
            self._timers,
            self._headers.attempt,
            report.slots + SPARE_CONNECTIONS,
            self._answer_budget,
        )

    def _limit_by_connections(self, report: InstanceReport) -> None:
        """Set the limits for a server by its slots and the connections it accepts."""
        slots, connections = report.slots, report.slots + SPARE_CONNECTIONS
        accepted = self._connection_limits.get(report.service, 0)
        if accepted > 0:
            connections = min(connections, accepted)
            slots = min(slots, accepted)
        self.pool.set_max_connections(connections)
        self.slot_limit = usable_slots(slots)


def usable_slots(slots: int) -> int:
    """Return how many slots may be in use before a server becomes slow."""
    return max(1, math.ceil(slots * MAX_USED_SLOT_FRACTION) - 1)
