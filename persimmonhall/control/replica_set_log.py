"""Log changes of the replica set and why a learner is not promoted."""

import trio
from absl import logging

from persimmonhall.ids import ReplicaId
from persimmonhall.raft.core import RaftCore
from persimmonhall.raft.messages import ReplicaSet

CHECK_INTERVAL_S = 0.1
# A learner without much to catch up with is promoted within this time.
PROMOTED_WITHIN_S = 1.0
REPEAT_INTERVAL_S = 5.0
# An election that succeeds takes less.
LEADERLESS_S = 3.0


class ReplicaSetLog:
    """Compare the replica set with the one seen last; log what has changed."""

    def __init__(self, core: RaftCore):
        self._core = core
        self._replicas = ReplicaSet()
        self._seen = (0, False)
        self._learners_since: dict[ReplicaId, float] = {}
        self._obstacles: dict[ReplicaId, tuple[str, float]] = {}
        self._leader_known_at: float | None = None
        self._is_leaderless = False

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.step(trio.current_time())
            await trio.sleep(CHECK_INTERVAL_S)

    def step(self, now: float) -> None:
        """Log what has changed since the last check."""
        self._log_set()
        self._log_learners(now)
        self._log_leaderless(now)

    def _log_set(self) -> None:
        core = self._core
        seen = core.replicas_index, core.is_set_committed
        if seen == self._seen:
            return
        before, after = self._replicas, core.replicas
        self._seen, self._replicas = seen, after
        logging.info(
            "replica set index=%d committed=%s term=%d voters=%s learners=%s "
            "settled=%d added=%s promoted=%s removed=%s",
            core.replicas_index,
            core.is_set_committed,
            core.term,
            _names(after.voters),
            _names(after.learners),
            after.settled_voters,
            _names(m.id for m in after.members if before.get(m.id) is None),
            _names(v for v in after.voters if v in before.learners),
            _names(m.id for m in before.members if after.get(m.id) is None),
        )
        if before.get(core.id) is not None and after.get(core.id) is None:
            logging.warning("replica left the set id=%s", core.id)

    def _log_learners(self, now: float) -> None:
        """Log once a while why a learner is still none of the voters."""
        core = self._core
        learners = core.replicas.learners if core.match_indexes else ()
        self._learners_since = {
            learner: self._learners_since.get(learner, now) for learner in learners
        }
        for learner, since in self._learners_since.items():
            if now - since < PROMOTED_WITHIN_S:
                continue
            obstacle = core.promotion_obstacle(learner, now)
            logged, logged_at = self._obstacles.get(learner, ("", now))
            if obstacle == logged and now - logged_at < REPEAT_INTERVAL_S:
                continue
            self._obstacles[learner] = obstacle, now
            logging.warning(
                "replica not promoted id=%s waits_s=%.1f reason=%s match=%d commit=%d "
                "silent_s=%.1f",
                learner,
                now - since,
                obstacle or "none",
                core.match_indexes[learner],
                core.commit_index,
                core.time_since_reply_s(learner, now),
            )

    def _log_leaderless(self, now: float) -> None:
        core = self._core
        if core.leader_id is not None or self._leader_known_at is None:
            self._leader_known_at, self._is_leaderless = now, False
        elif now - self._leader_known_at >= LEADERLESS_S and not self._is_leaderless:
            self._is_leaderless = True
            logging.warning(
                "replica without leader id=%s role=%s term=%d voters=%s; either no "
                "majority answers, or the set goes on without this replica",
                core.id,
                core.role.value,
                core.term,
                _names(core.replicas.voters),
            )


def _names(replicas) -> str:
    return ",".join(replicas) or "none"
