"""Steps for teams on the stand-in platform."""

from __future__ import annotations

import io
import os
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from http.client import HTTPConnection

import requests
from behave import given, then, when

from burdocklead.commands.runner import Streams, run_operator
from tests.platform.stand_in import (
    METRICS_PORT,
    PORTS,
    REPLICA_COUNT,
    wait_until,
)
from tests.steps.platform_steps import (
    FIRST_DAEMON,
    HOST,
    configuration_of,
    route_of,
)

TIMEOUT_MS = 8000
TIMEOUT_S = 10
UNAVAILABLE = 503
DAEMONS = (FIRST_DAEMON, FIRST_DAEMON + 1)


def _team(name, keys):
    spec = {'apiKeys': keys.split(', '), 'priority': 0}
    return {'entryType': 'tenants', 'metadata': {'name': name}, 'spec': spec}


def _route(name, path, *, anonymous=False):
    route = route_of('sheets', path, TIMEOUT_MS)
    route['metadata'] = {'name': name}
    route['spec'].update(allowAnonymous=anonymous, sloMs=TIMEOUT_MS)
    if path == '/slow/':
        route['spec'].update(routeType='unsafe', maxAttempts=1)
    return route


def _headers(key):
    headers = {
        'Host': HOST,
        'X-Attempt-Id': f'call-{time.monotonic_ns()}',
        'X-Timeout-Remaining': str(TIMEOUT_MS),
        'X-Tenant': 'forged',
    }
    return {**headers, 'X-Api-Key': key} if key else headers


def _status(context, daemon, path, key):
    """Return the status of a call, 0 if it got no response."""
    connection = HTTPConnection(
        context.platform.ip(daemon), PORTS['outbound'], timeout=TIMEOUT_S
    )
    try:
        connection.request('GET', path, headers=_headers(key))
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


@when('version {version:d} has a team "{name}" with the keys "{keys}"')
def apply_teams(context, version, name, keys):
    """Apply a configuration of a team and wait until the daemons serve it."""
    sent = configuration_of(
        version, 'sheets', '/view/', context.services, TIMEOUT_MS
    )
    sent['resources'][0]['spec']['allowAnonymous'] = True
    resources = sent['resources']
    resources.insert(1, _route('r-key', '/keyed/'))
    resources.insert(2, _route('r-slow', '/slow/'))
    resources.insert(-1, _team(name, keys))
    context.platform.apply(sent, 0)
    _wait_served(context)
    answer = context.platform.call_operator_api('config.get')
    assert answer.json() == sent, answer.text


def _is_served(context, daemon):
    return _status(context, daemon, '/view/1', '') == 200


def _wait_served(context):
    for daemon in DAEMONS:
        wait_until(partial(_is_served, context, daemon), 'it is served')


@when(
    'a patch to version {version:d} leaves the team "{name}" with the keys '
    '"{keys}"'
)
def patch_team(context, version, name, keys):
    """Replace the team."""
    assert _send_patch(context, version, name, keys) == 200


@when('a patch to version {version:d} with a key "{key}" is answered 400')
def send_invalid_key(context, version, key):
    """Send a patch with a key that no header can carry."""
    assert _send_patch(context, version, 'red', key) == 400


def _send_patch(context, version, name, keys):
    patch = {'version': version, 'upsert': {'resources': [_team(name, keys)]}}
    statuses = []

    def is_answered():
        # The replica may be starting, which leaves the patch undecided.
        try:
            answer = context.platform.call_operator_api(
                'config.patch', patch, version - 1
            )
        except requests.RequestException:
            return False
        statuses.append(answer.status_code)
        return answer.status_code != UNAVAILABLE

    wait_until(is_answered, 'the patch is decided')
    return statuses[-1]


@then(
    'a call with the key "{key}" to "{path}" at daemon {daemon:d} is answered '
    '{status:d}'
)
def check_keyed_call(context, key, path, daemon, status):
    """Send a call once the daemon listens."""
    wait_until(lambda: context.platform.ready_status(daemon), 'it listens')
    seen = _status(context, daemon, path, key)
    assert seen == status, seen


@then(
    'a call without a key to "{path}" at daemon {daemon:d} is answered '
    '{status:d}'
)
def check_keyless_call(context, path, daemon, status):
    """Send a call without a key."""
    seen = _status(context, daemon, path, '')
    assert seen == status, seen


@then(
    'a call with the key "{key}" to "{path}" at daemon {daemon:d} is answered '
    '{status:d} in the end'
)
def check_eventually(context, key, path, daemon, status):
    """Send calls until one is answered; none may be refused for its key."""
    _wait_for_status(context, key, path, daemon, status)


@then(
    'a call without a key to "{path}" at daemon {daemon:d} is answered '
    '{status:d} in the end'
)
def check_keyless_eventually(context, path, daemon, status):
    """Send calls until one is answered; none may be refused."""
    _wait_for_status(context, '', path, daemon, status)


def _wait_for_status(context, key, path, daemon, status):
    seen = set()

    def is_answered():
        seen.add(_status(context, daemon, path, key))
        return status in seen

    wait_until(is_answered, 'it is answered')
    assert seen <= {0, 503, status}, seen


def _last_request(context):
    upstream = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    return upstream.requests_run[-1]


@then('the upstream received the team "{team}" and no key')
def check_received_team(context, team):
    """Check the headers of the last call."""
    headers = _last_request(context).headers
    teams = [text for name, text in headers if name.lower() == 'x-tenant']
    assert teams == [team], headers
    assert 'sEcret' not in str(headers), headers


