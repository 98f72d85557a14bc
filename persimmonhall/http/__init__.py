"""Speak HTTP/1.1 with callers, backend servers and operators."""
