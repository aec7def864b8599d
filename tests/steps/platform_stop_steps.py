"""Steps for stops of daemons on the stand-in platform."""

from __future__ import annotations

import signal
import socket
import time
from collections import Counter

from behave import then, when

from tests.platform.stand_in import PORTS
from tests.steps.platform_steps import HOST, apply_configuration

READ_TIMEOUT_S = 6
STOP_LIMIT_S = 6  # As in the settings of the stand-in platform.
READ_BYTES = 65536
LONG_TIMEOUT_MS = 10000
CALL_ID = 'late-1'
REQUEST = (
    'POST /view/7 HTTP/1.1\r\nHost: {0}\r\nX-Attempt-Id: {1}\r\n'
    'X-Timeout-Remaining: {2}\r\nContent-Length: 8\r\n\r\nhalfrest'
)


@when(
    'version {version:d} routes "{path}" to "{service}", whose upstream takes '
    '{work_ms:d} ms'
)
def apply_slow_version(context, version, path, service, work_ms):
    """Apply a route with a long timeout and slow the upstream down."""
    apply_configuration(context, version, path, service, LONG_TIMEOUT_MS)
    for upstream in context.platform.upstreams.values():
        upstream.work_ms = work_ms


@when('daemon {number:d} gets SIGTERM')
def stop_daemon(context, number):
    """Send the signal that starts a planned stop."""
    context.platform.processes[f'daemon-{number}'].send_signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()


@when(
    'a client of daemon {number:d} sends half of a request {half_s:g} s later '
    'and the rest {rest_s:g} s later'
)
def send_in_halves(context, number, half_s, rest_s):
    """Complete a request while the daemon stops, and read to the end."""
    address = (context.platform.ip(number), PORTS['outbound'])
    request = REQUEST.format(HOST, CALL_ID, LONG_TIMEOUT_MS).encode()
    with socket.create_connection(address, READ_TIMEOUT_S) as client:
        sleep_until(context.stopped_at + half_s)
        client.sendall(request[:-4])
        sleep_until(context.stopped_at + rest_s)
        client.sendall(request[-4:])
        context.response = read_to_end(client)


def sleep_until(at):
    """Sleep until a monotonic time in s."""
    time.sleep(max(at - time.monotonic(), 0))


def read_to_end(client):
    """Return all that a connection still receives."""
    parts = []
    while part := client.recv(READ_BYTES):
        parts.append(part)
    return b''.join(parts).decode()


@then('the client is told {status:d} with "{one}" and "{two}"')
def check_response(context, status, one, two):
    """Check the only response and its headers."""
    response = context.response
    assert response.startswith(f'HTTP/1.1 {status}'), response
    assert response.count('HTTP/1.1') == 1, response
    assert one in response, response
    assert two in response, response


@then('no upstream has run its request')
def check_not_run(context):
    """Check the requests that the upstreams received."""
    for upstream in context.platform.upstreams.values():
        ids = [one.find('X-Attempt-Id') for one in upstream.requests_run]
        assert CALL_ID not in ids, ids


@when('{count:d} clients of daemon {number:d} send a request {at_s:g} s later')
def send_requests(context, count, number, at_s):
    """Send requests on connections of their own, and read to their ends."""
    address = (context.platform.ip(number), PORTS['outbound'])
    sleep_until(context.stopped_at + at_s)
    clients = []
    for call in range(count):
        client = socket.create_connection(address, STOP_LIMIT_S)
        request = REQUEST.format(HOST, f'late-{call}', LONG_TIMEOUT_MS)
        client.sendall(request.encode())
        clients.append(client)
    context.responses = [read_to_end(client) for client in clients]
    context.answered_at = time.monotonic()


@then('all of them are answered before the daemon is killed')
def check_answered_in_time(context):
    """Check the time of the last response and that each is complete."""
    assert context.answered_at < context.stopped_at + STOP_LIMIT_S
    for response in context.responses:
        assert response.startswith('HTTP/1.1 '), response
        assert 'Connection: close' in response, response


@then('{many:d} of them are told {one:d} and {few:d} of them {other:d}')
def count_statuses(context, many, one, few, other):
    """Count the responses by status."""
    statuses = Counter(
        int(response.split(' ')[1]) for response in context.responses
    )
    assert statuses == {one: many, other: few}, statuses
