"""Refuse the lowest worth first while the node's event loop is delayed."""

import trio

from persimmonhall.admission.order import LADDER, root_share
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import RootId

LAG_BOUND_S = 0.05
STEP_UP = 0.2
STEP_DOWN = 0.05
MOST_SHED = len(LADDER) - 0.5
RETRY_AFTER_S = 1.0


class SelfLimit:
    """Derive the fraction of requests to refuse from the event loop delay.

    The overload level counts worths from the lowest: at 0.5 half of the internal
    requests are refused, at 2 all internal and all standard ones. Half of the
    critical requests are always admitted.
    """

    def __init__(self):
        self._level = 0.0
        self._lag = 0.0
        self._asked = trio.Event()

    @property
    def level(self) -> float:
        """Return how many worths are refused, counted from the lowest."""
        return self._level

    @property
    def lag(self) -> float:
        """Return the latest measured event loop delay in seconds."""
        return self._lag

    def observe(self, lag: float) -> None:
        """Record one measurement of the event loop delay in seconds."""
        self._lag = lag
        if lag > LAG_BOUND_S:
            self._level = min(MOST_SHED, self._level + STEP_UP)
        else:
            self._level = max(0.0, self._level - STEP_DOWN)

    async def wait_for_use(self) -> None:
        """Wait until a request has arrived; return at once while refusing requests."""
        if self._level <= 0:
            await self._asked.wait()
        self._asked = trio.Event()

    def refusal(self, worth: Worth, root: RootId) -> Refusal | None:
        """Return a refusal, or None for a request that is admitted."""
        self._asked.set()
        if self._level <= 0:
            return None
        lowest = len(LADDER) - 1
        share = self._level - (lowest - worth.rank)
        if share <= 0 or root_share(root) < 1 - share:
            return None
        detail = f"the event loop of this node is delayed by {self._lag * 1000:.0f} ms"
        return refuse(
            ErrorKind.NODE_OVERLOADED,
            detail,
            ran=Ran.NO,
            retry_after_s=RETRY_AFTER_S * (1 + self._level),
        )
