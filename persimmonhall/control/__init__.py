"""Keep the replicated log and the administration API."""
