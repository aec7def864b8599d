"""Teams of callers and their API keys."""
