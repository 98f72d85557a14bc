"""Refuse quarantined requests and route each suspect to one server."""

from collections.abc import Collection
from typing import Protocol

import trio
from absl import logging

from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.ids import Fingerprint, NodeName, ServiceName
from persimmonhall.membership.table import MemberTable
from persimmonhall.once.crash_messages import Suspect, Suspicion
from persimmonhall.once.owner import choose_owner
from persimmonhall.once.propagation import SuspectPropagator
from persimmonhall.once.suspects import SuspectTable
from persimmonhall.routing.router import Choice


class SuspectRouting(Protocol):
    """Refuse or route suspects at an entry."""

    def refusal(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return the final refusal if the request is quarantined."""

    def choose(
        self,
        service: ServiceName,
        fingerprint: Fingerprint,
        exclude: Collection[NodeName],
    ) -> Choice | None:
        """Return the only server for a suspect, or None if the request is not one."""


class NoQuarantine:
    """Treat no request as a suspect."""

    def refusal(self, fingerprint: Fingerprint) -> Refusal | None:
        """Refuse nothing."""
        return None

    def choose(
        self,
        service: ServiceName,
        fingerprint: Fingerprint,
        exclude: Collection[NodeName],
    ) -> Choice | None:
        """Return None, so that the router chooses."""
        return None


class Quarantine:
    """Provide refusals and routing to the entry, and list and lift to operators."""

    def __init__(
        self,
        suspects: SuspectTable,
        members: MemberTable,
        propagator: SuspectPropagator,
    ):
        self._suspects = suspects
        self._members = members
        self._propagator = propagator

    def refusal(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return the final refusal if the request is quarantined."""
        return quarantine_refusal(self._suspects, fingerprint, trio.current_time())

    def choose(
        self,
        service: ServiceName,
        fingerprint: Fingerprint,
        exclude: Collection[NodeName],
    ) -> Choice | None:
        """Return the only server for a suspect, or None for other requests."""
        if self._suspects.suspicion(fingerprint, trio.current_time()) is Suspicion.NONE:
            return None
        members = self._members.servers_of(service)
        return choose_owner(members, fingerprint, exclude)

    def list(self) -> tuple[tuple[Suspect, Suspicion, float], ...]:
        """Return every suspect with its state and the seconds left in quarantine."""
        now = trio.current_time()
        rows = (
            (
                suspect,
                self._suspects.suspicion(suspect.fingerprint, now),
                self._suspects.seconds_left(suspect.fingerprint, now),
            )
            for suspect in self._suspects.all(now)
        )
        return tuple(row for row in rows if row[1] is not Suspicion.NONE)

    def lift(self, fingerprint: Fingerprint) -> bool:
        """Clear a request on every node; return whether it was a suspect."""
        changed = self._suspects.clear(fingerprint, trio.current_time())
        self._propagator.broadcast(changed)
        if changed:
            logging.info("quarantine lifted fingerprint=%016x", fingerprint)
        return bool(changed)


def quarantine_refusal(
    suspects: SuspectTable, fingerprint: Fingerprint, now: float
) -> Refusal | None:
    """Return the final refusal if the request is quarantined."""
    if suspects.suspicion(fingerprint, now) is not Suspicion.QUARANTINED:
        return None
    return refuse(
        ErrorKind.QUARANTINED,
        f"backend servers crashed while running this request ({fingerprint:016x})",
        retry_after_s=suspects.seconds_left(fingerprint, now),
    )
