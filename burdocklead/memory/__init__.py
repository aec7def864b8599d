"""Memory of a process that clients, peers and upstreams can take."""
