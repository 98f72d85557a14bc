"""Test the call slice."""
