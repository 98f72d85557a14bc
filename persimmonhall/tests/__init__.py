"""Test the modules that the packages share."""
