"""Check the control VMs."""
