"""Test the load slice."""
