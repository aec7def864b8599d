"""Hooks of behave: each scenario ends the processes that it started."""

from __future__ import annotations

import tempfile
from pathlib import Path


def before_scenario(context, scenario):
    """Give the scenario a folder of its own."""
    context.temporary = tempfile.TemporaryDirectory()
    context.folder = Path(context.temporary.name)
    context.deployment = None


def after_scenario(context, scenario):
    """End the processes of the scenario and show their logs if it failed."""
    if context.deployment is not None:
        context.deployment.kill()
        if scenario.status.name == 'failed':
            print_logs(context.deployment)
    context.temporary.cleanup()


def print_logs(deployment):
    """Write the end of each process's log."""
    for process in deployment.processes():
        print(f'--- {process.name}')
        print(process.log_text()[-2000:])
