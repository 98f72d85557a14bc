"""Build the entry of a node from the parts of the node."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from persimmonhall.admission.returns import ReturnPlan
from persimmonhall.call.call_dispatcher import CallDispatcher, LocalNode
from persimmonhall.call.crash_suspects import CrashSuspects
from persimmonhall.call.request_answers import RequestAnswers
from persimmonhall.call.request_checks import (
    EntryChecks,
    QuarantineCheck,
    RequestCheck,
    RequestObserver,
    ShutdownCheck,
)
from persimmonhall.call.request_factory import RequestFactory
from persimmonhall.call.request_reader import RequestReader
from persimmonhall.call.retry_policy import RetryPolicy
from persimmonhall.call.root_admission import RootAdmission
from persimmonhall.call.routed_entry import RoutedEntry
from persimmonhall.call.routed_gate import RoutedGate
from persimmonhall.call.shutdown_window import ShutdownWindow
from persimmonhall.dialect import HeaderNames
from persimmonhall.events import EventLog
from persimmonhall.membership.table import MemberTable
from persimmonhall.organisation.active_keys import ActiveKeys
from persimmonhall.organisation.key_check import KeyCheck
from persimmonhall.organisation.release_proof import ReleaseProof
from persimmonhall.pooling.fair_shares import FairShares
from persimmonhall.pooling.node_limits import NodeLimits
from persimmonhall.pooling.quota_check import QuotaCheck, QuotaHeadCheck
from persimmonhall.process_pauses import ProcessPauses
from persimmonhall.release.active import ActiveRelease
from persimmonhall.routing.response_times import ResponseTimes
from persimmonhall.routing.route_knowledge import RouteKnowledge
from persimmonhall.routing.router import Router
from persimmonhall.routing.service_retry_budget import ServiceRetryBudget
from persimmonhall.timers import Timers
from persimmonhall.wire.call_link_pool import CallLinkPool


@dataclass(frozen=True, kw_only=True)
class EntryParts:
    """Hold the parts of a node that its entry uses."""

    local: LocalNode
    headers: HeaderNames
    releases: ActiveRelease
    table: MemberTable
    router: Router
    gate: RoutedGate
    links: Callable[[], CallLinkPool]
    retry_budget: ServiceRetryBudget
    knowledge: RouteKnowledge
    timers: Timers
    rng: random.Random
    log: EventLog
    suspects: CrashSuspects | None = None
    pauses: ProcessPauses = field(default_factory=ProcessPauses)
    proof: ReleaseProof = field(default_factory=lambda: ReleaseProof(0.0))
    limits: NodeLimits | None = None
    shutdown: ShutdownWindow = field(default_factory=ShutdownWindow)


def make_routed_entry(parts: EntryParts) -> RoutedEntry:
    """Build an entry."""
    levels = parts.knowledge.levels
    response_times = ResponseTimes()
    shares = FairShares(parts.limits)
    returns = ReturnPlan(parts.rng)
    admission = RootAdmission(
        levels, response_times, parts.rng, shares, returns, parts.log
    )
    keys = ActiveKeys(parts.releases)
    key_check = KeyCheck(parts.releases, keys, parts.proof, parts.rng)
    shutdown_check = ShutdownCheck(parts.shutdown, response_times)
    checks: list[RequestCheck] = [key_check, shutdown_check, admission]
    head_checks: list[RequestCheck] = [key_check, shutdown_check]
    observers: list[RequestObserver] = []
    if parts.limits is not None:
        quota_check = QuotaCheck(parts.limits, parts.rng, returns)
        checks.insert(2, quota_check)
        head_checks.append(QuotaHeadCheck(quota_check))
        observers.append(quota_check)
    if parts.suspects is not None:
        checks.append(QuarantineCheck(parts.suspects))
    return RoutedEntry(
        RequestFactory(
            RequestReader(parts.headers, parts.local.service),
            keys,
            parts.knowledge.origins,
            parts.pauses,
            parts.local,
        ),
        parts.releases,
        parts.knowledge,
        admission,
        EntryChecks(
            at_head=head_checks, at_start=checks, at_send=(key_check, shutdown_check)
        ),
        CallDispatcher(
            parts.local, parts.router, parts.gate, parts.links, parts.shutdown
        ),
        RetryPolicy(
            parts.table,
            parts.releases,
            levels,
            response_times,
            parts.retry_budget,
            parts.shutdown,
        ),
        RequestAnswers(parts.releases, admission, levels, parts.log, observers),
        response_times,
        parts.timers,
        parts.pauses,
    )
