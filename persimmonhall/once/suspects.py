"""Decide which requests are suspected of crashing backend servers."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import xxhash

from persimmonhall.ids import DeathId, Fingerprint, ServiceName
from persimmonhall.once.crash_messages import (
    Death,
    Suspect,
    SuspectNews,
    Suspicion,
)

QUARANTINE_S = 600.0
DEATHS_TO_QUARANTINE = 2
MAX_SUSPECTS = 2048
MAX_DEATHS_PER_SUSPECT = 16


@dataclass(frozen=True)
class SuspectRequest:
    """Identify a request that runs on a backend server."""

    fingerprint: Fingerprint
    service: ServiceName
    request: str


@dataclass(frozen=True)
class _DeathRecord:
    died_at: float
    cleared: bool


@dataclass(frozen=True)
class _SuspectRecord:
    request: SuspectRequest
    deaths: dict[DeathId, _DeathRecord]

    def active_death_times(self, now: float) -> list[float]:
        """Return the times of the deaths that are neither cleared nor expired."""
        return [
            death.died_at
            for death in self.deaths.values()
            if not death.cleared and now - death.died_at < QUARANTINE_S
        ]


class SuspectTable:
    """Store a set of deaths for each request; merging is commutative."""

    def __init__(self):
        self._records: dict[Fingerprint, _SuspectRecord] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether the table has no records."""
        return not self._records

    def suspicion(self, fingerprint: Fingerprint, now: float) -> Suspicion:
        """Return how to treat a request."""
        record = self._records.get(fingerprint)
        count = len(record.active_death_times(now)) if record is not None else 0
        if count >= DEATHS_TO_QUARANTINE:
            return Suspicion.QUARANTINED
        return Suspicion.SUSPECT if count else Suspicion.NONE

    def seconds_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the seconds until a quarantine ends, 0 if there is none."""
        record = self._records.get(fingerprint)
        death_times = (
            sorted(record.active_death_times(now)) if record is not None else []
        )
        if len(death_times) < DEATHS_TO_QUARANTINE:
            return 0.0
        return death_times[-DEATHS_TO_QUARANTINE] + QUARANTINE_S - now

    def record_death(
        self, death_id: DeathId, requests: Iterable[SuspectRequest], now: float
    ) -> tuple[Suspect, ...]:
        """Record a death with the requests in flight; return them as suspects."""
        suspects = tuple(
            Suspect(r.fingerprint, r.service, r.request, (Death(death_id, 0),))
            for r in requests
        )
        self.merge(suspects, now)
        return suspects

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Add the deaths that a peer reports."""
        for suspect in suspects:
            self._merge_one(suspect, now)
        self._evict(now)

    def clear(self, fingerprint: Fingerprint, now: float) -> tuple[Suspect, ...]:
        """Clear all deaths recorded so far for a request; return what changed."""
        record = self._records.get(fingerprint)
        if record is None or not record.active_death_times(now):
            return ()
        deaths = {i: replace(d, cleared=True) for i, d in record.deaths.items()}
        record = self._records[fingerprint] = replace(record, deaths=deaths)
        return (_to_suspect(record, now),)

    def all(self, now: float) -> tuple[Suspect, ...]:
        """Return every record, including cleared ones."""
        self._evict(now)
        return tuple(_to_suspect(record, now) for record in self._records.values())

    def make_news(
        self, now: float, *, suspects: tuple[Suspect, ...] = ()
    ) -> SuspectNews:
        """Return a gossip update with some suspects and the digest of the table."""
        self._evict(now)
        return SuspectNews(self._digest(), suspects)

    def _merge_one(self, suspect: Suspect, now: float) -> None:
        record = self._records.get(suspect.fingerprint)
        deaths = dict(record.deaths) if record is not None else {}
        for death in suspect.deaths:
            died_at = now - death.age_ms / 1000
            known = deaths.get(death.id)
            if known is not None:
                died_at = min(died_at, known.died_at)
            elif now - died_at >= QUARANTINE_S or len(deaths) >= MAX_DEATHS_PER_SUSPECT:
                continue
            cleared = death.cleared or (known is not None and known.cleared)
            deaths[death.id] = _DeathRecord(died_at, cleared)
        if deaths:
            request = SuspectRequest(
                suspect.fingerprint, suspect.service, suspect.request
            )
            self._records[suspect.fingerprint] = _SuspectRecord(request, deaths)

    def _evict(self, now: float) -> None:
        ages = {
            fingerprint: now - max(death.died_at for death in record.deaths.values())
            for fingerprint, record in self._records.items()
        }
        oldest_first = sorted(ages, key=lambda f: (-ages[f], f))
        excess = len(ages) - MAX_SUSPECTS
        for number, fingerprint in enumerate(oldest_first):
            if number < excess or ages[fingerprint] >= QUARANTINE_S:
                del self._records[fingerprint]

    def _digest(self) -> int:
        state = xxhash.xxh3_64()
        for fingerprint in sorted(self._records):
            state.update(fingerprint.to_bytes(8, "little"))
            for death, seen in sorted(self._records[fingerprint].deaths.items()):
                state.update(f"{death}={seen.cleared};".encode())
        return state.intdigest()


def _to_suspect(record: _SuspectRecord, now: float) -> Suspect:
    deaths = tuple(
        Death(death, max(0, int((now - seen.died_at) * 1000)), seen.cleared)
        for death, seen in record.deaths.items()
    )
    request = record.request
    return Suspect(request.fingerprint, request.service, request.request, deaths)
