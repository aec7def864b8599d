"""Steps for the tools that start and end local processes."""

from __future__ import annotations

import re

from behave import then, when

from devtools.processes import source_root

PIN = re.compile(r'^[A-Za-z0-9._-]+==[A-Za-z0-9.+!]+$')


@when('the local deployment stops all its processes')
def stop_deployment(context):
    """Stop all processes at once and keep their exit codes."""
    context.deployment.stop()
    context.exit_codes = {
        process.name: process.popen.returncode
        for process in context.deployment.processes()
    }


@then("every daemon's log tells that it stopped")
def check_daemon_logs(context):
    """Check the last change of state of each daemon."""
    for process in context.deployment.daemons.values():
        assert 'state=stopped' in process.log_text(), process.log_text()


@then('each line of the constraints pins one library')
def check_constraints(context):
    """Check the form of each line."""
    lines = (source_root() / 'constraints.txt').read_text().splitlines()
    wrong = [line for line in lines if not PIN.match(line)]
    assert lines and not wrong, wrong
