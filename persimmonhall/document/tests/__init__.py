"""Test the document package."""
