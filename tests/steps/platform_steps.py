"""Steps for the programs on the stand-in platform."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from functools import partial

import requests
from behave import given, then, when

from tests.platform.stand_in import (
    METRICS_PORT,
    REPLICA_COUNT,
    ROOT,
    StandInPlatform,
    StandInUpstream,
    wait_until,
)

HOST = 'records.example'
FIRST_DAEMON = 20
EXIT_TIMEOUT_S = 20
MS_PER_S = 1000
MAX_BODY_BYTES = 67108864


def route_of(service, path, timeout_ms=1000):
    """Return a route in the platform's JSON form."""
    return {
        'entryType': 'routes',
        'metadata': {'name': 'r-main'},
        'spec': {
            'host': HOST,
            'pathPrefix': path,
            'routeType': 'safe',
            'timeoutMs': timeout_ms,
            'sloMs': 400,
            'priority': 0,
            'service': service,
            'maxAttempts': 2,
        },
    }


def configuration_of(
    version,
    service,
    path,
    services,
    timeout_ms=1000,
    max_body_bytes=MAX_BODY_BYTES,
):
    """Return a complete configuration in the platform's JSON form."""
    items = [route_of(service, path, timeout_ms)]
    items.extend(
        {
            'entryType': 'services',
            'metadata': {'name': name},
            'spec': {
                'healthPath': '/health',
                'maxConnections': 260,
                'protocol': 'h1',
                'tls': False,
            },
        }
        for name in services
    )
    items.append(
        {
            'entryType': 'limits',
            'metadata': {},
            'spec': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': max_body_bytes,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
    )
    return {'version': version, 'resources': items}


@given('a platform with the services "{one}", "{two}"')
def start_platform(context, one, two):
    """Start the control replicas, daemons and upstreams."""
    context.services = sorted({one, two})
    context.platform = StandInPlatform(context.folder)
    context.add_cleanup(context.platform.close)
    context.platform.start([one, two])


@when('version {version:d} routes "{path}" to "{service}"')
def apply_version(context, version, path, service):
    """Apply the first configuration."""
    apply_configuration(context, version, path, service)


def apply_configuration(
    context,
    version,
    path,
    service,
    timeout_ms=1000,
    max_body_bytes=MAX_BODY_BYTES,
):
    """Apply a configuration and wait until all daemons serve it."""
    context.sent = configuration_of(
        version, service, path, context.services, timeout_ms, max_body_bytes
    )
    context.platform.apply(context.sent, 0)
    known = context.platform.services().count(service)
    for daemon in (FIRST_DAEMON, FIRST_DAEMON + 1):
        wait_until(partial(_is_serving, context, daemon, f'{path}1'), 'served')
        text = f'burdocklead_upstreams{{service="{service}"}} {known}'
        check_metrics(context, daemon, text)


@when('a patch to version {version:d} routes "{path}" to "{service}"')
def patch_version(context, version, path, service):
    """Patch the route and remove an unknown one."""
    patch = {
        'version': version,
        'upsert': {'resources': [route_of(service, path)]},
        'remove': {'routes': ['r-unknown']},
    }
    answer = context.platform.call_operator_api('config.patch', patch, 3, 1)
    assert answer.status_code == 200, answer.text


def _is_serving(context, daemon, path):
    ready = context.platform.ready_status(daemon) == 200
    return ready and status_of_request(context, daemon, path) == 200


def _request(context, daemon, path):
    context.number = getattr(context, 'number', 0) + 1
    return context.platform.request(daemon, HOST, path, context.number)


def status_of_request(context, daemon, path):
    """Return the status of one request, 0 if it got no response."""
    try:
        return _request(context, daemon, path).status_code
    except requests.RequestException:
        return 0


@then('every daemon is ready')
def check_ready(context):
    """Check the readiness of both daemons."""
    for daemon in (FIRST_DAEMON, FIRST_DAEMON + 1):
        assert context.platform.ready_status(daemon) == 200, daemon


@then(
    'after {wait:d} s a request to "{path}" at daemon {daemon:d} is answered '
    'by "{service}"'
)
def check_answer_later(context, wait, path, daemon, service):
    """Wait for the longest time that a change may take, then check."""
    time.sleep(wait)
    check_answer(context, path, daemon, service)


@then('a request to "{path}" at daemon {daemon:d} is answered by "{service}"')
def check_answer(context, path, daemon, service):
    """Check the body, the signature and the ID of the answer."""
    wait_until(
        lambda: status_of_request(context, daemon, path) == 200, 'served', 3
    )
    answer = _request(context, daemon, path)
    assert answer.status_code == 200, answer.text
    assert answer.text == service, answer.text
    assert answer.headers['X-Response-Signature'].startswith('signed-')
    assert answer.headers['X-Attempt-Id'] == f'call-{context.number}'


@then(
    'the upstream received the caller service "{service}" and its own instance'
)
def check_headers(context, service):
    """Check the headers of the last request at the upstream."""
    upstream = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    request = upstream.requests_run[-1]
    assert request.find('X-Caller-Service') == service, request.headers
    assert request.find('X-Expected-Instance') == upstream.instance
    assert 0 < int(request.find('X-Timeout-Remaining')) <= 1000
    assert request.find('Host') == HOST


@then('a request to "{path}" at daemon {daemon:d} is answered {status:d}')
def checkstatus_of_request(context, path, daemon, status):
    """Check the status of one request."""
    assert status_of_request(context, daemon, path) == status


@then('the same change sent to another replica is answered {status:d}')
def check_repeated_change(context, status):
    """Send the change again."""
    answer = context.platform.call_operator_api(
        'config.replace', context.sent, 0, 2
    )
    assert answer.status_code == status, answer.text


@then('another change of the same base version is answered {status:d}')
def check_concurrent_change(context, status):
    """Send a change whose base version was replaced."""
    changed = {**context.sent, 'version': 9}
    answer = context.platform.call_operator_api('config.replace', changed, 0, 1)
    assert answer.status_code == status, answer.text


@then('a change of the same version is answered {status:d}')
def check_same_version(context, status):
    """Send a version that is not above the one in force."""
    answer = context.platform.call_operator_api(
        'config.patch', {'version': 3, 'remove': {'routes': ['x']}}, 3
    )
    assert answer.status_code == status, answer.text


@then('a change that names an unknown service is answered {status:d}')
def check_unknown_service(context, status):
    """Send a route to a service that is not configured."""
    changed = configuration_of(9, 'nowhere', '/view/', context.services)
    answer = context.platform.call_operator_api('config.replace', changed, 3)
    assert answer.status_code == status, answer.text


@then('a truncated change is answered {status:d}')
def check_truncated_change(context, status):
    """Send a body without its end."""
    text = json.dumps({**context.sent, 'version': 9})[:-40]
    answer = context.platform.call_operator_api('config.replace', text, 3)
    assert answer.status_code == status, answer.text


@then('reading the configuration returns what was sent')
def check_read(context):
    """Read the configuration at every replica."""
    for control in range(3):
        answer = context.platform.call_operator_api(
            'config.get', control=control
        )
        assert answer.status_code == 200, answer.text
        assert answer.json() == context.sent, answer.text


@when(
    'upstream {number:d} reports that it drains while requests are sent for '
    '{wait:d} s'
)
def drain_upstream(context, number, wait):
    """Send requests while the upstream drains."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    upstream.state = 'draining'
    assert upstream.send_heartbeat() == 200
    context.drained_at = time.monotonic()
    context.statuses = []
    while time.monotonic() < context.drained_at + wait:
        context.statuses.append(status_of_request(context, number, '/view/7'))


@then('all requests were answered {status:d}')
def check_statuses(context, status):
    """Check the statuses that the clients received."""
    assert set(context.statuses) == {status}, context.statuses


@then(
    'upstream {number:d} ran no call later than {wait:d} s after its heartbeat'
)
def check_drained(context, number, wait):
    """Check the time of the last request and that other upstreams ran some."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    assert upstream.last_request_at < context.drained_at + wait
    assert len(upstream.requests_run) < len(context.statuses)


@then('a heartbeat without a required field is answered {status:d}')
def check_incomplete_heartbeat(context, status):
    """Send a heartbeat without slots."""
    upstream = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    body = json.dumps({'service': 'sheets', 'state': 'ready', 'seq': 1})
    assert upstream.call('instances.heartbeat', body) == status


@then('a heartbeat of another service is answered {status:d}')
def check_heartbeat_of_other_service(context, status):
    """Send a heartbeat of a service that the daemon does not serve."""
    upstream = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    assert upstream.send_heartbeat(service='orders') == status


@then('a heartbeat that is not JSON is answered {status:d}')
def check_invalid_heartbeat(context, status):
    """Send a body that is not JSON."""
    upstream = context.platform.upstreams[f'daemon-{FIRST_DAEMON}']
    assert upstream.call('instances.heartbeat', 'garbled') == status


@when(
    'upstream {number:d} sends no more heartbeats and daemon {daemon:d} is '
    'killed and restarted'
)
def restart_daemon(context, number, daemon):
    """Restart a daemon whose upstream sends no heartbeats."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    upstream.state = 'silent'
    context.platform.kill(f'daemon-{daemon}')
    upstream.state = 'ready'
    upstream.send_heartbeat = lambda **changes: 0
    context.platform.start_daemon(daemon, upstream.service)


@when(
    'upstream {number:d} deregisters and daemon {daemon:d} is stopped and '
    'started again'
)
def depart_and_restart_daemon(context, number, daemon):
    """Stop the daemon of a leaving upstream as planned and start it again."""
    platform = context.platform
    upstream = platform.upstreams[f'daemon-{number}']
    upstream.state = 'leaving'
    deregister(context, number)
    platform.kill(f'daemon-{daemon}', signal.SIGTERM)
    platform.start_daemon(daemon, upstream.service)
    wait_until(lambda: platform.ready_status(daemon) == 200, 'it is ready')


@then(
    'a request to "{path}" at daemon {daemon:d} is answered 503 with '
    'Retry-After'
)
def check_retry_after(context, path, daemon):
    """Wait until the daemon listens and check its refusal."""
    platform = context.platform
    wait_until(lambda: platform.ready_status(daemon), 'the daemon listens')
    answer = _request(context, daemon, path)
    assert answer.status_code == 503, answer.status_code
    retry_after_ms = int(float(answer.headers['Retry-After']) * MS_PER_S)
    assert retry_after_ms in range(200, 700), retry_after_ms


@then('the metrics of VM {number:d} contain "{text}"')
def check_metrics(context, number, text):
    """Wait until the metrics contain a text; they may lag by a second."""
    url = f'http://{context.platform.ip(number)}:{METRICS_PORT}/metrics'
    wait_until(lambda: text in requests.get(url, timeout=1).text, text)


@when('the metrics port of VM {number:d} is in use while its daemon restarts')
def occupy_metrics_port(context, number):
    """Listen on the metrics port while the daemon is down."""
    platform = context.platform
    service = platform.upstreams[f'daemon-{number}'].service
    platform.kill(f'daemon-{number}')
    taken = socket.create_server((platform.ip(number), METRICS_PORT))
    context.add_cleanup(taken.close)
    platform.start_daemon(number, service)
    wait_until(partial(_is_serving, context, number, '/view/1'), 'served')
    assert 'metrics not served' in platform.log_text(f'daemon-{number}')


@when('upstream {number:d} deregisters')
def deregister(context, number):
    """Deregister an upstream that stays healthy for a while."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    assert upstream.call('instances.deregister') == 200


@then(
    'after {wait:d} s a request to "{path}" at daemon {daemon:d} is answered '
    '{status:d}'
)
def check_status_later(context, wait, path, daemon, status):
    """Wait for the longest time that a drain may take, then check."""
    time.sleep(wait)
    checkstatus_of_request(context, path, daemon, status)


@then('a late heartbeat of upstream {number:d} changes nothing')
def check_late_heartbeat(context, number):
    """Send a heartbeat from before the process left."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    assert StandInUpstream.send_heartbeat(upstream, state='ready') == 200
    check_status_later(context, 1, '/view/7', FIRST_DAEMON + 1, 503)


@when('upstream {number:d} starts again under its instance name')
def restart_upstream(context, number):
    """Send the heartbeat of a new process."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    started_ms = int(time.time() * MS_PER_S)
    upstream.state = 'ready'
    assert StandInUpstream.send_heartbeat(upstream, born=started_ms) == 200


@when('replica {number:d} loses its disk and restarts')
def restart_without_disk(context, number):
    """Restart a replica with an empty data folder."""
    platform = context.platform
    platform.kill(f'control-{number}')
    folder = platform.folder / f'data-{number}'
    for path in folder.iterdir():
        path.unlink()
    platform.start_control(number, bootstrap=False)


@then(
    'replica {number:d} is a member of the set under a new ID after {wait:d} s'
)
def check_replica_joined(context, number, wait):
    """Wait until the old replica counts as lost and is replaced, then read."""
    time.sleep(wait)
    answer = context.platform.call_operator_api('config.get', control=number)
    assert answer.status_code == 200, answer.text


@when('a replica {number:d} starts that the set does not need')
def start_spare_replica(context, number):
    """Start one more replica and wait until it knows the set."""
    context.platform.start_control(number, bootstrap=False)
    wait_until(
        lambda: operatorstatus_of_request(context, number) == 307,
        'it knows the set',
    )


def operatorstatus_of_request(context, number):
    """Return the status of an operator call, 0 if it got no response."""
    try:
        return context.platform.call_operator_api(
            'config.get', control=number, follow=False
        ).status_code
    except requests.RequestException:
        return 0


@then('replica {number:d} redirects the same change to a replica of the set')
def check_redirect(context, number):
    """Send the change to the replica that is not in the set."""
    platform = context.platform
    answer = platform.call_operator_api(
        'config.replace', context.sent, 0, number, follow=False
    )
    location = answer.headers['Location']
    targets = [
        f'http://{seed}/-/rpc?call=config.replace' for seed in platform.seeds()
    ]
    assert location in targets[:REPLICA_COUNT], location


@then('the change that follows the redirect is answered {status:d}')
def check_followed(context, status):
    """Send the change again and follow the redirect."""
    answer = context.platform.call_operator_api(
        'config.replace', context.sent, 0, REPLICA_COUNT
    )
    assert answer.status_code == status, answer.text
    assert answer.history, 'the call was not redirected'


@when('the replicas of the set are killed')
def kill_set(context):
    """Kill all replicas but the spare one."""
    for number in range(REPLICA_COUNT):
        context.platform.kill(f'control-{number}')


@then('replica {number:d} answers an operator call {status:d}')
def check_operatorstatus_of_request(context, number, status):
    """Wait until the replica notices that the others are gone."""
    wait_until(
        lambda: operatorstatus_of_request(context, number) == status,
        'no redirect',
        5,
    )


@when('replica {number:d} is killed')
def kill_replica(context, number):
    """Kill a second replica, so that the restarted one is needed."""
    context.platform.kill(f'control-{number}')


@then('replica {number:d} returns version {version:d}')
def check_version(context, version, number):
    """Read the version of the configuration."""
    answer = context.platform.call_operator_api('config.get', control=number)
    assert answer.json()['version'] == version, answer.text


@then('a program that runs in the folder imports the standard module "{name}"')
def check_standard_module(context, name):
    """Import a module with the folder first on the search path."""
    script = f'import {name}; print({name}.__file__, {name}.system())'
    code = (
        'import sys; sys.path.insert(0, "platform"); '
        f'sys.path.append("."); {script}'
    )
    output = subprocess.run(
        [sys.executable, '-c', code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert str(ROOT) not in output, output


@then('the program "{program}" imports no module of "{package}"')
def check_imports(context, program, package):
    """Import a program and list the modules that it brings."""
    code = (
        'import sys; sys.path.insert(0, "platform"); sys.path.append("."); '
        f'import {program}; print(*sys.modules)'
    )
    output = subprocess.run(
        [sys.executable, '-c', code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    found = [name for name in output.split() if name.startswith(package)]
    assert not found, found


@given('a settings file that {problem}')
def write_settings(context, problem):
    """Write a settings file that is not valid, or none."""
    context.path = context.folder / 'boot.toml'
    match problem:
        case 'is not TOML':
            context.path.write_text('nodeName = ')
        case "lacks the VM's name":
            context.path.write_text('ip = "127.0.0.1"\nzone = "a"\n')


@then('the daemon exits with the error "{reason}"')
def check_ended(context, reason):
    """Run the daemon and check its exit code and error message."""
    completed = subprocess.run(
        [sys.executable, str(ROOT / 'platform' / 'daemon_role.py')],
        env={
            **os.environ,
            'BURDOCKLEAD_CONFIG': str(context.path),
            'PYTHONPATH': str(ROOT),
        },
        capture_output=True,
        text=True,
        timeout=EXIT_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 1, completed
    assert reason in completed.stderr, completed.stderr
    assert 'Traceback' not in completed.stderr, completed.stderr
