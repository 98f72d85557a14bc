"""Stand-ins of the platform, servers, operator and clients of the second review."""
