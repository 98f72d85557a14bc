"""Take a control VM out of the replica set once another has come in its place."""

import trio
from absl import logging

from persimmonhall.ids import ReplicaId
from persimmonhall.raft.core import Core
from persimmonhall.raft.driver import Driver
from persimmonhall.raft.role import Role

CHECK_S = 1.0
# Longer than a VM is down, frozen or cut off in any fault that it comes back from.
SILENT_S = 15.0


class Retiring:
    """Remove the one silent voter of a set that is larger than its founders."""

    def __init__(self, core: Core, driver: Driver, founders: int):
        self._core = core
        self._driver = driver
        self._founders = founders

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await trio.sleep(CHECK_S)
            self.step(trio.current_time())

    def step(self, now: float) -> None:
        """Remove a voter if all the others answer and are enough without it."""
        gone = self._replaced(now)
        if gone is not None and self._core.remove(gone, now):
            logging.warning("replica retired id=%s silent_s=%.0f", gone, SILENT_S)
            self._driver.wake()

    def _replaced(self, now: float) -> ReplicaId | None:
        voters = self._core.replicas.voters
        if self._core.role is not Role.LEADER or len(voters) <= self._founders:
            return None
        silent = [v for v in voters if self._core.silent_s(v, now) > SILENT_S]
        return silent[0] if len(silent) == 1 else None
