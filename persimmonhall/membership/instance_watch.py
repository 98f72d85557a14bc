"""Track the current instance of the local backend server."""

import math
import re
import time

import trio

from persimmonhall.address import Address
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.departure.messages import RecordedDeparture
from persimmonhall.departure.recorder import DepartureRecorder
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
from persimmonhall.membership.messages import (
    MAX_DEPARTURE_NUMBER,
    MAX_SLOTS,
    Departure,
    MemberState,
)

# Reports may arrive seconds late; a stopped server fails at the next connection.
REPORT_TIMEOUT_S = 12.0
# Only the last instances can still have a report under way.
MAX_DEPARTURES = 100
MAX_LOGGED_CHARS = 40
# A node that has restarted applies no report before the control VMs have told it what
# left before, or for this long if it can't reach them. Most elections take less.
MAX_HOLD_S = 3.0
# Clocks may step; a later birth would make all true reports look outdated.
MAX_BIRTH_LEAD_MS = 24 * 3600 * 1000
MAX_SEQUENCE = 1 << 53
# It is sent to the server as the value of a header.
INSTANCE_ID = re.compile(r"[\x21-\x7e]{1,255}")
# Orders a leave after all reports of an incarnation.
FINAL_SEQUENCE = MAX_DEPARTURE_NUMBER
NO_DEPARTURE = (-1, -1)


class InstanceWatch:
    """Report the newest instance to gate and peers; ignore outdated reports."""

    def __init__(
        self,
        gate: RoutedGate,
        gossiper: Gossiper,
        recorder: DepartureRecorder,
        local_service: ServiceName,
        local_address: Address | None,
        log: EventLog,
    ):
        self._gate = gate
        self._gossiper = gossiper
        self._recorder = recorder
        self._local_service = local_service
        self._local_address = local_address
        self._log = log
        self._latest_report: InstanceReport | None = None
        self._last_report_at = 0.0
        # Replaced by an instance that may turn out not to be at the address.
        self._replaced_report: InstanceReport | None = None
        self._replaced_report_at = -math.inf
        # Latest birth and sequence that count as departed: no late report restores one.
        self._departures: dict[InstanceId, tuple[int, int]] = {}
        self._held_report: InstanceReport | None = None
        self._hold_until = trio.current_time() + MAX_HOLD_S
        gossiper.set_departure_listener(self.restore_departure)
        recorder.set_listener(self.restore_departure, self.apply_held_report)

    def handle_call(self, call: NodeCall) -> bool:
        """Handle a call of an instance; return whether it was valid."""
        match call:
            case ReportCall(report):
                return self._handle_report(report)
            case LeaveCall(instance, born_ms):
                reason = _odd_id(instance) or _odd_birth(born_ms or 0)
                if reason is None:
                    self._handle_leave(instance, born_ms)
                    return True
            case MalformedCall(reason):
                pass
        self._log.emit(Event.INSTANCE_REPORT_REFUSED, reason=reason)
        return False

    def departure_of(self, call: NodeCall) -> RecordedDeparture | None:
        """Return the departure that the answer to a handled call acknowledges."""
        match call:
            case ReportCall(report) if report.state is InstanceState.DRAINING:
                instance = report.instance
            case LeaveCall(instance):
                pass
            case _:
                return None
        if instance not in self._departures:
            return None
        return RecordedDeparture(instance, *self._departures[instance])

    def announce_unavailable(self) -> None:
        """Tell peers that the backend server accepts no connections."""
        self._gossiper.announce(self._local_service, 0, MemberState.EMPTY)

    def announce_leaving(self) -> None:
        """Tell peers that the backend server leaves, as it states in its answers."""
        latest = self._latest_report
        if latest is not None:
            self._record_departure(latest.instance, latest.born_ms, FINAL_SEQUENCE)
        self._gossiper.announce(self._local_service, 0, MemberState.LEAVING)

    def refute_instance(self) -> None:
        """Return to the instance before: the server says that it is not the latest."""
        refuted, self._latest_report = self._latest_report, None
        if refuted is None:
            return
        # Only here: members need not know of a report that was not true.
        self._keep_departure(refuted.instance, (refuted.born_ms, FINAL_SEQUENCE))
        report, self._replaced_report = self._replaced_report, None
        since_s = trio.current_time() - self._replaced_report_at
        if report is not None and since_s < REPORT_TIMEOUT_S:
            self._accept_report(report)

    def restore_departure(self, departure: Departure | RecordedDeparture) -> None:
        """Apply a departure that was acknowledged before this node restarted."""
        key = (departure.born_ms, departure.sequence)
        self._keep_departure(departure.instance, key)
        latest = self._latest_report
        if latest is None or latest.instance != departure.instance:
            return
        if _report_order(latest) <= key:
            self._apply_departure(latest, "it left before this node restarted")

    def apply_held_report(self) -> None:
        """Apply the newest report that was held back."""
        report, self._held_report = self._held_report, None
        if report is not None:
            self._accept_report(report)

    def step(self, now: float) -> None:
        """Remove the instance if its reports have stopped."""
        if self._held_report is not None and now >= self._hold_until:
            self.apply_held_report()
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
                Event.INSTANCE_REPORT_REFUSED,
                instance=report.instance[:MAX_LOGGED_CHARS],
                reason=reason,
            )
            return False
        if report.state is InstanceState.READY and self._is_holding():
            held = self._held_report
            if held is None or _report_order(report) > _report_order(held):
                self._held_report = report
            return True
        self._accept_report(report)
        return True

    def _is_holding(self) -> bool:
        return not self._recorder.is_restored and trio.current_time() < self._hold_until

    def _accept_report(self, report: InstanceReport) -> None:
        """Apply a report unless a newer one or a departure precedes it."""
        latest = self._latest_report
        now = trio.current_time()
        if latest is not None and not _supersedes(report, latest):
            self._record_sign_of_life(report, latest, now)
            return
        departure = self._departures.get(report.instance, NO_DEPARTURE)
        if _report_order(report) <= departure:
            return
        if latest is not None and not _is_same(report, latest):
            if report.state is InstanceState.DRAINING:
                # Takes no requests, so that there is nothing to take from the latest.
                key = (report.born_ms, report.sequence)
                self._keep_departure(report.instance, key)
                return
            self._replaced_report = latest
            self._replaced_report_at = self._last_report_at
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
        self._last_report_at = now
        if report.state is InstanceState.DRAINING and not _is_draining(latest, report):
            self._record_departure(report.instance, report.born_ms, report.sequence)
        self._apply_report(report)

    def _record_sign_of_life(
        self, report: InstanceReport, latest: InstanceReport, now: float
    ) -> None:
        """Record that an instance still reports, though its report changes nothing."""
        if _is_same(report, latest):
            self._last_report_at = now
        elif self._replaced_report is not None and (
            _is_same(report, self._replaced_report)
        ):
            self._replaced_report_at = now

    def _handle_leave(self, instance: InstanceId, born_ms: int | None) -> None:
        latest = self._latest_report
        is_latest = latest is not None and latest.instance == instance
        if born_ms is None:
            # This node may have restarted since the last report of the instance; all
            # its incarnations so far were born before now.
            born_ms = latest.born_ms if is_latest else int(time.time() * 1000)
        self._record_departure(instance, born_ms, FINAL_SEQUENCE)
        if is_latest and latest.born_ms <= born_ms:
            self._apply_departure(latest, "instance deregistered")

    def _record_departure(
        self, instance: InstanceId, born_ms: int, sequence: int
    ) -> None:
        """Remember a departure here, at the peers and on control VMs, unless known."""
        if self._keep_departure(instance, (born_ms, sequence)):
            self._gossiper.announce_departure(instance, born_ms, sequence)
            self._recorder.record(RecordedDeparture(instance, born_ms, sequence))

    def _keep_departure(self, instance: InstanceId, key: tuple[int, int]) -> bool:
        """Remember a departure here; return whether it is later than the known one."""
        known = self._departures.pop(instance, NO_DEPARTURE)
        self._departures[instance] = max(key, known)
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        return key > known

    def _apply_departure(self, latest: InstanceReport, reason: str) -> None:
        self._log.emit(Event.INSTANCE_GONE, instance=latest.instance, reason=reason)
        self._gate.set_instance(None)
        self._gossiper.announce(self._local_service, 0, MemberState.LEAVING)

    def _rejection_reason(self, report: InstanceReport) -> str | None:
        if self._local_service and report.service != self._local_service:
            return f"service {report.service!r} is not the service of this node"
        if self._local_address is not None and report.address != self._local_address:
            return f"address {report.address} is not the backend address of this node"
        return _odd_value(report)

    def _apply_report(self, report: InstanceReport) -> None:
        self._gate.set_instance(report)
        state = MemberState.READY
        if report.state is InstanceState.DRAINING or self._gate.is_server_leaving:
            state = MemberState.LEAVING
        self._gossiper.announce(report.service, self._gate.limit, state)


