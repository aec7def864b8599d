"""Steps for true outcomes: raw calls, signals and failing links."""

from __future__ import annotations

import codecs
import re
import socket

import msgspec
import requests
from behave import then, when

from burdocklead.request.headers import CAUSE_HEADER, OUTCOME_HEADER

RAW_TIMEOUT_S = 10
CONTINUE_MARK = b'{continue}'


def raw_call(address, content):
    """Send bytes to a callers' port and return status, headers and body."""
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


def expand(text):
    """Return the bytes of a call as a table writes it."""
    text = re.sub(r'\{(\d+) bytes\}', lambda hit: 'x' * int(hit[1]), text)
    text = re.sub(
        r'\{(\d+) headers\}',
        lambda hit: r'X-Filler: 1\r\n' * int(hit[1]),
        text,
    )
    return codecs.escape_decode(text.encode())[0]


def named(pairs):
    """Return headers with names that compare without regard to case."""
    return {(str(name).lower(), str(text)) for name, text in pairs}


def first_address(context, kind='http'):
    """Return an address of the first daemon."""
    return next(iter(context.deployment.daemons.values())).addresses[kind]


@when('raw bytes go to the callers\' port of "{daemon}"')
def send_raw(context, daemon):
    """Send the bytes of the step."""
    address = context.deployment.daemons[daemon].addresses['http']
    context.raw = raw_call(address, expand(context.text))


@then(
    'the raw answer has status {status:d}, outcome "{outcome}" '
    'and cause "{cause}"'
)
def check_raw(context, status, outcome, cause):
    """Compare what came back."""
    compare_raw(context.raw, status, outcome, cause)


def compare_raw(seen, status, outcome, cause):
    """Compare status, headers and body with what was expected."""
    seen_status, headers, body = seen
    content = msgspec.json.decode(body)
    assert seen_status == status, seen
    assert headers[OUTCOME_HEADER] == outcome, seen
    assert headers[CAUSE_HEADER] == cause, seen
    assert (content['outcome'], content['cause']) == (outcome, cause), seen


@then('each raw call is refused as not run')
def check_each_raw(context):
    """Send each call of the table and compare what came back."""
    for row in context.table:
        seen = raw_call(first_address(context), expand(row['call']))
        try:
            compare_raw(seen, int(row['status']), 'not-run', row['cause'])
        except (AssertionError, KeyError) as error:
            raise AssertionError(f'{row["call"]!r}: {seen}') from error


@then('each answer of the upstream passes whole')
def check_each_answer(context):
    """Let the upstream give each answer and compare what arrived."""
    for row in context.table:
        pairs = [
            tuple(pair.split(': ', 1)) for pair in row['headers'].split('; ')
        ]
        scripted = {
            'status': int(row['status']),
            'headers': pairs,
            'body': row['body'],
        }
        response = requests.request(
            row['method'],
            f'http://{first_address(context)}/job-sheets/sheets/1',
            headers={'Answer': msgspec.json.encode(scripted)},
            allow_redirects=False,
            stream=True,
            timeout=RAW_TIMEOUT_S,
        )
        body = response.raw.read(decode_content=False).decode()
        arrived = list(response.raw.headers.items())
        assert response.headers[OUTCOME_HEADER] == 'answered', row
        assert response.status_code == int(row['status']), row
        assert body == row['body'], (row, body)
        missing = named(pairs) - named(arrived)
        assert not missing, (row, missing, list(arrived))


@when('a client sends a header that its connection names')
def send_named_header(context):
    """Send a hop-by-hop header beside one that must travel."""
    context.response = requests.get(
        f'http://{first_address(context)}/job-sheets/sheets/1',
        headers={'Connection': 'x-hop', 'X-Hop': '1', 'X-Kept': '1'},
        timeout=RAW_TIMEOUT_S,
    )


@then('the upstream did not get that header')
def check_named_header(context):
    """Compare the names that the upstream received."""
    received = context.response.headers['Received-Headers'].split(',')
    assert 'x-kept' in received, received
    assert 'x-hop' not in received, received
