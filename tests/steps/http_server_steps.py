"""Steps for the HTTP server for callers."""

from __future__ import annotations

import asyncio
import itertools
import re
import socket
from dataclasses import replace

from behave import given, then, when

from burdocklead.connection.http_messages import HttpResponse
from burdocklead.connection.http_server import HttpServer
from burdocklead.connection.request_reader import ServerLimits
from burdocklead.values import Address

CLIENT_TIMEOUT_S = 3
MS_PER_S = 1000
HEAD = 'GET {0} HTTP/1.1\r\nHost: sheets\r\n{1}\r\n'
CHUNKED = (
    'POST /1 HTTP/1.1\r\nHost: sheets\r\nTransfer-Encoding: chunked\r\n\r\n'
)
INVALID_REQUESTS = {
    'a header of 5000 bytes': HEAD.format('/1', f'X-Long: {"x" * 5000}\r\n'),
    'an unterminated header': f'GET /1 HTTP/1.1\r\nX-Long: {"x" * 5000}',
    'an incomplete header': 'GET /1 HTTP/1.1\r\nHost: she',
    'a body of 500 bytes': (
        'POST /1 HTTP/1.1\r\nHost: sheets\r\nContent-Length: 500\r\n\r\n'
    ),
    'data that is not HTTP': 'this is not HTTP\r\n\r\n',
    'two Content-Length values': (
        'POST /1 HTTP/1.1\r\nHost: sheets\r\nContent-Length: 2\r\n'
        'Content-Length: 3\r\n\r\nabc'
    ),
    '9000 bytes of a chunk extension': f'{CHUNKED}2;{"x" * 9000}',
    '9000 bytes of trailers': '\r\n'.join(
        (f'{CHUNKED}0', *itertools.repeat('A: b', 1500))
    ),
    '9000 bytes of empty lines': '\r\n' * 4500,
}


class RecordingHandler:
    """Request handler that takes as many ms as the path of a request says."""

    def __init__(self, padding_bytes=0):
        """Initialize empty lists of requests."""
        self.padding_bytes = padding_bytes
        self.handled = []
        self.headers = ()
        self.cancelled = []

    async def handle(self, request):
        """Wait as long as the path says and return the path."""
        self.handled.append(request.target)
        self.headers = request.headers
        try:
            await asyncio.sleep(int(request.target[1:]) / MS_PER_S)
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        padding = b'x' * self.padding_bytes
        return HttpResponse(200, (), request.target.encode() + padding)


async def _run_with_server(context, run_client):
    """Run a client against a new server."""
    padding_bytes = getattr(context, 'response_bytes', 0)
    context.recorder = RecordingHandler(padding_bytes)
    server = HttpServer(context.recorder.handle)
    server.limits = context.limits
    address = await server.start(Address('127.0.0.1', 0))
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        async with asyncio.timeout(CLIENT_TIMEOUT_S):
            return await run_client(server, reader, writer)
    finally:
        writer.close()
        await server.close()


@given('an HTTP server whose handler takes as many ms as the path says')
def use_default_limits(context):
    """Use the default limits."""
    context.limits = ServerLimits()


@given(
    'an HTTP server with limits of {header:d} header bytes, {body:d} body '
    'bytes and {wait:d} ms for headers'
)
def use_tight_limits(context, header, body, wait):
    """Use limits that the requests exceed."""
    context.limits = ServerLimits(header, body, wait / MS_PER_S, 60)


@when('a client pipelines GET requests for "{one}", "{two}" and "{three}"')
def pipeline(context, one, two, three):
    """Send three pipelined requests."""

    async def run_client(server, reader, writer):
        started = asyncio.get_running_loop().time()
        text = ''.join(HEAD.format(path, '') for path in (one, two, three))
        writer.write(text.encode())
        received = b''
        while received.count(b'HTTP/1.1 200') < 3 or b'40' not in received:
            received += await reader.read(65536)
        context.elapsed = asyncio.get_running_loop().time() - started
        return received.decode()

    context.received = asyncio.run(_run_with_server(context, run_client))


@then('the responses arrive in the order "{one}", "{two}", "{three}"')
def check_order(context, one, two, three):
    """Check the response bodies."""
    bodies = re.findall(r'\r\n\r\n(/\d+)', context.received)
    assert bodies == [one, two, three], bodies