def _odd_value(report: InstanceReport) -> str | None:
    """Return what is wrong with a value that no server reports, None if none is."""
    return (
        _odd_id(report.instance)
        or _odd_number("slots", report.slots, 1, MAX_SLOTS)
        or _odd_birth(report.born_ms)
        or _odd_number("sequence", report.sequence, 0, MAX_SEQUENCE)
    )


def _odd_id(instance: InstanceId) -> str | None:
    if INSTANCE_ID.fullmatch(instance) is None:
        return f"{instance[:MAX_LOGGED_CHARS]!r} is no instance id"
    return None


def _odd_birth(born_ms: int) -> str | None:
    max_born_ms = int(time.time() * 1000) + MAX_BIRTH_LEAD_MS
    return _odd_number("born_ms", born_ms, 0, max_born_ms)


def _odd_number(name: str, value: int, min_value: int, max_value: int) -> str | None:
    if not min_value <= value <= max_value:
        return f"{name} must be between {min_value} and {max_value}"
    return None


def _report_order(report: InstanceReport) -> tuple[int, int]:
    return (report.born_ms, report.sequence)


def _is_same(report: InstanceReport, other: InstanceReport) -> bool:
    """Return whether two reports are of the same incarnation."""
    return (report.instance, report.born_ms) == (other.instance, other.born_ms)


def _supersedes(report: InstanceReport, latest: InstanceReport) -> bool:
    """Return whether a report counts in place of the latest one.

    An incarnation that drains stays so, whatever sequence another writer has reported.
    """
    if _is_same(report, latest) and report.state is not latest.state:
        return report.state is InstanceState.DRAINING or (
            report.sequence > latest.sequence
        )
    return _report_order(report) > _report_order(latest)


def _is_draining(latest: InstanceReport | None, report: InstanceReport) -> bool:
    """Return whether the latest report says that the same incarnation drains."""
    return (
        latest is not None
        and _is_same(report, latest)
        and latest.state is InstanceState.DRAINING
    )


def _logged_fields(report: InstanceReport) -> tuple:
    return (report.instance, report.state, report.slots)
