"""What lives as long as a request: routing, admission, attempts."""
