"""Entry point of ``burdocklead``, the command-line tool for operators."""

from __future__ import annotations

import os
import sys

from burdocklead.commands.runner import Streams, run_operator


def main() -> int:
    """Run one subcommand and return its exit code."""
    streams = Streams(sys.stdout, sys.stderr)
    return run_operator(sys.argv[1:], os.environ, streams)
