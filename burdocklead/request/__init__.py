"""Request handling: routing, admission control and attempts."""
