"""Sharing of an upstream's capacity among teams and calls in progress."""
