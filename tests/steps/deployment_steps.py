"""Steps that start a local deployment and send calls through it."""

from __future__ import annotations

import msgspec
import requests
from behave import given, then, when

from burdocklead.request.headers import KEY_HEADER, OUTCOME_HEADER
from devtools.local_deployment import LocalDeployment

CALL_TIMEOUT_S = 20


@given('a deployment with {counts}')
def start_deployment(context, counts):
    """Start control and upstreams, given as ``2 job-sheets, 1 archive``."""
    pairs = [part.strip().split(' ', 1) for part in counts.split(',')]
    context.deployment = LocalDeployment(context.folder)
    context.deployment.start_controls()
    context.deployment.start_daemons_with_upstreams(
        {service: int(count) for count, service in pairs}
    )


@given('the file "{path}" is in force everywhere')
def apply_and_wait(context, path):
    """Apply a file and wait until each daemon serves version 1."""
    context.deployment.apply(path)
    context.deployment.wait_in_force(1)


@when('a client sends {method} "{target}" through "{daemon}"')
def send_call(context, method, target, daemon):
    """Send one call without an idempotency key."""
    context.response = requests.request(
        method,
        context.deployment.url(daemon, target),
        headers={'Mark': 'own'},
        timeout=CALL_TIMEOUT_S,
    )


@when(
    'a call with key "{key}" and body "{body}" is sent as {method} "{target}" '
    'through "{daemon}"'
)
def send_keyed_call(context, key, body, method, target, daemon):
    """Send a keyed call and keep the response of the previous call."""
    context.previous = getattr(context, 'response', None)
    context.response = requests.request(
        method,
        context.deployment.url(daemon, target),
        headers={KEY_HEADER: key, 'Mark': key},
        data=body,
        timeout=CALL_TIMEOUT_S,
    )


@when('a call with the deadline "{deadline}" is sent as {method} "{target}"')
def send_with_deadline(context, deadline, method, target):
    """Send a call with this text as its deadline header."""
    daemon = next(iter(context.deployment.daemons))
    context.response = requests.request(
        method,
        context.deployment.url(daemon, target),
        headers={'Burdocklead-Deadline-Ms': deadline},
        timeout=CALL_TIMEOUT_S,
    )


@then('the call has the outcome "{outcome}" and the status {status:d}')
def check_outcome(context, outcome, status):
    """Check the outcome and the HTTP status of the last call."""
    seen = (
        context.response.headers.get(OUTCOME_HEADER),
        context.response.status_code,
    )
    assert seen == (outcome, status), (seen, context.response.headers)


@then('the answer carries the mark "{mark}"')
def check_mark(context, mark):
    """Check that the answer echoes the mark of the call."""
    first_line = context.response.text.partition('\n')[0]
    assert first_line == mark, first_line


@then('both answers are the same')
def check_same_answer(context):
    """Check that the repeated call got the stored answer."""
    assert context.response.content == context.previous.content


@then('the key "{key}" ran {times:d} time(s)')
def check_executions(context, key, times):
    """Check how often the call with a key was executed."""
    seen = context.deployment.executions('by_key').get(key, 0)
    assert seen == times, seen


@then('no upstream ran any call')
def check_no_executions(context):
    """Check that no attempt was executed."""
    assert not context.deployment.executions('by_attempt')


@when('the operator runs "{command}"')
def run_operator(context, command):
    """Run the command-line tool for operators."""
    context.completed = context.deployment.run_operator(*command.split())


@then('the operator sees exit code {code:d} and "{text}"')
def check_operator(context, code, text):
    """Check the exit code and a part of the output of the last command."""
    completed = context.completed
    printed = completed.stdout + completed.stderr
    assert completed.returncode == code, (completed.returncode, printed)
    assert text in printed, printed


@then('the status endpoint of "{daemon}" names {count:d} members')
def check_members(context, daemon, count):
    """Check the number of members that a daemon sees."""
    process = context.deployment.daemons[daemon]
    status = context.deployment.daemon_status(process)
    assert len(status['members']) == count, msgspec.json.encode(status)


@when('every process is asked to stop')
def stop_processes(context):
    """Stop each process and keep the exit codes."""
    context.exit_codes = {
        process.name: process.stop()
        for process in context.deployment.processes()
    }


@then('every process ends with exit code 0 and no traceback in its log')
def check_stop(context):
    """Check exit codes and logs."""
    assert set(context.exit_codes.values()) == {0}, context.exit_codes
    for process in context.deployment.processes():
        assert 'Traceback' not in process.log_text(), process.name
