"""Long-lived parts of a process: servers, membership and lifecycle."""
