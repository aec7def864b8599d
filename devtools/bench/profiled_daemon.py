"""Runs a daemon under cProfile.

The profile is written to the folder in ``BENCH_PROFILE_FOLDER``.
"""

from __future__ import annotations

import cProfile
import os
from pathlib import Path

from burdocklead.programs.daemon import main as run_daemon

PROFILE_VARIABLE = 'BENCH_PROFILE_FOLDER'


def main() -> int:
    """Run the daemon and return its exit code."""
    folder = Path(os.environ[PROFILE_VARIABLE])
    profile = cProfile.Profile()
    try:
        return profile.runcall(run_daemon)
    finally:
        profile.dump_stats(folder / f'{os.getpid()}.prof')
