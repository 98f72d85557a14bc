"""Generate open-loop load and report what came back."""
