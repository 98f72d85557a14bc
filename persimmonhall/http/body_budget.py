"""Bound the sum of the request bodies and long heads that a node holds.

Callers that send large bodies at once would otherwise take more memory than the
machine has: each body is held from its first byte to the final answer.
"""

MAX_BODY_BYTES_IN_FLIGHT = 24 * 1024 * 1024
# Bodies and heads up to this size are not counted: the number of requests bounds their
# memory.
UNCOUNTED_BYTES = 4096


class BodyBudget:
    """Count the bytes of bodies in flight."""

    def __init__(self, max_bytes: int = MAX_BODY_BYTES_IN_FLIGHT):
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the size of all bodies in flight."""
        return self._held_bytes

    def has_room(self, size: int) -> bool:
        """Return whether a body would fit; one always fits alone."""
        return not self._held_bytes or self._held_bytes + size <= self._max_bytes

    def add(self, size: int) -> None:
        """Count more or, if negative, fewer bytes."""
        self._held_bytes += size


class HeldBody:
    """Count the body of one request in a budget."""

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: BodyBudget):
        self._budget = budget
        self._size = 0

    @property
    def size(self) -> int:
        """Return the bytes that are counted."""
        return self._size

    def try_grow(self, size: int, declared_size: int) -> bool:
        """Count what has arrived of a request; return whether all of it has room."""
        whole_size = max(size, declared_size)
        is_counted = whole_size > UNCOUNTED_BYTES
        self._budget.add(-self._size)
        has_room = not is_counted or self._budget.has_room(whole_size)
        # What is declared may never arrive, so it takes no room from others.
        self._size = size if is_counted and has_room else 0
        self._budget.add(self._size)
        return has_room

    def release(self) -> None:
        """Stop counting the body."""
        size, self._size = self._size, 0
        self._budget.add(-size)
