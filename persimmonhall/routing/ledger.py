"""Bound the retries of each root request."""

from persimmonhall.ids import RootId


class RetryLedger:
    """Hold the retry tokens of the roots that entered here."""

    def __init__(self):
        self._tokens: dict[RootId, int] = {}

    def open(self, root: RootId, tokens: int) -> None:
        """Grant tokens to a root."""
        self._tokens[root] = tokens

    def close(self, root: RootId) -> None:
        """Forget a root."""
        self._tokens.pop(root, None)

    def spend(self, root: RootId) -> bool:
        """Take one token if the root has any left."""
        left = self._tokens.get(root, 0)
        if left < 1:
            return False
        self._tokens[root] = left - 1
        return True
