"""Take a control VM out of the replica set once another has come in its place."""

import math

import trio
from absl import logging

from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.role import Role

CHECK_S = 0.25
# A voter that answers is heard of several times in this time.
AWAY_S = 0.5
# From then on the loss of one more disk may be met, with the place of the one that is
# gone still counted: a set of four with two left could not agree any more.
SILENT_S = 4.0
# Founders join within a second or two, and a wiped VM is back in the set as soon.
SETTLED_S = 5.0
# A VM that is replaced as planned is stopped soon after its successor has come.
SPARE_S = 30.0
# Fewer voters than this are not enough to lose one.
LEAST_VOTERS = 3


class Retiring:
    """Remove the one voter that is silent when a newcomer has made the set too large.

    Every replica watches the set, for the leader may be the one that is replaced.
    """

    def __init__(self, core: RaftCore, driver: RaftDriver):
        self._core = core
        self._driver = driver
        self._size = 0
        self._changed_at = -math.inf
        self._smaller_since: float | None = None
        self._spare_until = -math.inf

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await trio.sleep(CHECK_S)
            self.step(trio.current_time())

    def step(self, now: float) -> None:
        """Remove a voter that was replaced, if this replica leads and others answer."""
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
        """Note when a settled set grows; a wiped voter leaves it and comes back."""
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
