"""Carry a call from its entry to the gate of a backend server."""
