"""Share one read barrier among the nodes that wait for it.

A barrier costs a round of heartbeats. With hundreds of nodes that each ask every
second, one barrier at a time serves all that asked before it began.
"""

from typing import Protocol

import trio
from returns.result import Result

from persimmonhall.errors import Refusal

# Minimum time from the start of a barrier to that of the next one.
INTERVAL_S = 0.2


class BarrierReader(Protocol):
    """Wait until what was accepted before is applied."""

    async def read_barrier(self) -> Result[None, Refusal]:
        """Wait until all commands accepted before this call are applied locally."""


class _Batch:
    """Group the requests that one barrier serves."""

    def __init__(self):
        self.ended = trio.Event()
        self.result: Result[None, Refusal] | None = None


class SharedBarrier:
    """Run barriers one after the other while requests wait."""

    def __init__(self, reader: BarrierReader):
        self._reader = reader
        self._next = _Batch()
        self._requested = trio.Event()

    async def run(self) -> None:
        """Run barriers until cancelled."""
        while True:
            await self._requested.wait()
            started_at = trio.current_time()
            batch, self._next = self._next, _Batch()
            self._requested = trio.Event()
            batch.result = await self._reader.read_barrier()
            batch.ended.set()
            await trio.sleep_until(started_at + INTERVAL_S)

    async def wait(self) -> Result[None, Refusal]:
        """Wait for a barrier that begins after this call."""
        batch = self._next
        self._requested.set()
        await batch.ended.wait()
        return batch.result
