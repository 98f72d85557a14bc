"""Test the wire slice."""
