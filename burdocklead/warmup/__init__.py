"""Upstreams that are cold after their start."""
