"""Configuration versions: services, routes and patches."""
