"""What lives as long as a connection: frames, links and their clients."""
