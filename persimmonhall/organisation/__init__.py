"""Check the keys of organisations and prove that the release in force is the newest."""
