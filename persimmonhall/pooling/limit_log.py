"""Log when a collector begins and stops to limit an organisation or miss a zone."""

from persimmonhall.events import Event, EventLog
from persimmonhall.ids import OrganisationName, ZoneName
from persimmonhall.pooling.collector import Collector
from persimmonhall.pooling.subject import SubjectId

# A limit that is lifted and set again within this time is one limit.
LIFTED_AFTER_S = 2.0
# Above this fraction hardly any request is refused.
LIMITED_FRACTION = 0.95


class LimitLog:
    """Compare the state of a collector with what was logged last."""

    def __init__(self, log: EventLog):
        self._log = log
        self._limited_at: dict[SubjectId, float] = {}
        self._cut_zones: frozenset[ZoneName] = frozenset()

    def update(
        self, collector: Collector, names: dict[SubjectId, OrganisationName], now: float
    ) -> None:
        """Log one line for each change."""
        for subject, state in collector.subjects.items():
            if state.limit.fraction < LIMITED_FRACTION:
                if subject not in self._limited_at:
                    self._log.emit(
                        Event.QUOTA_EXCEEDED,
                        organisation=names.get(subject),
                        asked=round(state.asked_rate.per_s, 1),
                        quota=state.bucket.quota.rate_per_s,
                        fraction=round(state.limit.fraction, 3),
                    )
                self._limited_at[subject] = now
        ended = [
            subject
            for subject, limited_at in self._limited_at.items()
            if now - limited_at > LIFTED_AFTER_S
        ]
        for subject in ended:
            del self._limited_at[subject]
            self._log.emit(Event.QUOTA_KEPT, organisation=names.get(subject))
        cut = collector.cut_zones
        for zone in sorted(cut - self._cut_zones):
            self._log.emit(Event.ZONE_COUNTS_LOST, zone=zone)
        for zone in sorted(self._cut_zones - cut):
            self._log.emit(Event.ZONE_COUNTS_REGAINED, zone=zone)
        self._cut_zones = cut
