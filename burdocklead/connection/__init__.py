"""Connections: HTTP, links between daemons, control messages and TLS."""
