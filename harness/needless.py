"""Count refusals that a gate made while a slot was free at some gate."""

from dataclasses import dataclass

import trio

from harness.system import System

SAMPLE_S = 0.2
IN_FLIGHT = "persimmonhall_in_flight"
REFUSED = "persimmonhall_refused_total"


@dataclass(frozen=True)
class Sample:
    """Hold the refusals of all gates so far and whether a slot is free."""

    refused: int
    is_free: bool


@dataclass
class NeedlessCount:
    """Sum up refusals between two samples that both show a free slot."""

    slots: int
    refused: int = 0
    needless: int = 0

    @property
    def share(self) -> float:
        """Return needless refusals as a share of all."""
        return self.needless / max(1, self.refused)

    def add(self, before: Sample, after: Sample) -> None:
        """Count the refusals between two samples."""
        count = after.refused - before.refused
        self.refused += count
        self.needless += count if before.is_free and after.is_free else 0

    async def watch(self, system: System) -> None:
        """Sample all gates until cancelled."""
        before = await self._sample(system)
        while True:
            await trio.sleep(SAMPLE_S)
            after = await self._sample(system)
            self.add(before, after)
            before = after

    async def _sample(self, system: System) -> Sample:
        pages = [await system.metrics(node) for node in system.nodes]
        refused = sum(
            int(value)
            for page in pages
            for name, value in page.items()
            if name.startswith(REFUSED)
        )
        is_free = any(int(page[IN_FLIGHT]) < self.slots for page in pages)
        return Sample(refused, is_free)
