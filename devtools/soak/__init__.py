"""Soak test of the real programs under random faults injected from outside."""
