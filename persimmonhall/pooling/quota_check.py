"""Refuse the requests of organisations beyond their quota, at the cost of a look-up.

An organisation at eight times its usual rate must not take the time of its neighbours:
where its body is still arriving, a request is refused by its head. Callers of it who
return before they were told count for nothing, so that they take no part of what the
others of the organisation get.
"""

import random

from persimmonhall.admission.returns import ReturnPlan, Standing
from persimmonhall.call.caller_identity import caller_of
from persimmonhall.call.in_flight_request import InFlightRequest
from persimmonhall.call.request_checks import CheckRefusal
from persimmonhall.errors import ErrorKind, Ran
from persimmonhall.pooling.node_limits import NodeLimits
from persimmonhall.pooling.subject import SubjectId, subject_of

MIN_WAIT_S = 0.2
# Callers return over a time in which the quota has room for a part of them at least.
MIN_SPREAD_S = 0.5
MAX_SPREAD_S = 5.0


class QuotaCheck:
    """Check the quotas of organisations; count what is asked, admitted and not run."""

    def __init__(self, limits: NodeLimits, rng: random.Random, returns: ReturnPlan):
        self._limits = limits
        self._rng = rng
        self._returns = returns
        self._subjects: dict[str, SubjectId] = {}

    def refusal(self, request: InFlightRequest, now: float) -> CheckRefusal | None:
        """Return why a request is refused, None if the quota has room for it."""
        subject = self._subject_of(request)
        if subject is None:
            return None
        early = self._early_refusal(request, subject, now)
        if early is not None:
            return early
        self._limits.count_asked(subject, now)
        if self._limits.try_admit(subject, now):
            return None
        refusal = self._make_refusal(request, subject)
        caller = caller_of(request)
        if caller is not None:
            self._returns.remember(caller, refusal.retry_after_s, now)
        return refusal

    def refusal_by_head(
        self, request: InFlightRequest, now: float
    ) -> CheckRefusal | None:
        """Return why a request is refused; count it only if it is."""
        subject = self._subject_of(request)
        if subject is None:
            return None
        early = self._early_refusal(request, subject, now)
        if early is not None or not self._limits.would_refuse(subject, now):
            return early
        return self.refusal(request, now)

    def request_admitted(self, request: InFlightRequest, now: float) -> None:
        """Count a request that is about to be sent, however often it will be."""
        subject = self._subject_of(request)
        if subject is not None:
            self._limits.count_admitted(subject, 1, now)

    def request_ended(self, request: InFlightRequest, ran: Ran, now: float) -> None:
        """Give back a request that has not run."""
        subject = self._subject_of(request)
        if subject is not None and ran is Ran.NO:
            self._limits.count_admitted(subject, -1, now)

    def _early_refusal(
        self, request: InFlightRequest, subject: SubjectId, now: float
    ) -> CheckRefusal | None:
        """Return the refusal of a caller that returns too early, None for others."""
        if not len(self._returns) or self._limits.limit_of(subject).fraction >= 1.0:
            return None
        caller = caller_of(request)
        place = None if caller is None else self._returns.find_early(caller, now)
        if place is None:
            return None
        detail = "the caller returns before the time that it was told"
        inputs = {"standing": Standing.EARLY.value}
        return CheckRefusal(ErrorKind.QUOTA_EXCEEDED, detail, inputs, place.at - now)

    def _subject_of(self, request: InFlightRequest) -> SubjectId | None:
        organisation = request.organisation
        if organisation is None or request.is_nested:
            return None
        subject = self._subjects.get(organisation.name)
        if subject is None:
            subject = self._subjects[organisation.name] = subject_of(organisation.name)
        return subject

    def _make_refusal(
        self, request: InFlightRequest, subject: SubjectId
    ) -> CheckRefusal:
        limit = self._limits.limit_of(subject)
        admitted = max(limit.fraction, 1 / (1 + MAX_SPREAD_S))
        spread_s = min(MAX_SPREAD_S, max(MIN_SPREAD_S, 1 / admitted - 1))
        retry_after_s = max(MIN_WAIT_S, limit.wait_s) + spread_s * self._rng.random()
        quota = request.organisation
        return CheckRefusal(
            ErrorKind.QUOTA_EXCEEDED,
            "the organisation sends more requests than its quota",
            {
                "quota": quota.rate_per_s,
                "burst": quota.burst,
                "fraction": round(limit.fraction, 3),
                "collector": self._limits.collector,
            },
            retry_after_s,
        )


class QuotaHeadCheck:
    """Check the quota of a request whose body is still arriving."""

    def __init__(self, check: QuotaCheck):
        self._check = check

    def refusal(self, request: InFlightRequest, now: float) -> CheckRefusal | None:
        """Return why a request is refused, None if its body is to be read."""
        return self._check.refusal_by_head(request, now)
