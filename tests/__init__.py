"""Test persimmonhall."""