@then('all requests together took less than {limit:d} ms')
def check_elapsed(context, limit):
    """Check that the requests ran concurrently."""
    assert context.elapsed * MS_PER_S < limit, context.elapsed


@when('a client sends "{path}" and closes its connection')
def send_and_disconnect(context, path):
    """Disconnect before the response."""

    async def run_client(server, reader, writer):
        writer.write(HEAD.format(path, '').encode())
        while not context.recorder.handled:
            await asyncio.sleep(0.001)
        writer.close()
        while not context.recorder.cancelled:
            await asyncio.sleep(0.001)

    asyncio.run(_run_with_server(context, run_client))


@then('the handler of "{path}" is cancelled')
def check_cancelled(context, path):
    """Check which requests were cancelled."""
    assert context.recorder.cancelled == [path], context.recorder.cancelled


@when('an invalid request is sent: {request_name}')
def send_invalid_request(context, request_name):
    """Send a request that must be rejected."""

    async def run_client(server, reader, writer):
        writer.write(INVALID_REQUESTS[request_name].encode())
        return await reader.read()

    context.received = asyncio.run(
        _run_with_server(context, run_client)
    ).decode()


@then('the client is answered {status:d} and the connection is closed')
def check_refused(context, status):
    """Check the response; the client read EOF, so the connection is closed."""
    statuses = re.findall(r'HTTP/1.1 (\d+)', context.received)
    assert statuses == [str(status)], context.received
    assert 'Connection: close' in context.received, context.received


@then('no handler ran')
def check_not_handled(context):
    """Check that no request was handled."""
    assert not context.recorder.handled, context.recorder.handled


@when(
    'a client sends "{path}" and the server starts to drain during the request'
)
def send_to_draining(context, path):
    """Start the drain while the request is running."""

    async def run_client(server, reader, writer):
        writer.write(HEAD.format(path, '').encode())
        while not context.recorder.handled:
            await asyncio.sleep(0.001)
        server.start_draining()
        return await reader.read()

    context.received = asyncio.run(
        _run_with_server(context, run_client)
    ).decode()


@then('the client gets the complete response with "{header}"')
def check_closing_response(context, header):
    """Check the header and the body."""
    assert header in context.received, context.received
    assert context.received.endswith('/100'), context.received


@when('a client pipelines "{one}" with "{header}" and "{two}"')
def pipeline_behind_close(context, one, header, two):
    """Send a request after one that closes the connection."""

    async def run_client(server, reader, writer):
        first = HEAD.format(one, f'{header}\r\n')
        writer.write(first.encode() + HEAD.format(two, '').encode())
        return await reader.read()

    context.received = asyncio.run(
        _run_with_server(context, run_client)
    ).decode()


@then('only "{path}" was handled')
def check_handled(context, path):
    """Check that only one request was handled."""
    assert context.recorder.handled == [path], context.recorder.handled
    assert context.received.count('HTTP/1.1') == 1, context.received


@when(
    'a client pipelines "{path}" every {gap_ms:d} ms and the server drains '
    'after {start_ms:d} ms'
)
def pipeline_while_draining(context, path, gap_ms, start_ms):
    """Send requests without a pause until the connection is closed."""

    async def run_client(server, reader, writer):
        loop = asyncio.get_running_loop()
        received = asyncio.create_task(reader.read())
        drain_at = loop.time() + start_ms / MS_PER_S
        drain = None
        while not received.done():
            writer.write(HEAD.format(path, '').encode())
            await asyncio.sleep(gap_ms / MS_PER_S)
            if drain is None and loop.time() >= drain_at:
                context.handled_before = len(context.recorder.handled)
                drain = asyncio.create_task(server.drain())
        return received.result()

    context.received = asyncio.run(
        _run_with_server(context, run_client)
    ).decode()


@then('each request that was handled is answered, the last one with "{header}"')
def check_all_answered(context, header):
    """Check the number of complete responses and where the header is."""
    responses = context.received.split('HTTP/1.1 200 OK')[1:]
    handled = context.recorder.handled
    assert len(responses) == len(handled), (len(responses), len(handled))
    for response, target in zip(responses, handled, strict=True):
        assert response.endswith(target), response
    *earlier, last = [header in response for response in responses]
    assert last and not any(earlier), (earlier, last)


@then('no request was handled after the drain began')
def check_handled_before(context):
    """Check that the handler did not run again."""
    handled = context.recorder.handled
    assert len(handled) == context.handled_before, len(handled)


