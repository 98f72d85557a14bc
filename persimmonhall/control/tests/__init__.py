"""Tests of the control VMs."""
