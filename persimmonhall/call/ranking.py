"""Rank calls by worth, within the critical share of their service."""

from collections.abc import Callable
from dataclasses import replace

import trio
from absl import logging

from persimmonhall.admission.counters import GateCounters
from persimmonhall.admission.critical_budget import CriticalBudget
from persimmonhall.call.messages import Call
from persimmonhall.ids import ServiceName

DEMOTION_LOG_INTERVAL_S = 1.0

CriticalShare = Callable[[ServiceName], float]


def unbounded_share(service: ServiceName) -> float:
    """Bound the critical requests of no service."""
    return 0.0


class Ranking:
    """Demote root requests beyond the critical share of their service."""

    def __init__(self, critical_share: CriticalShare, counters: GateCounters):
        self._critical_share = critical_share
        self._counters = counters
        self._budget = CriticalBudget()

    def rank(self, call: Call) -> Call:
        """Return the call with the worth it is admitted at."""
        if call.depth > 0:
            return call
        share = self._critical_share(call.service)
        worth = self._budget.effective_worth(call.worth, share, trio.current_time())
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
            share,
            self._counters.demoted,
        )
        return replace(call, worth=worth)
