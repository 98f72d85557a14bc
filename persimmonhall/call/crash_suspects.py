"""Keep requests that crash backend servers from reaching more of them."""

import uuid
from collections.abc import Iterable

import trio

from persimmonhall.errors import Refusal
from persimmonhall.ids import DeathId, Fingerprint, ServiceName
from persimmonhall.once.fingerprint import fingerprint_of
from persimmonhall.once.propagation import SuspectPropagator
from persimmonhall.once.quarantine import quarantine_refusal
from persimmonhall.once.suspects import SuspectRequest, SuspectTable
from persimmonhall.wire.calls import RoutedCall


class CrashSuspects:
    """Report the calls that were running when a server died; refuse repeated ones."""

    def __init__(self, table: SuspectTable, spreader: SuspectPropagator):
        self._table = table
        self._spreader = spreader

    def report(self, calls: Iterable[RoutedCall]) -> None:
        """Tell every node of the calls that ran at the death of a server."""
        requests = [
            SuspectRequest(
                _fingerprint(call.service, call.head, call.body),
                call.service,
                _first_line(call.head).decode("latin-1"),
            )
            for call in calls
        ]
        death = DeathId(uuid.uuid4().hex)
        suspects = self._table.record_death(death, requests, trio.current_time())
        self._spreader.broadcast(suspects)

    def refusal(self, service: ServiceName, head: bytes, body: bytes) -> Refusal | None:
        """Return the refusal of a request that has crashed servers before."""
        if self._table.is_empty:
            return None
        fingerprint = _fingerprint(service, head, body)
        return quarantine_refusal(self._table, fingerprint, trio.current_time())


def _fingerprint(service: ServiceName, head: bytes, body: bytes) -> Fingerprint:
    method, target, _ = _first_line(head).decode("latin-1").split(" ", 2)
    return fingerprint_of(service, method, target, body)


def _first_line(head: bytes) -> bytes:
    return head.partition(b"\r\n")[0]
