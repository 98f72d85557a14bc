"""Test at-most-once runs and quarantine."""
