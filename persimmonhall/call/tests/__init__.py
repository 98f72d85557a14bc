"""Test the call package."""
