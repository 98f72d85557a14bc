"""Store and distribute releases, which define the routes of all services."""
