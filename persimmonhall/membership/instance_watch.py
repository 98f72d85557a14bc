"""Track the current instance of the local backend server."""

import time

import trio

from persimmonhall.address import Address
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.dialect import (
    InstanceReport,
    InstanceState,
    LeaveCall,
    MalformedCall,
    NodeCall,
    ReportCall,
)
from persimmonhall.events import Event, EventLog
from persimmonhall.ids import InstanceId, ServiceName
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.messages import MemberState

# Reports may arrive seconds late; a stopped server fails at the next connection.
REPORT_TIMEOUT_S = 12.0
# Only the last instances can still have a report under way.
MAX_DEREGISTERED = 100


class InstanceWatch:
    """Report the newest instance to gate and peers; ignore outdated reports."""

    def __init__(
        self,
        gate: RoutedGate,
        gossiper: Gossiper,
        local_service: ServiceName,
        local_address: Address | None,
        log: EventLog,
    ):
        self._gate = gate
        self._gossiper = gossiper
        self._local_service = local_service
        self._local_address = local_address
        self._log = log
        self._latest_report: InstanceReport | None = None
        self._last_report_at = 0.0
        # Latest start times of deregistered instances: no late report restores one.
        self._deregistered: dict[InstanceId, int] = {}

    def handle_call(self, call: NodeCall) -> bool:
        """Handle a call of an instance; return whether it was valid."""
        match call:
            case ReportCall(report):
                return self._handle_report(report)
            case LeaveCall(instance, born_ms):
                self._handle_leave(instance, born_ms)
                return True
            case MalformedCall(reason):
                self._log.emit(Event.INSTANCE_REPORT_REFUSED, reason=reason)
        return False

    def announce_unavailable(self) -> None:
        """Tell peers that the backend server accepts no connections."""
        self._gossiper.announce(self._local_service, 0, MemberState.EMPTY)

    def announce_leaving(self) -> None:
        """Tell peers that the backend server leaves."""
        self._gossiper.announce(self._local_service, 0, MemberState.LEAVING)

    def step(self, now: float) -> None:
        """Remove the instance if its reports have stopped."""
        latest = self._latest_report
        silent_s = now - self._last_report_at
        if latest is None or silent_s < REPORT_TIMEOUT_S:
            return
        self._log.emit(
            Event.INSTANCE_GONE,
            instance=latest.instance,
            reason=f"no report for {silent_s:.0f} s",
        )
        self._latest_report = None
        self._gate.set_instance(None)
        self._gossiper.announce(self._local_service, 0, MemberState.EMPTY)

    def _handle_report(self, report: InstanceReport) -> bool:
        reason = self._rejection_reason(report)
        if reason is not None:
            self._log.emit(
                Event.INSTANCE_REPORT_REFUSED, instance=report.instance, reason=reason
            )
            return False
        latest = self._latest_report
        if latest is not None and _report_order(report) <= _report_order(latest):
            return True
        if report.born_ms <= self._deregistered.get(report.instance, -1):
            return True
        if latest is None or _logged_fields(report) != _logged_fields(latest):
            self._log.emit(
                Event.INSTANCE_SEEN,
                instance=report.instance,
                state=report.state.value,
                slots=report.slots,
                born_ms=report.born_ms,
                sequence=report.sequence,
                warm_up_ms=report.warm_up_ms,
            )
        self._latest_report = report
        self._last_report_at = trio.current_time()
        self._apply_report(report)
        return True

    def _handle_leave(self, instance: InstanceId, born_ms: int | None) -> None:
        latest = self._latest_report
        is_latest = latest is not None and latest.instance == instance
        if born_ms is None:
            # This node may have restarted since the last report of the instance; all
            # its incarnations so far were born before now.
            born_ms = latest.born_ms if is_latest else int(time.time() * 1000)
        self._deregistered[instance] = max(
            born_ms, self._deregistered.pop(instance, born_ms)
        )
        if len(self._deregistered) > MAX_DEREGISTERED:
            del self._deregistered[next(iter(self._deregistered))]
        if not is_latest or latest.born_ms > born_ms:
            return
        self._log.emit(
            Event.INSTANCE_GONE, instance=instance, reason="instance deregistered"
        )
        self._gate.set_instance(None)
        self.announce_leaving()

    def _rejection_reason(self, report: InstanceReport) -> str | None:
        if self._local_service and report.service != self._local_service:
            return f"service {report.service!r} is not the service of this node"
        if self._local_address is not None and report.address != self._local_address:
            return f"address {report.address} is not the backend address of this node"
        if report.slots < 1:
            return f"slots must be at least 1, not {report.slots}"
        return None

    def _apply_report(self, report: InstanceReport) -> None:
        self._gate.set_instance(report)
        state = MemberState.READY
        if report.state is InstanceState.DRAINING or self._gate.is_server_leaving:
            state = MemberState.LEAVING
        self._gossiper.announce(report.service, self._gate.limit, state)


def _report_order(report: InstanceReport) -> tuple[int, int]:
    return (report.born_ms, report.sequence)


def _logged_fields(report: InstanceReport) -> tuple:
    return (report.instance, report.state, report.slots)
