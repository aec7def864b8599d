"""Benchmarks: open-loop load on real processes over loopback."""
