"""Test the HTTP package."""
