"""Refuse the lowest worth first while the node's event loop is delayed."""

import trio

from persimmonhall.admission.order import WORTHS_BY_RANK, root_hash_fraction
from persimmonhall.document.schema import Worth
from persimmonhall.errors import ErrorKind, Ran, Refusal, refuse
from persimmonhall.ids import RootId

MAX_EVENT_LOOP_DELAY_S = 0.05
OVERLOAD_LEVEL_INCREASE = 0.2
OVERLOAD_LEVEL_DECREASE = 0.05
MAX_OVERLOAD_LEVEL = len(WORTHS_BY_RANK) - 0.5
BASE_RETRY_AFTER_S = 1.0


class SelfLimit:
    """Derive the fraction of requests to refuse from the event loop delay.

    The overload level counts worths from the lowest: at 0.5 half of the internal
    requests are refused, at 2 all internal and all standard ones. Half of the
    critical requests are always admitted.
    """

    def __init__(self):
        self._overload_level = 0.0
        self._delay_s = 0.0
        self._request_arrived = trio.Event()

    @property
    def overload_level(self) -> float:
        """Return how many worths are refused, counted from the lowest."""
        return self._overload_level

    @property
    def event_loop_delay_s(self) -> float:
        """Return the latest measured event loop delay in seconds."""
        return self._delay_s

    def record_delay(self, delay_s: float) -> None:
        """Record one measurement of the event loop delay in seconds."""
        self._delay_s = delay_s
        if delay_s > MAX_EVENT_LOOP_DELAY_S:
            self._overload_level = min(
                MAX_OVERLOAD_LEVEL, self._overload_level + OVERLOAD_LEVEL_INCREASE
            )
        else:
            self._overload_level = max(
                0.0, self._overload_level - OVERLOAD_LEVEL_DECREASE
            )

    async def wait_for_request(self) -> None:
        """Wait until a request has arrived; return at once while refusing requests."""
        if self._overload_level <= 0:
            await self._request_arrived.wait()
        self._request_arrived = trio.Event()

    def refusal(self, worth: Worth, root: RootId) -> Refusal | None:
        """Return a refusal, or None for a request that is admitted."""
        self._request_arrived.set()
        if self._overload_level <= 0:
            return None
        lowest = len(WORTHS_BY_RANK) - 1
        refused_fraction = self._overload_level - (lowest - worth.rank)
        if refused_fraction <= 0 or root_hash_fraction(root) < 1 - refused_fraction:
            return None
        detail = (
            f"the event loop of this node is delayed by {self._delay_s * 1000:.0f} ms"
        )
        return refuse(
            ErrorKind.NODE_OVERLOADED,
            detail,
            ran=Ran.NO,
            retry_after_s=BASE_RETRY_AFTER_S * (1 + self._overload_level),
        )
