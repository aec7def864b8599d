"""What lives as long as a configuration version: services and routes."""
