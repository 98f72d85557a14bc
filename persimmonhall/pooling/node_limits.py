"""Report what a node counts and apply the limits that come back.

A collector may be killed, frozen or cut off: a node that gets no answers moves to the
next collector, keeps its limits meanwhile, and falls back to a part of its own if it
finds none.
"""

import math
import random
from collections.abc import Sequence

import xxhash

from persimmonhall.ids import NodeName
from persimmonhall.pooling.counts import CumulativeCounts
from persimmonhall.pooling.messages import CountsReport, LimitsAnswer
from persimmonhall.pooling.subject import (
    UNLIMITED,
    Limit,
    Quota,
    QuotaBounds,
    SubjectId,
)

# A collector is silent after this time and this number of reports without an answer.
SILENT_AFTER_S = 0.45
MIN_UNANSWERED = 3
# While nothing is limited, an answer is asked for when the last one is this old.
ANSWER_AGE_S = 0.28
# Without news of limits for this long a node admits about as much as before.
GUARDED_AFTER_S = 0.35
GUARD_GROWTH = 1.5
GUARD_TOKENS = 2.0
# A silent collector is not asked again for this long.
SILENCE_S = 3.0
# Limits are kept this long after the last answer of any collector.
FALLBACK_AFTER_S = 1.2
# Limits that no answer has repeated for this long are lifted.
LIMIT_TIMEOUT_S = 0.5
FIRST_REPORTS = 3
# Shares change slowly, so they are asked for less often than limits.
SHARES_INTERVAL_S = 0.45
SHARES_TIMEOUT_S = 1.5
# Time in which a fleet that was started as a whole finds its collectors.
START_S = 1.0


