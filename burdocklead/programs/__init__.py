"""Command lines of the three programs; no logic of their own."""
