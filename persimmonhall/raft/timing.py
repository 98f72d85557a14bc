"""Set the times of the replication protocol."""

HEARTBEAT_S = 0.15
ELECTION_S = 0.9
ELECTION_SPREAD_S = 0.9
