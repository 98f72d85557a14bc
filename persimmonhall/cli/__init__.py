"""Define the console programs."""
