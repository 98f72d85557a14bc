"""Control VMs: replicated state, administration API and release API."""
