"""Define the Raft roles of a replica."""

from enum import Enum


class Role(Enum):
    """Enumerate the roles that a replica can have in a term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "preCandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
