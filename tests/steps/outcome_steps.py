"""Steps for outcomes of calls: raw calls, signals and failing links."""

from __future__ import annotations

import codecs
import re
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import requests
from behave import given, then, when

from burdocklead.request.headers import (
    CAUSE_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
)
from devtools.forwarder_process import start_forwarder
from devtools.local_deployment import LocalDeployment, wait_until

RAW_TIMEOUT_S = 10
CONTINUE_MARK = b'{continue}'


def raw_call(address, content):
    """Send bytes to a caller port and return status, headers and body."""
    host, _, port = address.rpartition(':')
    received = b''
    with socket.create_connection((host, int(port)), RAW_TIMEOUT_S) as raw:
        first, _, rest = content.partition(CONTINUE_MARK)
        raw.sendall(first)
        if rest:
            assert raw.recv(65536).startswith(b'HTTP/1.1 100 ')
            raw.sendall(rest)
        while b'\r\n\r\n' not in received:
            chunk = raw.recv(65536)
            if not chunk:
                break
            received += chunk
        head, _, body = received.partition(b'\r\n\r\n')
        length = int(re.search(rb'Content-Length: (\d+)', head)[1])
        while len(body) < length:
            body += raw.recv(65536)
    status_line, *lines = head.decode().split('\r\n')
    headers = dict(line.split(': ', 1) for line in lines)
    return int(status_line.split()[1]), headers, body


def expand_placeholders(text):
    """Expand placeholders and escape sequences of a call in a feature."""
    text = re.sub(r'\{(\d+) bytes\}', lambda match: 'x' * int(match[1]), text)
    text = re.sub(
        r'\{(\d+) headers\}',
        lambda match: r'X-Filler: 1\r\n' * int(match[1]),
        text,
    )
    return codecs.escape_decode(text.encode())[0]


def normalized(pairs):
    """Return headers as a set of pairs with lower-case names."""
    return {(str(name).lower(), str(text)) for name, text in pairs}


def first_daemon_address(context, kind='http'):
    """Return an address of the first daemon."""
    return next(iter(context.deployment.daemons.values())).addresses[kind]


@when('raw bytes are sent to the caller port of "{daemon}"')
def send_raw(context, daemon):
    address = context.deployment.daemons[daemon].addresses['http']
    context.raw = raw_call(address, expand_placeholders(context.text))


@then(
    'the raw response has status {status:d}, outcome "{outcome}" '
    'and cause "{cause}"'
)
def check_raw_response(context, status, outcome, cause):
    compare_raw(context.raw, status, outcome, cause)


def compare_raw(seen, status, outcome, cause):
    """Compare status, headers and body with what was expected."""
    seen_status, headers, body = seen
    content = msgspec.json.decode(body)
    assert seen_status == status, seen
    assert headers[OUTCOME_HEADER] == outcome, seen
    assert headers[CAUSE_HEADER] == cause, seen
    assert (content['outcome'], content['cause']) == (outcome, cause), seen


@then('each raw call is refused with the outcome "not-run"')
def check_each_raw_call(context):
    """Send each call of the table and check its response."""
    for row in context.table:
        seen = raw_call(
            first_daemon_address(context), expand_placeholders(row['call'])
        )
        try:
            compare_raw(seen, int(row['status']), 'not-run', row['cause'])
        except (AssertionError, KeyError) as error:
            raise AssertionError(f'{row["call"]!r}: {seen}') from error


@then(
    'each response of the upstream is forwarded with status, headers and body'
)
def check_each_forwarded_response(context):
    """Make the upstream send each response and check what the caller gets."""
    for row in context.table:
        pairs = [
            tuple(pair.split(': ', 1)) for pair in row['headers'].split('; ')
        ]
        expected_response = {
            'status': int(row['status']),
            'headers': pairs,
            'body': row['body'],
        }
        response = requests.request(
            row['method'],
            f'http://{first_daemon_address(context)}/job-sheets/sheets/1',
            headers={'Answer': msgspec.json.encode(expected_response)},
            allow_redirects=False,
            stream=True,
            timeout=RAW_TIMEOUT_S,
        )
        body = response.raw.read(decode_content=False).decode()
        received_headers = list(response.raw.headers.items())
        assert response.headers[OUTCOME_HEADER] == 'answered', row
        assert response.status_code == int(row['status']), row
        assert body == row['body'], (row, body)
        missing = normalized(pairs) - normalized(received_headers)
        assert not missing, (row, missing, list(received_headers))