@when('a client pipelines "{one}" and half of "{two}" and the server drains')
def pipeline_half(context, one, two):
    """Drain while a request is pending and the next one is half received."""

    async def run_client(server, reader, writer):
        half = HEAD.format(two, '')[:20]
        writer.write((HEAD.format(one, '') + half).encode())
        while not context.recorder.handled:
            await asyncio.sleep(0.001)
        await server.drain()
        return await reader.read()

    context.received = asyncio.run(
        _run_with_server(context, run_client)
    ).decode()


@when('a server with an idle connection drains')
def drain_server(context):
    """Drain the server, then try to open another connection."""

    async def run_client(server, reader, writer):
        await asyncio.sleep(0.05)
        address = writer.get_extra_info('peername')
        await server.drain()
        context.rest = await reader.read()
        try:
            await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            context.refused = True

    context.refused = False
    asyncio.run(_run_with_server(context, run_client))


@then('the idle connection is closed and a new one is refused')
def check_drained(context):
    """Check the idle and the new connection."""
    assert context.rest == b'', context.rest
    assert context.refused


@given('bodies have {grace_ms:d} ms and {rate:d} bytes/s')
def use_body_pace(context, grace_ms, rate):
    """Use a pace that a test can wait for."""
    context.limits = replace(
        context.limits, body_grace_s=grace_ms / MS_PER_S, min_body_rate=rate
    )


@given('an HTTP server that keeps at most {count:d} connections')
def use_connection_limit(context, count):
    """Use a low limit on connections."""
    context.limits = ServerLimits(max_connections=count)


@given(
    'an HTTP server whose responses have {size:d} MB and that waits '
    '{idle_ms:d} ms for idle clients'
)
def use_large_responses(context, size, idle_ms):
    """Use large responses and a short idle timeout."""
    context.limits = ServerLimits(idle_timeout_s=idle_ms / MS_PER_S)
    context.response_bytes = size * 1048576


@when('a client sends a body of 50 bytes with a byte every {gap_ms:d} ms')
def trickle_body(context, gap_ms):
    """Send a body slowly and read the response."""

    async def run_client(server, reader, writer):
        writer.write(HEAD.format('/1', 'Content-Length: 50\r\n').encode())
        response = asyncio.create_task(reader.read())
        while not response.done():
            writer.write(b'x')
            await asyncio.sleep(gap_ms / MS_PER_S)
        return response.result().decode()

    context.received = asyncio.run(_run_with_server(context, run_client))


@when('a client sends "{path}" in chunks with the trailer "{trailer}"')
def send_trailer(context, path, trailer):
    """Send a chunked request with a trailer."""

    async def run_client(server, reader, writer):
        head = HEAD.format(path, 'Transfer-Encoding: chunked\r\n')
        writer.write(f'{head}2\r\nok\r\n0\r\n{trailer}\r\n\r\n'.encode())
        return await reader.readuntil(f'\r\n\r\n{path}'.encode())

    context.received = asyncio.run(_run_with_server(context, run_client))


@then('the handler of "{path}" got no header "{name}"')
def check_no_header(context, path, name):
    """Check the headers that reached the handler."""
    assert context.recorder.handled == [path]
    names = {key.lower() for key, _ in context.recorder.headers}
    assert name.lower() not in names, names


@when('{count:d} connections trickle a head with a byte every {gap_ms:d} ms')
def trickle_heads(context, count, gap_ms):
    """Send heads slowly over many connections, and one request."""

    async def trickle(address):
        reader, writer = await asyncio.open_connection(*address)
        started = asyncio.get_running_loop().time()
        writer.write(b'GET /1 HTTP/1.1\r\nA: ')
        end = asyncio.create_task(reader.read())
        while not end.done():
            writer.write(b'x')
            await asyncio.sleep(gap_ms / MS_PER_S)
        writer.close()
        return asyncio.get_running_loop().time() - started

    async def run_client(server, reader, writer):
        address = writer.get_extra_info('peername')
        tasks = [asyncio.create_task(trickle(address)) for _ in range(count)]
        await asyncio.sleep(0.2)
        writer.write(HEAD.format('/1', '').encode())
        await reader.readuntil(b'\r\n\r\n/1')
        return await asyncio.gather(*tasks)

    context.open_s = asyncio.run(_run_with_server(context, run_client))


