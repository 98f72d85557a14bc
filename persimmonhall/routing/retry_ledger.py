"""Bound the retries of each root request at its entry node."""

from dataclasses import dataclass

from persimmonhall.ids import RootId

MAX_ROOTS = 50_000


@dataclass
class _Grant:
    """Store the retry tokens of one root request until its deadline."""

    granted: int
    remaining: int
    deadline: float


class RetryLedger:
    """Keep the retry tokens of the root requests that entered at this node."""

    def __init__(self, max_roots: int = MAX_ROOTS):
        self._max_roots = max_roots
        self._grants: dict[RootId, _Grant] = {}

    def __len__(self) -> int:
        """Return the number of roots that have tokens."""
        return len(self._grants)

    def open(self, root: RootId, tokens: int, deadline: float) -> None:
        """Grant tokens to a root until its deadline; none if max_roots is reached."""
        if tokens > 0 and len(self._grants) < self._max_roots:
            self._grants.setdefault(root, _Grant(tokens, tokens, deadline))

    def close(self, root: RootId) -> bool:
        """Forget a root; return whether it spent a token."""
        grant = self._grants.pop(root, None)
        return grant is not None and grant.remaining < grant.granted

    def spend(self, root: RootId, now: float) -> bool:
        """Take one token; return False if none is left or the deadline has passed."""
        grant = self._grants.get(root)
        if grant is None or now >= grant.deadline:
            return False
        if grant.remaining == 0:
            return False
        grant.remaining -= 1
        return True
