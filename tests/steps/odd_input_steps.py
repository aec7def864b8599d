"""Steps for heartbeats, load reports and settings that can't be used."""

from __future__ import annotations

import json
import signal

from behave import then, when

from tests.platform.stand_in import StandInUpstream, wait_until
from tests.steps.platform_steps import FIRST_DAEMON, status_of_request

DIGITS = '9' * 400
CONTENTS = {
    'a number of 400 digits': DIGITS,
    '100000 nested arrays': f'{"[" * 100000}{"]" * 100000}',
}
PLACEHOLDER = '"placeholder"'


@then('each of these heartbeats at daemon {daemon:d} is answered {status:d}')
def check_heartbeats(context, daemon, status):
    """Send a heartbeat for each row, with one field replaced."""
    upstream = context.platform.upstreams[f'daemon-{daemon}']
    for row in context.table:
        content = CONTENTS.get(row['content'], row['content'])
        body = {
            'service': upstream.service,
            'address': f'{upstream.ip}:8301',
            'slots': 4,
            'state': 'ready',
            'seq': 1,
            'born': 1000,
            row['field']: 'placeholder',
        }
        text = json.dumps(body).replace(PLACEHOLDER, content)
        seen = upstream.call('instances.heartbeat', text)
        assert seen == status, (row, seen)


@then(
    'a heartbeat of an instance with a line break in its name is answered '
    '{status:d}'
)
def check_instance(context, status):
    """Send a heartbeat whose instance would end a header."""
    known = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    other = StandInUpstream(known.ip, known.service, 'i-1\r\nX-Odd: 1')
    assert other.send_heartbeat() == status


@then('a change that is nested {depth:d} levels deep is answered {status:d}')
def check_nested_change(context, depth, status):
    """Send a change with a nested value of an unknown key."""
    nested = f'{"[" * depth}{"]" * depth}'
    text = f'{{"version":9,"resources":[],"other":{nested}}}'
    answer = context.platform.call_operator_api('config.replace', text, 3)
    assert answer.status_code == status, answer.text


@then(
    'requests to "{path}" at daemon {daemon:d} are answered {status:d} with '
    'each of these load reports'
)
def check_load_reports(context, path, daemon, status):
    """Let the upstream report each load, in answers and health checks."""
    upstream = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    for row in context.table:
        upstream.load = row['report'].replace('400 digits', DIGITS)
        seen = status_of_request(context, daemon, path)
        assert seen == status, (row, seen)


@then('no process has logged an unexpected error')
def check_logs(context):
    """Check the logs of all processes."""
    platform = context.platform
    for name in platform.processes:
        text = platform.log_text(name)
        assert 'unexpected error' not in text, name
        assert 'Traceback' not in text, name


@when('the settings of daemon {number:d} get {problem} and it gets SIGHUP')
def spoil_settings(context, number, problem):
    """Write a setting in front of the others and send the signal."""
    platform = context.platform
    path = platform.folder / f'daemon-{number}.toml'
    nested = f'{"[" * 100000}{"]" * 100000}'
    text = path.read_text()
    if problem == 'a seed with port 99999':
        text = text.replace('seeds = [', 'seeds = ["127.0.0.1:99999", ')
    else:
        text = f'other = {nested}\n{text}'
    path.write_text(text)
    platform.processes[f'daemon-{number}'].send_signal(signal.SIGHUP)


@then('daemon {number:d} logs that its settings were not reloaded')
def check_not_reloaded(context, number):
    """Wait for the log line."""
    platform = context.platform
    wait_until(
        lambda: (
            'settings not reloaded' in platform.log_text(f'daemon-{number}')
        ),
        'the settings are refused',
        3,
    )
