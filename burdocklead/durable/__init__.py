"""What outlives a process: registers, their file, claims, replica set."""
