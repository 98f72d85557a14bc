"""Test the replication core and its storage."""
