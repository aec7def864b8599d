"""Steps for the secrecy of API keys and for the product's own headers."""

from __future__ import annotations

import requests
from behave import given, then, when

from burdocklead.request.headers import API_KEY_HEADER, TEAM_HEADER
from tests.steps.outcome_steps import raw_call

DAEMON = 'work-orders-0'
TIMEOUT_S = 20
FILE_TEXT = """version = {version}
[[services.job-sheets.routes]]
name = "sheets"
method = "GET"
path = "/sheets"
idempotent = true
[[services.job-sheets.routes]]
name = "open"
method = "GET"
path = "/open"
idempotent = true
anonymous = true
[teams]
"blue.a" = {team}
blue = {{rank = 0}}
"""


def _write_file(context, name, version, team):
    path = context.folder / name
    path.write_text(FILE_TEXT.format(version=version, team=team))
    return path


def _team_with(keys):
    quoted = ', '.join(f'"{key}"' for key in keys.split(', '))
    return f'{{keys = [{quoted}]}}'


@given(
    'an operator file "{name}" of version {version:d} whose team has the keys '
    '"{keys}"'
)
def write_file_with_keys(context, name, version, keys):
    """Write a valid file."""
    _write_file(context, name, version, _team_with(keys))


@given('an operator file "{name}" of version {version:d} whose team is {team}')
def write_file_with_team(context, name, version, team):
    """Write a file with a literal team."""
    _write_file(context, name, version, team)


@then('the program prints no "{text}" and no "{other}" to stderr')
def check_not_printed(context, text, other):
    """Search both outputs."""
    assert text not in context.stdout, context.stdout
    assert other not in context.stderr, context.stderr


@when(
    'a file of version {version:d} with a team "{team}" and the keys "{keys}" '
    'is in force everywhere'
)
def apply_team_file(context, version, team, keys):
    """Apply a file and wait until each daemon serves it."""
    path = _write_file(
        context, f'v{version}.toml', version, '{keys = ["sEcret-other"]}'
    )
    text = path.read_text()
    text = text.replace('blue = {rank = 0}', f'{team} = {_team_with(keys)}')
    path.write_text(text)
    context.deployment.apply(path)
    context.deployment.wait_in_force(version)
    context.newest_file = path


def _call(context, key, target):
    if 'session' not in context:
        context.session = requests.Session()
        context.add_cleanup(context.session.close)
    headers = {TEAM_HEADER: 'forged'}
    if key:
        headers[API_KEY_HEADER] = key
    context.response = context.session.get(
        context.deployment.url(DAEMON, target),
        headers=headers,
        timeout=TIMEOUT_S,
    )
    return context.response.status_code


@then(
    'a product call with the key "{key}" to "{target}" has the status '
    '{status:d}'
)
def check_status(context, key, target, status):
    """Send a call with a key."""
    seen = _call(context, key, target)
    assert seen == status, (seen, context.response.headers)


@then('a product call without a key to "{target}" has the status {status:d}')
def check_keyless_status(context, target, status):
    """Send a call without a key."""
    seen = _call(context, '', target)
    assert seen == status, (seen, context.response.headers)


@then(
    'a product call with the key "{key}" on the same connection has the status '
    '{status:d}'
)
def check_same_connection(context, key, status):
    """Send a call on the connection that the session keeps open."""
    seen = _call(context, key, '/job-sheets/sheets/1')
    assert seen == status, (seen, context.response.headers)


def _received(context):
    names = context.response.headers['Received-Headers'].split(',')
    assert API_KEY_HEADER.lower() not in names, names
    return context.response.headers['Received-Team']


@then('the product\'s upstream received the team "{team}" and no key')
def check_received_team(context, team):
    """Compare the team that the upstream received with the last call."""
    assert _received(context) == team, context.response.headers


@then("the product's upstream received no team and no key")
def check_received_none(context):
    """Check that the upstream received no team with the last call."""
    assert not _received(context), context.response.headers


@then(
    'the product\'s answer to a malformed call with the key "{key}" doesn\'t '
    'contain it'
)
def check_malformed(context, key):
    """Send headers that can't be parsed."""
    address = context.deployment.daemons[DAEMON].addresses['http']
    for bad in (f'{key}\x01', f'{key}\r\nB\x01d: x', f'{key}\r\n: x'):
        head = 'GET /job-sheets/sheets/1 HTTP/1.1\r\nHost: a\r\n'
        head = f'{head}{API_KEY_HEADER}: {bad}\r\n\r\n'
        status, headers, body = raw_call(address, head.encode())
        assert status == 400, status
        assert key not in f'{headers} {body}', (headers, body)


@then(
    'the outputs of status, diff and timeline, all logs and all metrics '
    'contain no "{text}"'
)
def check_outputs(context, text):
    """Search what operators see, except for the configuration itself."""
    deployment = context.deployment
    commands = (
        ('status',),
        ('status', '--json'),
        ('diff', str(context.folder / 'v1.toml')),
        ('timeline', '--json'),
    )
    for command in commands:
        completed = deployment.run_operator(*command)
        printed = completed.stdout + completed.stderr
        assert completed.returncode == 0, (command, printed)
        assert text not in printed, (command, printed)
    processes = deployment.processes()
    for process in processes:
        assert text not in process.log_text(), process.name
    for process in (
        *deployment.daemons.values(),
        *deployment.controls.values(),
    ):
        url = f'http://{process.addresses["admin"]}/metrics'
        metrics = requests.get(url, timeout=TIMEOUT_S)
        assert metrics.status_code == 200, metrics.text
        assert text not in metrics.text, process.name
