"""Rate limits of teams over all daemons."""
