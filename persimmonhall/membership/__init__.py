"""Track the nodes and backend servers of the system by gossip."""
