#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case can't run.
exec python3 "$(dirname "$0")/case.py"
