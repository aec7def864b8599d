"""Steps for replicas that end as they acknowledge a change, as processes."""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from functools import partial

from behave import then

from tests.platform.stand_in import REPLICA_COUNT, wait_until
from tests.steps.platform_steps import (
    FIRST_DAEMON,
    HOST,
    configuration_of,
    route_of,
)

DAEMONS = (FIRST_DAEMON, FIRST_DAEMON + 1)
ANSWER_LIMIT_S = 4
SIGNALS = {'killed': signal.SIGKILL, 'frozen': signal.SIGSTOP}
# A replica that is back takes part again before the next one ends.
SETTLE_S = 2


def _request(context, change, version, service):
    """Return the bytes of an operator's request."""
    base = context.sent['version']
    route = route_of(service, '/view/')
    body = {'version': version, 'upsert': {'resources': [route]}}
    context.sent = configuration_of(
        version, service, '/view/', context.services
    )
    if change == 'replace':
        body = context.sent
    text = json.dumps(body)
    return (
        f'POST /-/rpc?call=config.{change} HTTP/1.1\r\nHost: control\r\n'
        f'If-Match: {base}\r\nContent-Length: {len(text)}\r\n\r\n{text}'
    ).encode()


def _send_and_signal(context, number, request, signal_number):
    """Signal a replica with the first byte of its answer; return that."""
    process = context.platform.processes[f'control-{number}']
    host, _, port = context.platform.operator_address(number).partition(':')
    address = (host, int(port))
    with socket.create_connection(address, ANSWER_LIMIT_S) as client:
        client.sendall(request)
        client.setblocking(False)
        limit = time.monotonic() + ANSWER_LIMIT_S
        answer = b''
        while not answer and time.monotonic() < limit:
            # Waits without sleeping, so that the signal is quick.
            try:
                answer = client.recv(4096)
            except BlockingIOError:
                answer = b''
        os.kill(process.pid, signal_number)
    return answer


def _bring_back(context, number, end):
    name = f'control-{number}'
    if end == 'frozen':
        context.platform.processes[name].send_signal(signal.SIGCONT)
        return
    context.platform.processes.pop(name).wait(ANSWER_LIMIT_S)
    context.platform.start_control(number, bootstrap=False)


def _answers(context, service):
    """Return True if both daemons send a request to a service."""
    context.number = getattr(context, 'number', 0) + 1
    path = f'/view/{context.number}'
    answers = [
        context.platform.request(daemon, HOST, path, context.number)
        for daemon in DAEMONS
    ]
    return all(answer.text == service for answer in answers)


@then(
    'in {count:d} rounds a {change} is in force at both daemons within '
    '{limit:g} s after its replica was {end} as it acknowledged it'
)
def check_rounds(context, count, change, limit, end):
    """Move a route between two services, each time through another replica."""
    for index in range(count):
        number = index % REPLICA_COUNT
        service = ('orders', 'sheets')[index % 2]
        request = _request(context, change, 5 + 2 * index, service)
        answer = _send_and_signal(context, number, request, SIGNALS[end])
        assert answer.startswith(b'HTTP/1.1 200'), answer
        wait_until(
            partial(_answers, context, service),
            f'round {index}: {change} in force while replica {number} is {end}',
            limit,
        )
        _bring_back(context, number, end)
        time.sleep(SETTLE_S)
        assert _answers(context, service), f'round {index}: an older version'
