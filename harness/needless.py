"""Count refusals made while some gate had a free slot."""

from dataclasses import dataclass

import trio

from harness.system import System

SAMPLE_INTERVAL_S = 0.2
IN_FLIGHT_METRIC = "persimmonhall_in_flight"
REFUSED_METRIC = "persimmonhall_refused_total"


@dataclass(frozen=True)
class RefusalSample:
    """Store the total refusals of all gates and whether a slot is free."""

    refused: int
    is_free: bool


@dataclass
class NeedlessRefusals:
    """Count refusals as needless if the samples before and after show a free slot."""

    slots: int
    refused: int = 0
    needless: int = 0

    @property
    def fraction(self) -> float:
        """Return the fraction of refusals that were needless."""
        return self.needless / max(1, self.refused)

    def add(self, before: RefusalSample, after: RefusalSample) -> None:
        """Count the refusals between two samples."""
        count = after.refused - before.refused
        self.refused += count
        self.needless += count if before.is_free and after.is_free else 0

    async def watch(self, system: System) -> None:
        """Sample all gates until cancelled."""
        before = await self._sample(system)
        while True:
            await trio.sleep(SAMPLE_INTERVAL_S)
            after = await self._sample(system)
            self.add(before, after)
            before = after

    async def _sample(self, system: System) -> RefusalSample:
        pages = [await system.metrics(node) for node in system.nodes]
        refused = sum(
            int(value)
            for page in pages
            for name, value in page.items()
            if name.startswith(REFUSED_METRIC)
        )
        is_free = any(int(page[IN_FLIGHT_METRIC]) < self.slots for page in pages)
        return RefusalSample(refused, is_free)
