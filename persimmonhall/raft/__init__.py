"""Replicate a log with the Raft protocol; only driver and storage do I/O."""
