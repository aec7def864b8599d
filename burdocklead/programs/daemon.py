"""Entry point of ``burdocklead-daemon``."""

from __future__ import annotations

from burdocklead.process.daemon_process import run_daemon
from burdocklead.programs.start import run_program
from burdocklead.settings import DaemonSettings


def main() -> int:
    """Run the daemon and return its exit code."""
    return run_program(
        DaemonSettings,
        'Route calls and admit work to one upstream.',
        run_daemon,
    )