class _LocalBucket:
    """Bound the requests of one subject at a node that hears of no limits."""

    __slots__ = ("used_rate", "_tokens", "_updated_at")

    def __init__(self, used_rate: float, tokens: float, now: float):
        self.used_rate = used_rate
        self._tokens = tokens
        self._updated_at = now

    def try_take(self, rate: float, now: float) -> bool:
        """Take a token if there is one."""
        elapsed_s = now - self._updated_at
        self._updated_at = now
        filled = self._tokens + elapsed_s * rate
        self._tokens = max(self._tokens, min(filled, 1.0 + rate))
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class NodeLimits:
    """Choose the collector, report to it and admit by its answers."""

    def __init__(
        self, node: NodeName, bounds: QuotaBounds, rng: random.Random, now: float
    ):
        self._node = node
        self._rng = rng
        self._bounds = bounds
        self._boot = rng.getrandbits(32)
        self._counts = CumulativeCounts(bounds.window_s, self._boot, now)
        self._limits: dict[SubjectId, Limit] = {}
        self._shares: dict[SubjectId, float] = {}
        self._shares_sequence = 0
        self._shares_at = -math.inf
        self._limited_at: dict[SubjectId, float] = {}
        self._credits: dict[SubjectId, float] = {}
        self._quotas: dict[SubjectId, Quota] = {}
        self._fallback: dict[SubjectId, _LocalBucket] = {}
        self._guards: dict[SubjectId, _LocalBucket] = {}
        self._fleet_size = 1
        self._collector: NodeName | None = None
        self._collector_boot: int | None = None
        self._first_reports_left = 0
        # Since the last answer: time of the first step, reports that asked for one.
        self._unanswered_since: float | None = None
        self._unanswered = 0
        self._is_urgent = False
        self._silent_until: dict[NodeName, float] = {}
        self._answered_at = self._stepped_at = now
        # When a collector that was ready last told this process the limits.
        self._limits_at = -math.inf

    @property
    def collector(self) -> NodeName | None:
        """Return the node that this one reports to."""
        return self._collector

    @property
    def fleet_size(self) -> int:
        """Return the largest number of nodes that was known."""
        return self._fleet_size

    @property
    def limits(self) -> dict[SubjectId, Limit]:
        """Return the limits in force."""
        return self._limits

    def is_connected(self, now: float) -> bool:
        """Return whether a collector has answered lately."""
        return now - self._answered_at < FALLBACK_AFTER_S

    def set_quotas(self, quotas: dict[SubjectId, Quota]) -> None:
        """Set the quotas of the active release."""
        if quotas is not self._quotas:
            self._quotas = quotas
            self._counts.keep(quotas)
            self._fallback.clear()

    def set_fleet(self, nodes: int, reach: float) -> None:
        """Set the number of nodes, and which part of them is in zones in reach."""
        self._fleet_size = max(self._fleet_size, nodes)
        self._counts.reach = reach

    def count_asked(self, subject: SubjectId, now: float) -> None:
        """Count a request of a subject."""
        self._counts.add(subject, 1, 0, now)

    def count_admitted(self, subject: SubjectId, number: int, now: float) -> None:
        """Count admitted requests; negative numbers have not run after all."""
        self._counts.add(subject, 0, number, now)

    def limit_of(self, subject: SubjectId) -> Limit:
        """Return the limit of a subject."""
        return self._limits.get(subject, UNLIMITED)

    def share_of(self, subject: SubjectId) -> float:
        """Return the weight of a subject where a level refuses a part of a rank."""
        return self._shares.get(subject, 1.0)

    def try_admit(self, subject: SubjectId, now: float) -> bool:
        """Return whether the quota admits a request that was counted as asked."""
        if self._limits_at < 0 or not self.is_connected(now):
            return self._try_admit_alone(subject, now)
        fraction = self._limits.get(subject, UNLIMITED).fraction
        if fraction >= 1.0:
            is_guarded = now - self._limits_at > GUARDED_AFTER_S
            return not is_guarded or self._try_admit_guarded(subject, now)
        credit = self._credit_of(subject) + fraction
        is_admitted = credit >= 1.0
        self._credits[subject] = credit - is_admitted
        return is_admitted

    def _credit_of(self, subject: SubjectId) -> float:
        # A random start keeps the first requests at all nodes from being the same.
        return self._credits.setdefault(subject, self._rng.random())

    def would_refuse(self, subject: SubjectId, now: float) -> bool:
        """Return whether a limit refuses the next request of a subject."""
        limit = self._limits.get(subject)
        if limit is None or limit.fraction >= 1.0 or not self.is_connected(now):
            return False
        return self._credit_of(subject) + limit.fraction < 1.0

    def step(
        self,
        now: float,
        candidates: Sequence[NodeName],
        *,
        needs_shares: bool,
        answer_age_s: float = ANSWER_AGE_S,
    ) -> tuple[NodeName, CountsReport] | None:
        """Return the next report and the collector to send it to, if one is due."""
        gap_s = now - self._stepped_at
        self._stepped_at = now
        if gap_s > SILENT_AFTER_S:
            # This node was paused: the collector may well have answered, and have
            # forgotten from where on to count.
            self._expect_answer()
            self._first_reports_left = FIRST_REPORTS
        self._lift_old_limits(now)
        self._choose_collector(candidates, now)
        if self._collector is None:
            return None
        if self._unanswered_since is None:
            self._unanswered_since = now
        if now - self._shares_at > SHARES_TIMEOUT_S:
            self._shares.clear()
        needs_shares = needs_shares and now - self._shares_at >= SHARES_INTERVAL_S
        needs_answer = (
            needs_shares
            or self._is_urgent
            or bool(self._limits)
            or self._first_reports_left > 0
            or now - self._answered_at >= answer_age_s
        )
        if not needs_answer and not self._counts.has_changes:
            return None
        self._unanswered += needs_answer
        report = self._counts.make_report(
            now,
            is_first=self._first_reports_left > 0,
            needs_shares=needs_shares,
            needs_answer=needs_answer,
        )
        self._first_reports_left = max(0, self._first_reports_left - 1)
        return self._collector, report

    def receive_limits(
        self, sender: NodeName, answer: LimitsAnswer, now: float
    ) -> None:
        """Apply the answer of the collector."""
        if sender != self._collector or answer.boot != self._boot:
            return
        self._expect_answer()
        self._answered_at = now
        self._is_urgent = answer.is_urgent or not answer.is_ready
        if answer.collector_boot != self._collector_boot:
            self._collector_boot = answer.collector_boot
            self._first_reports_left = FIRST_REPORTS
        if answer.is_ready:
            self._limits_at = now
            self._fallback.clear()
            self._guards.clear()
        if answer.has_shares:
            self._shares_at = now
            if answer.sequence != self._shares_sequence:
                self._shares_sequence = answer.sequence
                self._shares.clear()
        for subject, limit in answer.limits.items():
            if answer.has_shares and limit.share != 1.0:
                self._shares[subject] = limit.share
            if limit.fraction < 1.0:
                self._limits[subject] = limit
                self._limited_at[subject] = now
        if not answer.is_ready:
            for subject in self._limits:
                self._limited_at[subject] = now

    def _choose_collector(self, candidates: Sequence[NodeName], now: float) -> None:
        since = self._unanswered_since
        is_late = since is not None and now - since > SILENT_AFTER_S
        if is_late and self._unanswered >= MIN_UNANSWERED:
            self._silent_until[self._collector] = now + SILENCE_S
            self._expect_answer()
        chosen = next(
            (n for n in candidates if now >= self._silent_until.get(n, now)),
            candidates[0] if candidates else None,
        )
        if chosen != self._collector:
            self._collector = chosen
            self._expect_answer()
            self._first_reports_left = FIRST_REPORTS

    def _expect_answer(self) -> None:
        """Wait anew for an answer."""
        self._unanswered_since = None
        self._unanswered = 0

    def _lift_old_limits(self, now: float) -> None:
        # Without answers, limits are kept.
        age_s = LIMIT_TIMEOUT_S + (now - self._answered_at)
        for subject in [s for s, t in self._limited_at.items() if now - t > age_s]:
            del self._limited_at[subject]
            del self._limits[subject]
            self._credits.pop(subject, None)

    def _try_admit_alone(self, subject: SubjectId, now: float) -> bool:
        quota = self._quotas.get(subject)
        if quota is None or quota.rate_per_s <= 0:
            return True
        bucket = self._fallback.get(subject)
        if bucket is None:
            bucket = self._make_local_bucket(subject, quota, now)
            self._fallback[subject] = bucket
        even = quota.rate_per_s / self._fleet_size
        return bucket.try_take((bucket.used_rate + even) / 2, now)

    def _try_admit_guarded(self, subject: SubjectId, now: float) -> bool:
        quota = self._quotas.get(subject)
        if quota is None or quota.rate_per_s <= 0:
            return True
        guard = self._guards.get(subject)
        if guard is None:
            used = self._counts.recent(subject, now) / self._bounds.window_s
            guard = self._guards[subject] = _LocalBucket(used, GUARD_TOKENS, now)
        even = quota.rate_per_s / self._fleet_size
        return guard.try_take(GUARD_GROWTH * guard.used_rate + even, now)

    def _make_local_bucket(
        self, subject: SubjectId, quota: Quota, now: float
    ) -> _LocalBucket:
        used = self._counts.recent(subject, now) / self._bounds.window_s
        # Of all nodes that fall back, only so many may admit a request at once.
        at_once = self._bounds.slack / 2
        if self._limits_at < 0:
            at_start = quota.rate_per_s * START_S
            is_small = at_start < self._bounds.slack / 4
            at_once = self._fleet_size if is_small else at_once + at_start
        is_first = self._rng.random() < at_once / self._fleet_size
        tokens = 1.0 if is_first else self._rng.random()
        return _LocalBucket(min(used, quota.rate_per_s), tokens, now)


def order_of(nodes: Sequence[NodeName]) -> list[NodeName]:
    """Return nodes in the order in which they are to be collectors."""
    return sorted(nodes, key=lambda node: xxhash.xxh3_64_intdigest(node.encode()))
