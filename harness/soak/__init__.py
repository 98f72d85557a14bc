"""Run the real programs under seeded faults and check what their users see."""
