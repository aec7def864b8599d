"""Behave hooks that clean up folders and processes after a scenario."""

from __future__ import annotations

import tempfile
from pathlib import Path


def before_scenario(context, scenario):
    """Create a temporary folder for the scenario."""
    temporary = tempfile.TemporaryDirectory()
    # Cleanups run last to first: those of the steps end the processes that
    # still write into the folder.
    context.add_cleanup(temporary.cleanup)
    context.folder = Path(temporary.name)
    context.deployment = None


def after_scenario(context, scenario):
    """Kill the processes of the scenario and print their logs if it failed."""
    if context.deployment is not None:
        context.deployment.kill()
        if scenario.status.name == 'failed':
            print_logs(context.deployment)


def print_logs(deployment):
    """Print the last 2000 characters of each process log."""
    for process in deployment.processes():
        print(f'--- {process.name}')
        print(process.log_text()[-2000:])
