"""Provide processes, stand-ins and experiments for one machine."""
