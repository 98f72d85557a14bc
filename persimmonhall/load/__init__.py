"""Generate open-loop load and report the results."""
