"""Entry point of ``burdocklead-control``."""

from __future__ import annotations

from burdocklead.process.control_process import run_control
from burdocklead.programs.start import run_program
from burdocklead.settings import ControlSettings


def main() -> int:
    """Run the control replica and return its exit code."""
    return run_program(
        ControlSettings,
        'Hold configuration, claims and membership.',
        run_control,
    )
