"""Steps for bodies of many sizes, sent in one piece or in many."""

from __future__ import annotations

import contextlib
import hashlib
import json
import math
import random
import time
from dataclasses import dataclass
from functools import partial
from http.client import HTTPConnection

import requests
from behave import given, then

from burdocklead.connection.http_messages import HttpResponse
from burdocklead.version.configuration_file import (
    decode_deployment,
    encode_checked,
)
from burdocklead.version.patch import apply_patch
from tests.platform.stand_in import (
    METRICS_PORT,
    PORTS,
    REPLICA_COUNT,
    StandInPlatform,
    StandInUpstream,
    wait_until,
)
from tests.steps.platform_modules import import_platform_module
from tests.steps.platform_steps import (
    FIRST_DAEMON,
    HOST,
    MS_PER_S,
    apply_configuration,
    configuration_of,
    route_of,
)

decoder = import_platform_module('configuration_decoder')
DAEMONS = (FIRST_DAEMON, FIRST_DAEMON + 1)
CALL_TIMEOUT_S = 30
ROUTE_BYTES = 260  # Of one route in JSON, rounded up.
MAX_ROUTES = 1800
MIN_BODY_BYTES = 2000
STORED = 'stored'
THRESHOLDS = (262144, 1048576)
NEAR_THRESHOLD = 3
MAX_DRAWN_BYTES = 4000000
MAX_PIECES = 40
MAX_ANSWER_BYTES = 16777216
UNAVAILABLE = 503
BAD_FIELDS = {
    'a field given twice': b'"note": 1',
    'a field nested 100000 deep': b'"deep": %b%b'
    % (b'[' * 100000, b']' * 100000),
    "a field that isn't UTF-8": b'"odd": "\xff"',
    'an escape that is no character': r'"odd": "\ud800"'.encode(),
    'a number out of range': b'"odd": 1e400',
    'a number of 5000 digits': b'"odd": %b' % (b'1' * 5000),
}


@dataclass(frozen=True)
class Sending:
    """How a body is sent.

    Attributes:
        pieces: Number of pieces.
        chunked: True to send chunks, False to announce the length.
    """

    pieces: int = 1
    chunked: bool = False


ONE_PIECE = Sending()


def _split(body, count):
    """Return a body in pieces of nearly the same size."""
    size = max(1, math.ceil(len(body) / count))
    return [body[start : start + size] for start in range(0, len(body), size)]


def send_body(address, target, body, headers, sending):
    """Send a body as described; return the response with its content."""
    host, _, port = address.partition(':')
    connection = HTTPConnection(host, int(port), CALL_TIMEOUT_S)
    sent_headers = {'Content-Length': str(len(body)), **headers}
    if sending.chunked:
        sent_headers.pop('Content-Length')
        sent_headers['Transfer-Encoding'] = 'chunked'
    with contextlib.closing(connection):
        # The server may refuse a body that it has not read to its end.
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.request(
                'POST',
                target,
                body=iter(_split(body, sending.pieces)),
                headers=sent_headers,
                encode_chunked=sending.chunked,
            )
        response = connection.getresponse()
        return response, response.read()


def _send_change(context, call, body, base, sending=ONE_PIECE):
    """Send a change to a replica until it is decided; return the answer."""
    number = context.rng.randrange(REPLICA_COUNT)
    address = context.platform.operator_address(number)
    target = f'/-/rpc?call=config.{call}'
    answers = []

    def is_decided():
        answer = send_body(
            address, target, body, {'If-Match': str(base)}, sending
        )
        answers.append(answer)
        return answer[0].status != UNAVAILABLE

    wait_until(is_decided, 'the change is decided', CALL_TIMEOUT_S)
    return answers[-1]


def _filler_route(name):
    route = route_of('sheets', f'/{name}/')
    return {**route, 'metadata': {'name': name}}


def _change_with_note(context, call, version, routes, note):
    """Return a change with added routes and a note in its last item."""
    if call == 'replace':
        change = configuration_of(version, 'sheets', '/view/', context.services)
        items = [*routes, *change['resources']]
        change['resources'] = items
    else:
        items = [*routes, route_of('sheets', '/view/')]
        change = {'version': version, 'upsert': {'resources': items}}
    items[-1]['spec']['note'] = note
    return change


