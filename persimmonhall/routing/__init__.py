"""Choose a server for a call and bound its retries."""
