"""The bench: open-loop load on real processes on loopback."""
