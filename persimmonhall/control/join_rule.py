"""Decide when a replica has to ask to be added to the replica set."""

from persimmonhall.raft.core import RaftCore

# Short, as one more VM may be lost 4 s after this one is back, and what asks in vain
# during an election changes nothing.
LEADERLESS_S = 0.5


class JoinRule:
    """Tell whether the set lacks this replica, its address, or may lack it.

    The own log doesn't tell whether this replica is in the set: the entry that added
    it may have been lost with its leader, and the one that removed it isn't sent to it.
    """

    def __init__(self, core: RaftCore, address: str):
        self._core = core
        self._address = address
        self._leader_known_at: float | None = None

    def must_ask(self, now: float) -> bool:
        """Return whether to ask now; the leader ignores what changes nothing."""
        core = self._core
        if core.leader_id is not None or self._leader_known_at is None:
            self._leader_known_at = now
        member = core.replicas.get(core.id)
        if not core.replicas.members:
            return True
        if member is not None and member.address != self._address:
            return True
        return now - self._leader_known_at >= LEADERLESS_S
