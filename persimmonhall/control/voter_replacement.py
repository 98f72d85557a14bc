"""Remove a control VM from the replica set after another has replaced it."""

import math

import trio
from absl import logging

from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.driver import RaftDriver
from persimmonhall.raft.role import Role

CHECK_INTERVAL_S = 0.25
# A responsive voter replies several times within this time.
UNRESPONSIVE_AFTER_S = 0.5
# One more disk may be lost after this time. If the replaced voter were still in the
# set, two of four voters would be left, which is no majority.
REMOVE_AFTER_S = 4.0
# The initial replicas join within 1 to 2 s of bootstrap, and a VM with a wiped disk
# rejoins as quickly. Neither counts as a replacement.
STABLE_AFTER_S = 5.0
# In a planned replacement, the old VM stops soon after the new one has joined.
REPLACEMENT_WINDOW_S = 30.0
# A smaller set has no majority left after the loss of one voter.
MIN_VOTERS = 3


class ReplacedVoterRemover:
    """Remove the only unresponsive voter after a new one has enlarged the set.

    Every replica tracks the set, as the replaced voter may be the leader.
    """

    def __init__(self, core: RaftCore, driver: RaftDriver):
        self._core = core
        self._driver = driver
        self._voter_count = 0
        self._count_changed_at = -math.inf
        self._shrunk_since: float | None = None
        self._replacement_until = -math.inf

    async def run(self) -> None:
        """Check the set periodically until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.step(trio.current_time())

    def step(self, now: float) -> None:
        """Remove a replaced voter if this replica leads and all others respond."""
        core = self._core
        voters = core.replicas.voters
        self._track_voter_count(len(voters), now)
        has_extra_voter = now < self._replacement_until and len(voters) > MIN_VOTERS
        if core.role is not Role.LEADER or not has_extra_voter:
            return
        time_since_reply_s = {
            voter: core.time_since_reply_s(voter, now) for voter in voters
        }
        unresponsive = [
            voter
            for voter, seconds in time_since_reply_s.items()
            if seconds > UNRESPONSIVE_AFTER_S
        ]
        if len(unresponsive) != 1:
            return
        [replaced] = unresponsive
        if time_since_reply_s[replaced] > REMOVE_AFTER_S and core.remove(replaced, now):
            logging.warning(
                "replica retired id=%s silent_s=%.1f",
                replaced,
                time_since_reply_s[replaced],
            )
            self._replacement_until = -math.inf
            self._driver.wake()

    def _track_voter_count(self, voter_count: int, now: float) -> None:
        """Detect growth of a stable set, except a wiped voter that rejoins."""
        if voter_count < self._voter_count:
            if self._shrunk_since is None:
                self._shrunk_since = now
            elif now - self._shrunk_since >= STABLE_AFTER_S:
                self._set_voter_count(voter_count, now)
            return
        self._shrunk_since = None
        if voter_count > self._voter_count:
            if self._voter_count and now - self._count_changed_at >= STABLE_AFTER_S:
                self._replacement_until = now + REPLACEMENT_WINDOW_S
            self._set_voter_count(voter_count, now)

    def _set_voter_count(self, voter_count: int, now: float) -> None:
        self._voter_count = voter_count
        self._count_changed_at = now
        self._shrunk_since = None
