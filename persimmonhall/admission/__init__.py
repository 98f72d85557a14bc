"""Decide which requests a gate starts, queues or refuses."""
