"""Provide HTTP/1.1 servers for callers and operators, and clients for servers."""