@when('a client sends a header that its Connection header names')
def send_named_header(context):
    """Send a hop-by-hop header and one that must be forwarded."""
    context.response = requests.get(
        f'http://{first_daemon_address(context)}/job-sheets/sheets/1',
        headers={'Connection': 'x-hop', 'X-Hop': '1', 'X-Kept': '1'},
        timeout=RAW_TIMEOUT_S,
    )


@then('the upstream did not receive that header')
def check_named_header(context):
    received = context.response.headers['Received-Headers'].split(',')
    assert 'x-kept' in received, received
    assert 'x-hop' not in received, received


@given('a forwarder for the links to "{name}" in a deployment of {counts}')
def start_with_forwarder(context, name, counts):
    """Start processes with a forwarder in front of one daemon's links."""
    context.deployment = LocalDeployment(context.folder)
    context.deployment.start_controls()
    context.forwarder = start_forwarder(context.folder, name)
    context.deployment.forwarders[name] = context.forwarder
    pairs = [part.strip().split(' ', 1) for part in counts.split(',')]
    context.deployment.start_daemons_with_upstreams(
        {service: int(count) for count, service in pairs}
    )
    context.forwarder.forward_to(context.deployment.daemons[name])


def send_in_background(context, method, mark, daemon, work_ms):
    """Send a call and wait until it runs at an upstream."""
    if not hasattr(context, 'calls'):
        context.calls = {}
        context.pool = ThreadPoolExecutor(20)
        context.add_cleanup(context.pool.shutdown)
    path = 'sheets/1' if method == 'GET' else 'orders'
    headers = {'Mark': mark, 'Work-Ms': str(work_ms)}
    if mark.startswith('key'):
        headers[KEY_HEADER] = mark
    context.calls[mark] = context.pool.submit(
        requests.request,
        method,
        context.deployment.url(daemon, f'/job-sheets/{path}'),
        headers=headers,
        timeout=RAW_TIMEOUT_S,
    )
    wait_until(lambda: runs_of(context, mark), f'{mark} runs')
    context.runner = next(
        name
        for name in context.deployment.upstreams
        if runs_at(context, name).get(mark)
    )


def runs_at(context, name):
    """Return the executions at one upstream by mark."""
    process = context.deployment.upstreams[name]
    if not process.is_running():
        return {}
    address = process.addresses['http']
    response = requests.get(
        f'http://{address}/-/executions', timeout=RAW_TIMEOUT_S
    )
    return response.json()['by_mark']


def runs_of(context, mark):
    """Return the executions of a mark over all running upstreams."""
    return context.deployment.executions('by_mark').get(mark, 0)


@when('call "{mark}" of {work:d} ms runs as {method} through "{daemon}"')
def start_call(context, mark, work, method, daemon):
    """Send a call and wait until an upstream runs it."""
    send_in_background(context, method, mark, daemon, work)


@when('the daemon that admitted it gets {name}')
def signal_admitting(context, name):
    """Send a signal to the daemon of the upstream that runs the call."""
    process = context.deployment.daemons[context.runner]
    process.send_signal(signal.Signals[name])


@when('the upstream that runs it gets {name}')
def signal_upstream(context, name):
    process = context.deployment.upstreams[context.runner]
    process.send_signal(signal.Signals[name])


@when('daemon "{daemon}" gets {name}')
def signal_daemon(context, daemon, name):
    context.deployment.daemons[daemon].send_signal(signal.Signals[name])


@when('{seconds:g} s pass')
def let_time_pass(context, seconds):
    time.sleep(seconds)


@then('call "{mark}" has the outcome "{outcome}"')
def check_outcome(context, mark, outcome):
    """Check the outcome, and that the answer belongs to this call."""
    response = context.calls[mark].result()
    assert response.headers[OUTCOME_HEADER] == outcome, response.headers
    if outcome == 'answered':
        owner = response.text.partition('\n')[0]
        assert owner == mark, owner


@then('call "{mark}" got no response')
def check_no_response(context, mark):
    """Check that the caller's connection was closed without a response."""
    error = context.calls[mark].exception()
    assert isinstance(error, requests.ConnectionError), error


@then('a resend of "{mark}" through "{daemon}" has the outcome "{outcome}"')
def resend(context, mark, daemon, outcome):
    """Send a call again with the same key and check its outcome."""
    context.calls[mark] = context.pool.submit(
        requests.post,
        context.deployment.url(daemon, '/job-sheets/orders'),
        headers={'Mark': mark, KEY_HEADER: mark},
        timeout=RAW_TIMEOUT_S,
    )
    check_outcome(context, mark, outcome)


