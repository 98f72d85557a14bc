"""Pool the counts of all nodes; enforce quotas and fair shares of organisations."""
