"""Durable replicated state: registers, their file, claims, replica set."""