@then('call "{mark}" ran {times:d} time(s)')
def check_runs(context, mark, times):
    seen = runs_of(context, mark)
    assert seen == times, seen


@when('the links to "{name}" go silent in mode {mode}')
def silence_links(context, name, mode):
    """Make the forwarder drop the bytes of its open connections."""
    context.connections = context.forwarder.accepted_connections()
    context.forwarder.set_mode(mode)


@then('the links to "{name}" were replaced')
def check_replaced(context, name):
    """Check that new connections were opened since the links went silent."""
    seen = context.forwarder.accepted_connections()
    assert seen > context.connections, seen


class Caller:
    """Sends calls in sequence and switches daemons on a connection error."""

    def __init__(self, deployment, daemons, number):
        """Prepare to send calls through daemons, starting with the first."""
        self.urls = [deployment.url(one, '/job-sheets') for one in daemons]
        self.number = number
        self.stopped = False
        self.marks = []
        self.failures = []

    def run(self):
        """Send calls until stopped."""
        session = requests.Session()
        while not self.stopped:
            mark = f'load-{self.number}-{len(self.marks)}'
            try:
                self.send(session, mark)
            except requests.ConnectionError as error:
                if 'Connection refused' not in str(error):
                    self.failures.append((mark, str(error)))
                self.urls.append(self.urls.pop(0))

    def send(self, session, mark):
        """Send one call; calls with odd numbers are not idempotent."""
        odd = len(self.marks) % 2
        method, path = ('POST', '/orders') if odd else ('GET', '/sheets/1')
        response = session.request(
            method,
            f'{self.urls[0]}{path}',
            headers={'Mark': mark, 'Work-Ms': '20'},
            timeout=RAW_TIMEOUT_S,
        )
        self.marks.append(mark)
        owner = response.text.partition('\n')[0]
        result = (response.headers[OUTCOME_HEADER], owner)
        if result != ('answered', mark):
            self.failures.append((mark, result, response.headers))


@when('{count:d} callers send calls through "{daemons}"')
def start_callers(context, count, daemons):
    """Start callers that send calls without pauses."""
    names = daemons.split(', ')
    context.callers = [
        Caller(context.deployment, names, number) for number in range(count)
    ]
    context.caller_pool = ThreadPoolExecutor(count)
    context.add_cleanup(stop_callers, context)
    for caller in context.callers:
        context.caller_pool.submit(caller.run)


def stop_callers(context):
    for caller in context.callers:
        caller.stopped = True
    context.caller_pool.shutdown()


@then('each of their calls was answered and ran once')
def check_callers(context):
    """Compare the callers' results with the executions at the upstreams."""
    stop_callers(context)
    failures = [
        failure for caller in context.callers for failure in caller.failures
    ]
    assert not failures, failures[:3]
    marks = [mark for caller in context.callers for mark in caller.marks]
    assert len(marks) > 100, len(marks)
    runs = context.deployment.executions('by_mark')
    wrong = {mark: runs.get(mark) for mark in marks if runs.get(mark) != 1}
    assert not wrong, wrong


@then('daemon "{daemon}" ends with exit code {code:d}')
def check_exit(context, daemon, code):
    """Wait until a daemon has exited."""
    popen = context.deployment.daemons[daemon].popen
    assert popen.wait(RAW_TIMEOUT_S) == code


@then('the upstream of "{name}" receives no new calls')
def check_no_new_calls(context, name):
    """Check that the executions of an upstream do not grow under load."""
    before = runs_at(context, name)
    time.sleep(0.5)
    after = runs_at(context, name)
    assert before == after, set(after) - set(before)


@when('the upstream of "{name}" announces a drain')
def announce_drain(context, name):
    context.deployment.set_behaviour(name, draining=True)


@when('{count:d} resends of "{mark}" are sent at the same time')
def send_concurrently(context, count, mark):
    """Send one keyed call several times through both entry daemons."""
    entries = ('entry-0', 'entry-1')
    context.resends = [
        context.pool.submit(
            requests.post,
            context.deployment.url(entries[number % 2], '/job-sheets/orders'),
            headers={'Mark': mark, KEY_HEADER: mark, 'Work-Ms': '200'},
            timeout=RAW_TIMEOUT_S,
        )
        for number in range(count)
    ]


