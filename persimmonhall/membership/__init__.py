"""Know which nodes and backend servers exist."""
