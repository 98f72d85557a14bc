"""Carry frames between the system's own processes."""
