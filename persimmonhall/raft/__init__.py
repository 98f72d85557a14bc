"""Replicate a log: the Raft protocol without clocks, sockets or files."""