@then('all resends got the same answer and "{mark}" ran {times:d} time(s)')
def check_resends(context, mark, times):
    answers = [one.result() for one in context.resends]
    outcomes = {one.headers[OUTCOME_HEADER] for one in answers}
    assert outcomes == {'answered'}, [one.headers for one in answers]
    assert len({one.content for one in answers}) == 1
    check_runs(context, mark, times)


@when('the upstream of "{name}" answers with {count:d} bytes')
def set_answer_size(context, name, count):
    context.deployment.set_behaviour(name, answer_bytes=count)


@then('a resend of "{mark}" through "{daemon}" gets no stored answer')
def check_not_kept(context, mark, daemon):
    """Check that a resend reports that the call ran, without a body."""
    response = requests.post(
        context.deployment.url(daemon, '/job-sheets/orders'),
        headers={'Mark': mark, KEY_HEADER: mark},
        timeout=RAW_TIMEOUT_S,
    )
    seen = (response.status_code, response.headers[OUTCOME_HEADER])
    assert seen == (200, 'answered'), response.headers
    assert response.headers['Burdocklead-Answer'] == 'not-kept'
    assert not response.content
    check_runs(context, mark, 1)


@then('the answer to call "{mark}" was too large')
def check_too_large(context, mark):
    """Check that no truncated answer is passed on as a complete one."""
    response = context.calls[mark].result()
    seen = (response.status_code, response.headers[OUTCOME_HEADER])
    assert seen == (502, 'answered'), response.headers
    assert response.headers['Burdocklead-Answer'] == 'too-large'
    assert response.json()['upstream_status'] == 200


@when('the upstream of "{name}" has 1 slot')
def set_one_slot(context, name):
    """Make an upstream announce one slot and wait until its daemon knows."""
    context.deployment.set_behaviour(name, reported_slots=1)
    daemon = context.deployment.daemons[name]
    wait_until(
        lambda: context.deployment.daemon_status(daemon)['load'][2] == 1,
        'one slot',
    )


@then(
    'a call with {left:d} ms left through "{daemon}" has the outcome '
    '"{outcome}" and the cause "{cause}"'
)
def check_queued_call(context, left, daemon, outcome, cause):
    """Send a call while the only slot is in use."""
    response = requests.post(
        context.deployment.url(daemon, '/job-sheets/orders'),
        headers={'Mark': 'late', 'Burdocklead-Deadline-Ms': str(left)},
        timeout=RAW_TIMEOUT_S,
    )
    seen = (response.headers[OUTCOME_HEADER], response.headers[CAUSE_HEADER])
    assert seen == (outcome, cause), response.headers
    check_runs(context, 'late', 0)


@when('a caller of a {method} through "{daemon}" disconnects')
def disconnect_caller(context, method, daemon):
    """Close a caller's connection while its call runs."""
    context.dropped = f'left-{method}'
    path = 'sheets/1' if method == 'GET' else 'orders'
    address = context.deployment.daemons[daemon].addresses['http']
    host, _, port = address.rpartition(':')
    head = (
        f'{method} /job-sheets/{path} HTTP/1.1\r\nHost: a\r\n'
        f'Content-Length: 0\r\nMark: {context.dropped}\r\nWork-Ms: 800\r\n\r\n'
    )
    with socket.create_connection((host, int(port)), RAW_TIMEOUT_S) as raw:
        raw.sendall(head.encode())
        wait_until(lambda: runs_of(context, context.dropped), 'call runs')


def executions_at(context, name):
    """Return all execution counts of one upstream."""
    address = context.deployment.upstreams[name].addresses['http']
    response = requests.get(
        f'http://{address}/-/executions', timeout=RAW_TIMEOUT_S
    )
    return response.json()


@then('the upstream of "{name}" saw {count:d} cancelled call(s)')
def check_cancelled(context, name, count):
    wait_until(
        lambda: executions_at(context, name)['cancelled'] == count,
        'cancelled calls',
    )


@then('the abandoned call ran to completion')
def check_completed(context):
    """Wait until no call runs and check that no more were cancelled."""
    daemon = context.deployment.daemons['job-sheets-0']
    wait_until(
        lambda: context.deployment.daemon_status(daemon)['load'][0] == 0,
        'free slot',
    )
    check_cancelled(context, 'job-sheets-0', 1)


@when('the control replicas are killed')
def kill_controls(context):
    for process in context.deployment.controls.values():
        process.kill()
