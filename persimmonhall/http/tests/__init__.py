"""Test the http slice."""
