"""Refuse requests that were running at the deaths of several backend servers."""

import uuid
from collections.abc import Iterable

import trio

from persimmonhall.errors import Refusal
from persimmonhall.ids import DeathId, Fingerprint, ServiceName
from persimmonhall.once.fingerprint import fingerprint_of
from persimmonhall.once.propagation import SuspectPropagator
from persimmonhall.once.quarantine import quarantine_refusal
from persimmonhall.once.suspects import SuspectRequest, SuspectTable
from persimmonhall.wire.call_frames import RoutedCall


class CrashSuspects:
    """Report the calls that ran when a server died; refuse quarantined requests."""

    def __init__(self, table: SuspectTable, propagator: SuspectPropagator):
        self._table = table
        self._propagator = propagator

    def report_death(self, calls: Iterable[RoutedCall]) -> None:
        """Record the calls that ran when a server died and broadcast them."""
        requests = [
            SuspectRequest(
                _fingerprint(call.service, call.head, call.body),
                call.service,
                _request_line(call.head).decode("latin-1"),
            )
            for call in calls
        ]
        death_id = DeathId(uuid.uuid4().hex)
        suspects = self._table.record_death(death_id, requests, trio.current_time())
        self._propagator.broadcast(suspects)

    def refusal(self, service: ServiceName, head: bytes, body: bytes) -> Refusal | None:
        """Return the refusal of a quarantined request, None if it is allowed."""
        if self._table.is_empty:
            return None
        fingerprint = _fingerprint(service, head, body)
        return quarantine_refusal(self._table, fingerprint, trio.current_time())


def _fingerprint(service: ServiceName, head: bytes, body: bytes) -> Fingerprint:
    method, target, _ = _request_line(head).decode("latin-1").split(" ", 2)
    return fingerprint_of(service, method, target, body)


def _request_line(head: bytes) -> bytes:
    return head.partition(b"\r\n")[0]
