"""Test what the slices share."""