@then('the upstream received no team and no key')
def check_received_none(context):
    """Check the headers of the last call."""
    headers = _last_request(context).headers
    assert _last_request(context).find('X-Tenant') is None, headers
    assert 'sEcret' not in str(headers), headers


def _raw_call(key):
    lines = [f'{name}: {text}' for name, text in _headers(key).items()]
    return '\r\n'.join(('GET /keyed/7 HTTP/1.1', *lines, '', '')).encode()


def _read_statuses(connection, count):
    """Read the statuses of some responses."""
    received = b''
    while True:
        statuses = re.findall(rb'HTTP/1.1 (\d+)', received)
        if len(statuses) == count and b'\r\n\r\n' in received:
            return [int(one) for one in statuses]
        chunk = connection.recv(65536)
        assert chunk, received
        received += chunk


@when(
    'a call with the key "{key}" is answered {status:d} on a connection that '
    'stays open'
)
def open_connection(context, key, status):
    """Send a call on a new connection and keep it."""
    address = (context.platform.ip(FIRST_DAEMON), PORTS['outbound'])
    context.connection = socket.create_connection(address, TIMEOUT_S)
    context.add_cleanup(context.connection.close)
    context.connection_key = key
    context.connection.sendall(_raw_call(key))
    assert _read_statuses(context.connection, 1) == [status]


@then(
    'after {wait:d} s two pipelined calls on the open connection are answered '
    '{status:d}'
)
def check_pipelined(context, wait, status):
    """Send two calls at once on the open connection."""
    time.sleep(wait)
    context.connection.sendall(_raw_call(context.connection_key) * 2)
    seen = _read_statuses(context.connection, 2)
    assert seen == [status, status], seen


@when('every process is killed and started again')
def restart_all(context):
    """Kill all processes, then start them on the same data."""
    platform = context.platform
    for name in tuple(platform.processes):
        platform.kill(name)
    for number in range(REPLICA_COUNT):
        platform.start_control(number)
    for daemon in DAEMONS:
        service = platform.upstreams[f'daemon-{daemon}'].service
        platform.start_daemon(daemon, service)


@then('the log of daemon {number:d} has a call that was refused with "{text}"')
def check_refusal_logged(context, number, text):
    """Search the lines of calls without an answer."""
    lines = context.platform.log_text(f'daemon-{number}').splitlines()
    refused = [line for line in lines if 'call not answered' in line]
    found = [line for line in refused if text.partition('=')[2] in line]
    assert found, refused[-5:]


@then('no log and no metric contains "{text}"')
def check_secret(context, text):
    """Search the logs of all processes and the metrics of all VMs."""
    logs = [path.read_text() for path in context.platform.folder.glob('*.log')]
    assert len(logs) == REPLICA_COUNT + len(DAEMONS), len(logs)
    assert text not in ''.join(logs)
    for number in (1, 2, 3, *DAEMONS):
        assert text not in _metrics_of(context, number), number


def _metrics_of(context, number):
    """Return the metrics of a VM, whose process may still be starting."""
    url = f'http://{context.platform.ip(number)}:{METRICS_PORT}/metrics'
    answers = []

    def is_answered():
        try:
            answers.append(requests.get(url, timeout=TIMEOUT_S).text)
        except requests.RequestException:
            return False
        return True

    wait_until(is_answered, f'VM {number} serves metrics')
    return answers[-1]


@given(
    'upstream {number:d} takes {work:d} ms for each call and has {slots:d} slot'
)
def limit_upstream(context, number, work, slots):
    """Make an upstream slow once it is asked for slow calls."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    upstream.load = f'0,0,{slots},100'
    upstream.slots = slots
    upstream.slow_ms = work


@when(
    'two calls with the key "{key}" are sent to "{path}" at daemon {number:d}'
)
def send_two_calls(context, key, path, number):
    """Send two calls; the second one waits for the slot of the first."""
    upstream = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    upstream.work_ms = upstream.slow_ms
    pool = ThreadPoolExecutor(2)
    context.add_cleanup(pool.shutdown)
    context.two_calls = [
        pool.submit(_status, context, number, path, key) for _ in range(2)
    ]
    wait_until(lambda: _count_requests(context, path), 'a call runs')
    # The other call has been queued by then.
    time.sleep(0.3)


def _count_requests(context, path):
    upstream = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    return sum(one.target == path for one in upstream.requests_run)


@then('one of the two calls is answered {one:d} and one {other:d}')
def check_two_calls(context, one, other):
    """Compare both statuses."""
    seen = sorted(call.result(TIMEOUT_S) for call in context.two_calls)
    assert seen == [one, other], seen


@then('the upstream ran one call to "{path}"')
def check_ran_once(context, path):
    """Check that the refused call never reached the upstream."""
    assert _count_requests(context, path) == 1


@then('explain lists the cause "{cause}" and prints no "{text}"')
def check_explained(context, cause, text):
    """Explain the calls without an answer from the logs."""
    output = io.StringIO()
    files = map(str, context.platform.folder.glob('daemon-*.log'))
    code = run_operator(
        ['explain', *files], os.environ, Streams(output, output)
    )
    assert code == 0, output.getvalue()
    assert cause in output.getvalue(), output.getvalue()
    assert text not in output.getvalue(), output.getvalue()
