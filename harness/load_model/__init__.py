"""Simulate a call graph under load in virtual time with the production logic."""
