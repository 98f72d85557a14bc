"""Track the current instance of the local backend server."""

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
SILENCE_S = 12.0


class InstanceWatch:
    """Report the newest instance to gate and peers; ignore outdated reports."""

    def __init__(
        self,
        gate: RoutedGate,
        gossiper: Gossiper,
        own_service: ServiceName,
        own_address: Address | None,
        log: EventLog,
    ):
        self._gate = gate
        self._gossiper = gossiper
        self._own_service = own_service
        self._own_address = own_address
        self._log = log
        self._newest: InstanceReport | None = None
        self._heard_at = 0.0
        # Start times of deregistered instances: a late report must not restore one.
        self._left: dict[InstanceId, int] = {}

    def take(self, call: NodeCall) -> bool:
        """Handle a call of an instance; return whether it was valid."""
        match call:
            case ReportCall(report):
                return self._take_report(report)
            case LeaveCall(instance):
                self._take_leave(instance)
                return True
            case MalformedCall(reason):
                self._log.emit(Event.INSTANCE_REPORT_REFUSED, reason=reason)
        return False

    def take_down(self) -> None:
        """Tell peers that the backend server accepts no connections."""
        self._gossiper.announce(self._own_service, 0, MemberState.EMPTY)

    def step(self, now: float) -> None:
        """Remove the instance if its reports have stopped."""
        newest = self._newest
        silent_s = now - self._heard_at
        if newest is None or silent_s < SILENCE_S:
            return
        self._log.emit(
            Event.INSTANCE_GONE,
            instance=newest.instance,
            reason=f"no report for {silent_s:.0f} s",
        )
        self._newest = None
        self._gate.set_instance(None)
        self._gossiper.announce(self._own_service, 0, MemberState.EMPTY)

    def _take_report(self, report: InstanceReport) -> bool:
        reason = self._reason_against(report)
        if reason is not None:
            self._log.emit(
                Event.INSTANCE_REPORT_REFUSED, instance=report.instance, reason=reason
            )
            return False
        newest = self._newest
        if newest is not None and _order(report) <= _order(newest):
            return True
        if self._left.get(report.instance) == report.born_ms:
            return True
        if newest is None or _shown(report) != _shown(newest):
            self._log.emit(
                Event.INSTANCE_SEEN,
                instance=report.instance,
                state=report.state.value,
                slots=report.slots,
                born_ms=report.born_ms,
                sequence=report.sequence,
                warm_up_ms=report.warm_up_ms,
            )
        self._newest = report
        self._heard_at = trio.current_time()
        self._put_in_force(report)
        return True

    def _take_leave(self, instance: InstanceId) -> None:
        newest = self._newest
        if newest is None or newest.instance != instance:
            return
        self._left[instance] = newest.born_ms
        self._log.emit(
            Event.INSTANCE_GONE, instance=instance, reason="instance deregistered"
        )
        self._gate.set_instance(None)
        self._gossiper.announce(self._own_service, 0, MemberState.LEAVING)

    def _reason_against(self, report: InstanceReport) -> str | None:
        if self._own_service and report.service != self._own_service:
            return f"service {report.service!r} is not the service of this node"
        if self._own_address is not None and report.address != self._own_address:
            return f"address {report.address} is not the backend address of this node"
        if report.slots < 1:
            return f"slots must be at least 1, not {report.slots}"
        return None

    def _put_in_force(self, report: InstanceReport) -> None:
        self._gate.set_instance(report)
        state = MemberState.READY
        if report.state is InstanceState.DRAINING:
            state = MemberState.LEAVING
        self._gossiper.announce(report.service, self._gate.limit, state)


def _order(report: InstanceReport) -> tuple[int, int]:
    return (report.born_ms, report.sequence)


def _shown(report: InstanceReport) -> tuple:
    return (report.instance, report.state, report.slots)
