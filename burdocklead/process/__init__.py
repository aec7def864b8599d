"""What lives as long as a process: servers, membership, life cycle."""
