"""Test the replication core under seeded random fault schedules."""
