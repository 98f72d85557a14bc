"""Exchange frames over TCP between the processes of the system."""
