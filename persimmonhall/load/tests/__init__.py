"""Test the load package."""
