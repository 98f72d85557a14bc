"""Check, hold and spread the documents of the services."""
