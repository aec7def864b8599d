"""Entry points of the three programs."""
