"""Take a control VM out of the replica set once another has come in its place."""

import trio
from absl import logging

from persimmonhall.ids import ReplicaId
from persimmonhall.raft.core import Core
from persimmonhall.raft.driver import Driver
from persimmonhall.raft.role import Role

CHECK_S = 0.25
# A voter that answers is heard of several times in this time.
AWAY_S = 0.5
# From then on the loss of one more disk may be met, with the place of the one that is
# gone still counted: a set of four with two left could not agree any more.
SILENT_S = 4.0
# Fewer voters than this are not enough to lose one.
LEAST_VOTERS = 3


class Retiring:
    """Remove a voter that was away when a new one came, and has been ever since.

    A set that grows while all answer keeps all of them, and so does one in which a
    voter is replaced under its own address: only a newcomer beside a voter that is
    away tells that it is gone for good.
    """

    def __init__(self, core: Core, driver: Driver):
        self._core = core
        self._driver = driver
        self._size = 0
        self._replaced: frozenset[ReplicaId] = frozenset()
        self._retired: ReplicaId | None = None

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await trio.sleep(CHECK_S)
            self.step(trio.current_time())

    def step(self, now: float) -> None:
        """Remove a voter that was replaced, if all the others answer."""
        if self._core.role is not Role.LEADER:
            self._size, self._replaced, self._retired = 0, frozenset(), None
            return
        voters = frozenset(self._core.replicas.voters)
        silent_s = {voter: self._core.silent_s(voter, now) for voter in voters}
        away = frozenset(v for v, seconds in silent_s.items() if seconds > AWAY_S)
        if self._retired is not None and self._retired not in voters:
            self._size -= 1
            self._retired = None
        self._note_growth(len(voters), away)
        self._replaced &= away
        if len(away) != 1 or away != self._replaced or len(voters) <= LEAST_VOTERS:
            return
        [gone] = away
        if silent_s[gone] > SILENT_S and self._core.remove(gone, now):
            logging.warning("replica retired id=%s silent_s=%.1f", gone, silent_s[gone])
            self._retired = gone
            self._driver.wake()

    def _note_growth(self, size: int, away: frozenset[ReplicaId]) -> None:
        """Remember who is away when the set is larger than it ever was.

        A wiped voter leaves the set and comes back under a new id: it does not count.
        """
        if size <= self._size:
            return
        if self._size:
            self._replaced = away
        self._size = size
