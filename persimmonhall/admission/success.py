"""Know which share of the runs of each kind of request ends well.

A run that needs calls fails with them. While a service far below turns most of its
calls away, a tree of ten calls hardly ever ends well, though no service is short of
room: more of its roots would only be run in vain.
"""

from typing import Generic, TypeVar

K = TypeVar("K")

# Of one run in the average: a change shows after some twelve runs.
RUN_WEIGHT = 0.15
# Below this share of runs that end well, roots are refused before they run. A root
# that may succeed once in six tries is worth more to its caller than a refusal.
VAIN_SHARE = 0.15
# Roots of such a route that are let in all the same, so that its end shows soon: a
# node with few callers hears of it by these alone.
TRIED_SHARE = 0.2


class SuccessShares(Generic[K]):
    """Average how runs end, for each kind."""

    def __init__(self):
        self._shares: dict[K, float] = {}

    def end(self, kind: K, is_success: bool) -> None:
        """Take in how one run ended."""
        known = self._shares.get(kind, 1.0)
        self._shares[kind] = known + RUN_WEIGHT * (is_success - known)

    def share(self, kind: K) -> float:
        """Return the share of runs that end well, 1 if none is known."""
        return self._shares.get(kind, 1.0)


def is_vain(success: float) -> bool:
    """Tell whether runs hardly ever end well."""
    return success < VAIN_SHARE