@then('all of them are closed within {limit_s:d} s')
def check_all_closed(context, limit_s):
    """Check for how long the connections were open."""
    assert max(context.open_s) < limit_s, max(context.open_s)


@then('a request meanwhile was answered')
def check_answered(context):
    """Check that the handler ran once."""
    assert context.recorder.handled == ['/1']


@when('a client opens {count:d} connections one after the other')
def open_connections(context, count):
    """Open connections, each with one request."""

    async def run_client(server, reader, writer):
        address = writer.get_extra_info('peername')
        writer.close()
        await asyncio.sleep(0.05)
        opened = []
        for _ in range(count):
            opened.append(await asyncio.open_connection(*address))
            opened[-1][1].write(HEAD.format('/1', '').encode())
            await opened[-1][0].readuntil(b'\r\n\r\n/1')
            await asyncio.sleep(0.01)
        is_open = [
            not one.at_eof() and one.exception() is None for one, _ in opened
        ]
        for _, one in opened:
            one.close()
        return is_open

    context.is_open = asyncio.run(_run_with_server(context, run_client))


@then('only the last {count:d} of them are open')
def check_open(context, count):
    """Check which connections were closed."""
    assert sum(context.is_open) == count, context.is_open
    assert all(context.is_open[-count:]), context.is_open


@when('a client sends {count:d} requests and reads nothing for {wait_s:d} s')
def read_nothing(context, count, wait_s):
    """Send requests without reading the responses."""

    async def run_client(server, reader, writer):
        writer.transport.pause_reading()
        one = HEAD.format('/0', '').encode()
        for _ in range(count):
            writer.write(one)
            await asyncio.sleep(0)
        await asyncio.sleep(wait_s)
        return len(server.connections)

    context.open_count = asyncio.run(_run_with_server(context, run_client))


@then('fewer than {limit:d} of them were handled')
def check_handled(context, limit):
    """Check that the server stopped reading."""
    assert len(context.recorder.handled) < limit, len(context.recorder.handled)


@then('the connection was aborted')
def check_aborted(context):
    """Check that the server has no connection left."""
    assert not context.open_count, context.open_count


@when('{count:d} clients connect and the server drains before it accepts them')
def connect_and_drain(context, count):
    """Block the event loop while the clients connect and send a request."""

    async def run_client(server, reader, writer):
        address = writer.get_extra_info('peername')
        clients = []
        for _ in range(count):
            client = socket.create_connection(address)
            client.sendall(HEAD.format('/1', '').encode())
            client.setblocking(False)
            clients.append(client)
        await server.drain()
        loop = asyncio.get_running_loop()
        return [await loop.sock_recv(client, 65536) for client in clients]

    context.responses = asyncio.run(_run_with_server(context, run_client))


@then('all {count:d} clients get a complete response')
def check_complete(context, count):
    """Check the responses."""
    assert len(context.responses) == count
    for response in context.responses:
        assert response.endswith(b'/1'), context.responses


@when('a client asks whether to send a body of {size:d} bytes')
def ask_to_continue(context, size):
    """Send the headers of a request and wait for the first response."""

    async def run_client(server, reader, writer):
        headers = f'Expect: 100-continue\r\nContent-Length: {size}\r\n'
        writer.write(HEAD.format('/1', headers).encode())
        return await reader.readuntil(b'\r\n\r\n')

    context.received = asyncio.run(
        _run_with_server(context, run_client)
    ).decode()


@then('it is answered {status:d}')
def check_first_status(context, status):
    """Check the first status line."""
    assert context.received.startswith(f'HTTP/1.1 {status}'), context.received


@when(
    '{count:d} clients send a request on idle connections and the server '
    'drains before it reads'
)
def send_and_drain(context, count):
    """Block the event loop while the clients send their second request."""

    async def run_client(server, reader, writer):
        loop = asyncio.get_running_loop()
        address = writer.get_extra_info('peername')
        request = HEAD.format('/1', '').encode()
        clients = []
        for _ in range(count):
            client = socket.create_connection(address)
            client.setblocking(False)
            await loop.sock_sendall(client, request)
            assert await loop.sock_recv(client, 65536)
            clients.append(client)
        for client in clients:
            client.sendall(request)
        await server.drain()
        return [await loop.sock_recv(client, 65536) for client in clients]

    context.responses = asyncio.run(_run_with_server(context, run_client))
