"""Remove a control VM from the replica set after another has replaced it."""

import trio
from absl import logging

from persimmonhall.ids import ReplicaId
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.role import Role

CHECK_INTERVAL_S = 0.25
# A responsive voter replies several times within this time.
UNRESPONSIVE_AFTER_S = 0.5
# One more disk may be lost 4 s after a replacement. If the replaced voter were still
# in the set, two of four voters would be left, which is no majority. Each new leader
# counts the silence from its election, so the time leaves room for one.
REMOVE_AFTER_S = 1.5
# The initial replicas join within 1 to 2 s of bootstrap, and a VM with a wiped disk
# rejoins as quickly. Neither counts as a replacement.
STABLE_AFTER_S = 5.0
# A set that has grown was enlarged on purpose if all its voters answer for this long.
REPLACEMENT_WINDOW_S = 600.0
# A smaller set has no majority left after the loss of one voter.
MIN_VOTERS = 3


class ReplacedVoterRemover:
    """Remove as many unresponsive voters as new ones have enlarged the set by.

    The size of the settled set is part of the log: a leader that has just started
    knows as well as its predecessor that the set has grown.
    """

    def __init__(self, core: RaftCore, driver: RaftDriver):
        self._core = core
        self._driver = driver
        self._answering_voters: tuple[ReplicaId, ...] = ()
        self._answering_since = 0.0

    async def run(self) -> None:
        """Check the set periodically until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.step(trio.current_time())

    def step(self, now: float) -> None:
        """Settle the set, or remove a replaced voter, if this replica leads."""
        core = self._core
        if core.role is not Role.LEADER:
            self._answering_voters = ()
            return
        voters = core.replicas.voters
        silent_s = {voter: core.time_since_reply_s(voter, now) for voter in voters}
        unresponsive = [v for v, s in silent_s.items() if s > UNRESPONSIVE_AFTER_S]
        if unresponsive:
            self._answering_voters = ()
            self._remove_replaced(unresponsive, silent_s, now)
            return
        if voters != self._answering_voters:
            self._answering_voters, self._answering_since = voters, now
        if now - self._answering_since >= self._settling_time_s():
            self._settle(now)

    def _settling_time_s(self) -> float:
        surplus = self._core.replicas.surplus_voters
        return REPLACEMENT_WINDOW_S if surplus > 0 else STABLE_AFTER_S

    def _settle(self, now: float) -> None:
        replicas = self._core.replicas
        voter_count = len(replicas.voters)
        # A wiped voter leaves the set before it gets its vote back.
        is_incomplete = voter_count < replicas.settled_voters and replicas.has_learners
        if voter_count == replicas.settled_voters or is_incomplete:
            return
        if self._core.settle(now):
            logging.info("replica set settled voters=%d", voter_count)
            self._driver.wake()

    def _remove_replaced(
        self,
        unresponsive: list[ReplicaId],
        silent_s: dict[ReplicaId, float],
        now: float,
    ) -> None:
        """Remove the voter that is silent for longest if each silent one is surplus."""
        replicas = self._core.replicas
        if len(replicas.voters) <= MIN_VOTERS:
            return
        if len(unresponsive) > replicas.surplus_voters:
            return
        replaced = max(unresponsive, key=silent_s.__getitem__)
        if silent_s[replaced] <= REMOVE_AFTER_S:
            return
        # It may only have been paused: if its process runs, it gets back in.
        if self._core.remove(replaced, now, may_rejoin=True):
            logging.warning(
                "replica retired id=%s silent_s=%.1f", replaced, silent_s[replaced]
            )
            self._driver.wake()