def _sized_change(context, call, version, size):
    """Return a change whose JSON text has a size in bytes.

    Half of it are routes, up to a limit; the rest is a text that can't be
    compressed well.
    """
    count = min(size // 2 // ROUTE_BYTES, MAX_ROUTES)
    routes = [_filler_route(f'r-{version}-{one}') for one in range(count)]
    change = _change_with_note(context, call, version, routes, '')
    missing = size - len(json.dumps(change))
    note = context.rng.randbytes(missing // 2 + 1).hex()[:missing]
    return _change_with_note(context, call, version, routes, note)


def _stored_size(context, call, change):
    """Return the size of the configuration file after a change."""
    body = json.dumps(change).encode()
    if call == 'replace':
        return len(encode_checked(decoder.decode_configuration(body)))
    current = json.dumps(context.sent).encode()
    # Replicas patch what they have stored.
    stored = encode_checked(decoder.decode_configuration(current))
    base = decode_deployment(stored)
    return len(encode_checked(apply_patch(base, decoder.decode_patch(body))))


def _change_of(context, call, version, size):
    """Return a change of a size such as ``1000`` or ``1000 stored``."""
    number, _, kind = size.partition(' ')
    change = _sized_change(context, call, version, int(number))
    while kind == STORED:
        excess = _stored_size(context, call, change) - int(number)
        if not excess:
            break
        size_sent = len(json.dumps(change)) - excess
        change = _sized_change(context, call, version, size_sent)
    return change


def _items_of(configuration):
    return {
        (item['entryType'], item['metadata'].get('name', '')): item['spec']
        for item in configuration['resources']
    }


def _merge(context, call, change):
    """Return the configuration after a change."""
    if call == 'replace':
        return change
    items = {
        (item['entryType'], item['metadata'].get('name', '')): item
        for item in (
            *context.sent['resources'],
            *change['upsert']['resources'],
        )
    }
    return {'version': change['version'], 'resources': list(items.values())}


def _check_read_back(context):
    """Read the configuration at each replica; check what daemons use."""
    for number in range(REPLICA_COUNT):
        answers = []

        def is_read(number=number, answers=answers):
            answer = context.platform.call_operator_api(
                'config.get', control=number
            )
            answers.append(answer)
            return answer.status_code != UNAVAILABLE

        wait_until(is_read, f'replica {number} answers')
        read = answers[-1].json()
        assert read['version'] == context.sent['version'], read['version']
        assert _items_of(read) == _items_of(context.sent), 'other items'
    for daemon in DAEMONS:
        wait_until(
            partial(_uses_sent, context, daemon),
            f'daemon {daemon} uses version {context.sent["version"]}',
        )


def _uses_sent(context, daemon):
    """Return True if a daemon uses the version that was sent last."""
    url = f'http://{context.platform.ip(daemon)}:{METRICS_PORT}/metrics'
    wanted = f'burdocklead_version_in_force {context.sent["version"]}\n'
    with contextlib.suppress(requests.RequestException):
        return wanted in requests.get(url, timeout=CALL_TIMEOUT_S).text
    return False


def _decide_and_read(context, call, size, sending, status):
    """Send a change of a size, check its answer and read it back."""
    version = context.sent['version'] + 2
    change = _change_of(context, call, version, size)
    body = json.dumps(change).encode()
    base = context.sent['version']
    response, content = _send_change(context, call, body, base, sending)
    described = f'{call} of {size} bytes: {response.status} {content[:200]}'
    assert response.status == status, described
    if status == 200:
        context.sent = _merge(context, call, change)
    _check_read_back(context)


def _sending_of(row):
    return Sending(int(row['pieces']), row['framing'] == 'chunks')


@then('each of these changes is decided and read back everywhere')
def check_changes(context):
    """Send the changes of the table one after another."""
    context.rng = random.Random(1)
    for row in context.table:
        _decide_and_read(
            context,
            row['call'],
            row['bytes'],
            _sending_of(row),
            int(row['status']),
        )


@then(
    '{count:d} changes with sizes and pieces drawn with seed {seed:d} are read '
    'back everywhere'
)
def check_drawn_changes(context, count, seed):
    """Draw how changes are sent; half of the sizes are near a threshold."""
    rng = random.Random(seed)
    context.rng = rng
    for _ in range(count):
        threshold = rng.choice(THRESHOLDS)
        near = threshold + rng.randint(-NEAR_THRESHOLD, NEAR_THRESHOLD)
        low, high = math.log(MIN_BODY_BYTES), math.log(MAX_DRAWN_BYTES)
        size = rng.choice((near, int(math.exp(rng.uniform(low, high)))))
        sending = Sending(rng.randint(1, MAX_PIECES), rng.choice((True, False)))
        call = rng.choice(('replace', 'patch'))
        _decide_and_read(context, call, str(size), sending, 200)


def _bad_text(context, call, content, size):
    """Return an invalid body of at least a size in bytes."""
    change = _sized_change(context, call, context.sent['version'] + 2, size)
    text = json.dumps(change).encode()
    match content:
        case 'a number':
            return b'1' * size
        case 'a truncated configuration':
            return text[:-1]
    return text.replace(b'"note":', b'%b, "note":' % BAD_FIELDS[content], 1)


@then(
    'bodies of {small:d} and {large:d} bytes are refused with 400 by each '
    'change'
)
def check_bad_bodies(context, small, large):
    """Send each content as a complete configuration and as a patch."""
    context.rng = random.Random(1)
    base = context.sent['version']
    for row in context.table:
        for call in ('replace', 'patch'):
            for size in (small, large):
                body = _bad_text(context, call, row['content'], size)
                response, content = _send_change(context, call, body, base)
                described = f'{call} of {row["content"]}, {size} bytes'
                assert response.status == 400, (described, content)
    _check_read_back(context)


@then('an evacuation with a body of these sizes is answered as follows')
def check_evacuation_bodies(context):
    """Start an evacuation with bodies that are not used."""
    address = context.platform.operator_address(0)
    target = '/-/rpc?call=evacuations.start&of=vancouver'
    for row in context.table:
        body = b'x' * int(row['bytes'])
        response, _ = send_body(address, target, body, {}, ONE_PIECE)
        assert response.status == int(row['status']), row


@then(
    'a heartbeat at daemon {daemon:d} with a body of these sizes is answered '
    'as follows'
)
def check_heartbeat_bodies(context, daemon):
    """Send heartbeats with a long field that is not used."""
    upstream = context.platform.upstreams[f'daemon-{daemon}']
    for row in context.table:
        body = json.dumps(upstream.heartbeat(note=''))
        padding = 'x' * (int(row['bytes']) - len(body))
        body = body.replace('"note": ""', f'"note": "{padding}"')
        status = upstream.call('instances.heartbeat', body)
        assert status == int(row['status']), (dict(row.as_dict()), status)


def _echo_of(body):
    """Return the body, or its digest if it is longer than answers may be."""
    if len(body) > MAX_ANSWER_BYTES:
        return hashlib.sha256(body).digest()
    return bytes(body)


class EchoUpstream(StandInUpstream):
    """Answers with the body of the request."""

    async def handle(self, request):
        """Answer a request with its body, and a health check without one."""
        answer = await super().handle(request)
        if request.target == '/health' or not request.body:
            return answer
        body = _echo_of(request.body)
        # A kept request would keep its memory.
        self.requests_run.clear()
        return HttpResponse(answer.status, answer.headers, body)


@given(
    'a platform with {memory:d} MB per process whose upstreams echo the bodies '
    'of requests'
)
def start_echo_platform(context, memory):
    """Start the platform with one upstream of each service."""
    context.services = ['orders', 'sheets']
    context.platform = StandInPlatform(context.folder, {'memoryMb': memory})
    context.add_cleanup(context.platform.close)
    context.platform.start(['sheets', 'orders'], EchoUpstream)
    timeout_ms = CALL_TIMEOUT_S * MS_PER_S
    apply_configuration(context, 3, '/view/', 'sheets', timeout_ms)


@then('at both daemons requests of these sizes are answered as follows')
def check_requests(context):
    """Compare the answers with what was sent; one daemon forwards by link."""
    context.rng = random.Random(1)
    for number, row in enumerate(context.table):
        body = context.rng.randbytes(int(row['bytes']))
        for daemon in DAEMONS:
            _check_request(context, daemon, number, body, row)


def _check_request(context, daemon, number, body, row):
    address = f'{context.platform.ip(daemon)}:{PORTS["outbound"]}'
    headers = {
        'Host': HOST,
        'X-Attempt-Id': f'sized-{daemon}-{number}',
        'X-Timeout-Remaining': str(CALL_TIMEOUT_S * MS_PER_S),
    }
    started = time.monotonic()
    response, content = send_body(
        address, '/view/1', body, headers, _sending_of(row)
    )
    took = f'{time.monotonic() - started:.1f} s'
    described = (daemon, dict(row.as_dict()), response.status, took)
    assert response.status == int(row['status']), (described, content[:200])
    if response.status == 200:
        assert content == _echo_of(body), described
