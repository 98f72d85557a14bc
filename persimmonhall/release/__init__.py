"""Keep the routes of all services in force as one release."""
