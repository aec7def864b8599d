"""Steps for the HTTP client for an upstream."""

from __future__ import annotations

import asyncio
import socket
import struct

from behave import given, then, when

from burdocklead.connection.answer_reader import (
    AnswerLimits,
    RawAnswer,
)
from burdocklead.connection.connection_pool import ConnectionPool
from burdocklead.connection.http_client import ConnectionBroken, NotConnected
from burdocklead.connection.http_messages import encode_request, find_header
from burdocklead.connection.upstream_request import UpstreamRequest
from burdocklead.values import Address

KEEP_ALIVE_LINES = {
    'a keep-alive time that is no decimal': 'Keep-Alive: timeout=\xb2\r\n',
    'a keep-alive time of 400 digits': f'Keep-Alive: timeout={"9" * 400}\r\n',
}
EXCHANGE_LIMIT_S = 3
LINGER_ZERO = struct.pack('ii', 1, 0)


def _answer(number, headers=''):
    body = f'answer {number}'
    return (
        f'HTTP/1.1 200 OK\r\nId: {number}\r\n{headers}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    )


def _chunked(number, trailers):
    body = f'answer {number}'
    return (
        f'HTTP/1.1 200 OK\r\nId: {number}\r\nTransfer-Encoding: chunked'
        f'\r\n\r\n{len(body):x}\r\n{body}\r\n0\r\n{trailers}\r\n'
    )


def _without_length(number):
    return f'HTTP/1.1 200 OK\r\nId: {number}\r\n\r\nanswer {number}'


def _read_id(headers):
    return find_header(headers, 'Id')


class ScriptedUpstream:
    """Upstream that answers requests according to a script."""

    def __init__(self, script):
        """Initialize the counters of requests and connections."""
        self.script = script
        self.requests = 0
        self.connections = 0

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.connections += 1
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                self.requests += 1
                if self.reply(self.requests, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    def reply(self, number, writer):
        """Write the scripted answer; return True to close the connection."""
        closes = False
        text = _answer(number, KEEP_ALIVE_LINES.get(self.script, ''))
        match self.script:
            case 'complete answers and closes':
                text = _answer(number, 'Connection: close\r\n')
                closes = True
            case 'an unsolicited answer after the first one' if number == 1:
                text += _answer(99)
            case 'a late answer before the second one' if number == 2:
                text = _answer(1) + text
            case 'answers without an ID':
                text = text.replace(f'Id: {number}\r\n', '')
            case 'a second answer without an ID' if number == 2:
                text = text.replace(f'Id: {number}\r\n', '')
            case 'a trailer with another ID':
                text = _chunked(number, 'Id: 99\r\n')
            case 'answers without a length and closes':
                text, closes = _without_length(number), True
            case 'answers without a length and resets':
                text, closes = _without_length(number), True
                sock = writer.get_extra_info('socket')
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
                )
            case 'truncated answers':
                text, closes = text[:-3], True
            case 'invalid HTTP':
                text = 'garbage\r\n\r\n'
            case 'interim responses before the answers':
                text = f'HTTP/1.1 103 Early Hints\r\n\r\n{text}'
        writer.write(text.encode('latin-1'))
        return closes


@given('an upstream that sends {script}')
def use_scripted_upstream(context, script):
    """Create an upstream with the script."""
    context.scripted_upstream = ScriptedUpstream(script)


@given('an upstream that does not listen')
def use_no_upstream(context):
    """Use a port without a listener."""
    context.scripted_upstream = None


async def _exchange_twice(context):
    server = None
    port = 1
    if context.scripted_upstream is not None:
        server = await asyncio.start_server(
            context.scripted_upstream.serve, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
    pool = ConnectionPool(AnswerLimits(max_body_bytes=100000))
    results = []
    for number in (1, 2):
        content = encode_request('GET', '/', (('Host', 'a'),), b'')
        request = UpstreamRequest('GET', content, str(number), _read_id)
        async with asyncio.timeout(EXCHANGE_LIMIT_S):
            result = await pool.exchange(Address('127.0.0.1', port), request)
        results.append(result)
        await asyncio.sleep(0.02)
    pool.close()
    await asyncio.sleep(0.02)
    if server is not None:
        server.close()
    return results


@when('two consecutive requests are sent to it')
def send_two_requests(context):
    """Send two requests over one pool."""
    context.results = asyncio.run(_exchange_twice(context))


@then('the results are {first} and {second}')
def check_results(context, first, second):
    """Check both results."""
    seen = [_describe(result) for result in context.results]
    assert seen == [first, second], (seen, context.results)


@then('{count:d} connections were opened')
def check_connections(context, count):
    """Check how many connections were opened."""
    assert context.scripted_upstream.connections == count, (
        context.scripted_upstream.connections
    )


def _describe(result):
    match result:
        case RawAnswer():
            return result.body.decode()
        case NotConnected():
            return 'not connected'
        case ConnectionBroken():
            return 'broken'
