"""Departures of backend servers, recorded on the disks of the control VMs."""
