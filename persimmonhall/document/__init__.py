"""Validate, store and distribute the documents of the services."""
