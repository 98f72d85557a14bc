"""Explore seeded schedules of faults over the replication core."""
