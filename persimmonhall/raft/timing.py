"""Define the timeouts and intervals of the Raft protocol."""

HEARTBEAT_S = 0.15
ELECTION_S = 0.9
ELECTION_SPREAD_S = 0.9
LOST_LEADER_S = 0.02
LOST_LEADER_SPREAD_S = 0.15
