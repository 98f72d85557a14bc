"""Define the roles of a replica."""

from enum import Enum


class Role(Enum):
    """Tell what part a replica plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "preCandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
