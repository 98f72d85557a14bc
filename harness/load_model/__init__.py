"""Play a call graph under load in virtual time, with the real decisions."""
