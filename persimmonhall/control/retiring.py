"""Remove a control VM from the replica set after another has replaced it."""

import math

import trio
from absl import logging

from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.role import Role

CHECK_S = 0.25
# A responsive voter replies several times within this time.
AWAY_S = 0.5
# One more disk may be lost after this time. If the replaced voter were still in the
# set, two of four voters would be left, which is no majority.
SILENT_S = 4.0
# The initial replicas join within 1 to 2 s of bootstrap, and a VM with a wiped disk
# rejoins as quickly. Neither counts as a replacement.
SETTLED_S = 5.0
# In a planned replacement, the old VM stops soon after the new one has joined.
SPARE_S = 30.0
# A smaller set has no majority left after the loss of one voter.
LEAST_VOTERS = 3


class Retiring:
    """Remove the only unresponsive voter after a new one has enlarged the set.

    Every replica tracks the set, as the replaced voter may be the leader.
    """

    def __init__(self, core: RaftCore, driver: RaftDriver):
        self._core = core
        self._driver = driver
        self._size = 0
        self._changed_at = -math.inf
        self._smaller_since: float | None = None
        self._spare_until = -math.inf

    async def run(self) -> None:
        """Check the set periodically until cancelled."""
        while True:
            await trio.sleep(CHECK_S)
            self.step(trio.current_time())

    def step(self, now: float) -> None:
        """Remove a replaced voter if this replica leads and all others respond."""
        core = self._core
        voters = core.replicas.voters
        self._note_size(len(voters), now)
        has_spare = now < self._spare_until and len(voters) > LEAST_VOTERS
        if core.role is not Role.LEADER or not has_spare:
            return
        silent_s = {voter: core.time_since_reply_s(voter, now) for voter in voters}
        away = [voter for voter, seconds in silent_s.items() if seconds > AWAY_S]
        if len(away) != 1:
            return
        [gone] = away
        if silent_s[gone] > SILENT_S and core.remove(gone, now):
            logging.warning("replica retired id=%s silent_s=%.1f", gone, silent_s[gone])
            self._spare_until = -math.inf
            self._driver.wake()

    def _note_size(self, size: int, now: float) -> None:
        """Detect growth of a stable set, except a wiped voter that rejoins."""
        if size < self._size:
            if self._smaller_since is None:
                self._smaller_since = now
            elif now - self._smaller_since >= SETTLED_S:
                self._set_size(size, now)
            return
        self._smaller_since = None
        if size > self._size:
            if self._size and now - self._changed_at >= SETTLED_S:
                self._spare_until = now + SPARE_S
            self._set_size(size, now)

    def _set_size(self, size: int, now: float) -> None:
        self._size = size
        self._changed_at = now
        self._smaller_since = None
