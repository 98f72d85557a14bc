"""Limit the rate at which root requests of a service count as critical."""

from collections.abc import Callable
from dataclasses import replace

import trio
from absl import logging

from persimmonhall.admission.counters import GateCounters
from persimmonhall.admission.critical_budget import CriticalBudget
from persimmonhall.call.messages import Call
from persimmonhall.ids import ServiceName

DEMOTION_LOG_INTERVAL_S = 1.0

CriticalRateLookup = Callable[[ServiceName], float]


def unlimited_critical_rate(service: ServiceName) -> float:
    """Return 0, which sets no limit, for every service."""
    return 0.0


class CriticalLimiter:
    """Demote critical root requests beyond the critical rate of their service."""

    def __init__(self, critical_rate_per_s: CriticalRateLookup, counters: GateCounters):
        self._critical_rate_per_s = critical_rate_per_s
        self._counters = counters
        self._budget = CriticalBudget()

    def limit_worth(self, call: Call) -> Call:
        """Return the call with the worth at which it is admitted."""
        if call.depth > 0:
            return call
        rate_per_s = self._critical_rate_per_s(call.service)
        worth = self._budget.effective_worth(
            call.worth, rate_per_s, trio.current_time()
        )
        if worth is call.worth:
            return call
        self._counters.demoted += 1
        logging.log_every_n_seconds(
            logging.WARNING,
            "worth demoted service=%s root=%s worth=%s share_per_s=%.2f demoted=%d",
            DEMOTION_LOG_INTERVAL_S,
            call.service,
            call.root,
            worth.value,
            rate_per_s,
            self._counters.demoted,
        )
        return replace(call, worth=worth)
