"""Steps for clients and upstreams that try to exhaust a process's memory."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from behave import given, then, when

from burdocklead.connection.frames import HEADER
from tests.platform.stand_in import (
    APP_PORT,
    METRICS_PORT,
    PEER_PORTS,
    PORTS,
    StandInPlatform,
    StandInUpstream,
    wait_until,
)
from tests.steps.platform_steps import (
    HOST,
    apply_configuration,
    status_of_request,
)

MEBIBYTE = 1048576
KIBIBYTE = 1024
BYTES_PER_MB = 1000000
PIECE = b'z' * 65536
SLOTS = 12
CLIENT_PORT = 'CLIENT-PORT'  # Replaced, so that each call has its own ID.
TIMEOUT_MS = 8000
SEND_TIMEOUT_S = 4
SETTLE_S = 1
BODY_LIMIT = 16 * MEBIBYTE
TARGETS = {
    'callers': ('outbound', '/view/store', HOST),
    'operators': ('control', '/-/rpc?call=config.replace', 'control'),
    'heartbeats': ('control', '/-/rpc?call=instances.heartbeat&of=i', 'any'),
    'readiness': ('readyAddr', '/-/ready', 'any'),
}


class LongAnswerUpstream(StandInUpstream):
    """Answers requests for ``/view/long`` with a long body, maybe cut short.

    Attributes:
        long_bytes: Announced size of the long body.
        missing_bytes: Bytes at its end that are never sent.
        chunked: True to announce no size.
    """

    long_bytes = 0
    missing_bytes = 0
    chunked = False

    def __init__(self, ip, service, instance):
        """Create an upstream with more slots than the base class has."""
        super().__init__(ip, service, instance)
        self.load = f'0,0,{SLOTS},100'

    async def start(self):
        """Start listening with a server that doesn't buffer the answers."""
        self.server = await asyncio.start_server(
            self._serve, self.ip, APP_PORT, limit=2 * BODY_LIMIT
        )
        self.server.close = partial(self._close, self.server)

    def send_heartbeat(self, **changes):
        """Send a heartbeat with more slots."""
        return super().send_heartbeat(slots=SLOTS, **changes)

    async def _close(self, server):
        asyncio.Server.close(server)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._answer_one(reader, writer)
        writer.close()

    async def _answer_one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        request_line, *lines = head.split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines if line)
        lengths = {key.lower(): one for key, one in headers.items()}
        await reader.readexactly(int(lengths.get('content-length', 0)))
        answer_id = headers.get('X-Attempt-Id', '')
        is_long = ' /view/long' in request_line
        size = self.long_bytes if is_long else len(self.service)
        framing = f'Content-Length: {size}'
        if is_long and self.chunked:
            framing = 'Transfer-Encoding: chunked'
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {answer_id}\r\n'
            f'X-Response-Signature: signed-{self.instance}\r\n'
            f'X-Instance-Id: {self.instance}\r\n'
            f'X-Server-Load: {self.load}\r\n{framing}\r\n\r\n'.encode()
        )
        if is_long:
            await self._write_long(writer)
        else:
            writer.write(self.service.encode())

    async def _write_long(self, writer):
        left = self.long_bytes - self.missing_bytes
        while left > 0:
            piece = PIECE[:left]
            left -= len(piece)
            if self.chunked:
                piece = b'%x\r\n%s\r\n' % (len(piece), piece)
            writer.write(piece)
            await writer.drain()
        if self.chunked and not self.missing_bytes:
            writer.write(b'0\r\n\r\n')


@given(
    'a platform whose processes have {memory_mb:d} MB of memory and '
    '{descriptors:d} descriptors'
)
def start_limited_platform(context, memory_mb, descriptors):
    """Start the system with lowered limits and apply a configuration."""
    limits = {'memoryMb': memory_mb, 'maxFds': descriptors, 'linkMbps': 5}
    context.services = ['orders', 'sheets']
    context.platform = StandInPlatform(context.folder, limits)
    context.add_cleanup(context.platform.close)
    context.platform.start(['sheets', 'orders'], LongAnswerUpstream)
    apply_configuration(
        context, 3, '/view/', 'sheets', TIMEOUT_MS, max_body_bytes=BODY_LIMIT
    )
    context.clients = []
    context.add_cleanup(lambda: [client.close() for client in context.clients])
    context.most_descriptors = {}


@given(
    'the upstream announces answers of {size:d} MiB and leaves out {missing:d} '
    'bytes'
)
def lengthen_answers(context, size, missing):
    """Make the upstream beside the first daemon answer with long bodies."""
    upstream = context.platform.upstreams['daemon-20']
    upstream.long_bytes = size * MEBIBYTE
    upstream.missing_bytes = missing


@given('the upstream sends {size:d} MiB of answers that never end')
def send_endless_answers(context, size):
    """Make the upstream beside the first daemon start chunked answers."""
    upstream = context.platform.upstreams['daemon-20']
    upstream.long_bytes = size * MEBIBYTE
    upstream.missing_bytes = 1
    upstream.chunked = True
    upstream.long_bytes += 1


@when(
    '{count:d} clients of the {port} port of VM {number:d} send {size:d} MiB '
    'less {missing:d} bytes of bodies of {announced:d} MiB'
)
def send_bodies(context, count, port, number, size, missing, announced):
    """Send bodies that are announced with Content-Length."""
    length = announced * MEBIBYTE
    head = _head(port, f'Content-Length: {length}')
    _run_clients(
        context,
        count,
        _address(context, port, number),
        partial(_send_pieces, head, size * MEBIBYTE - missing),
    )


@when(
    '{count:d} clients of the {port} port of VM {number:d} send chunked '
    'bodies of {size:d} MiB without an end'
)
def send_chunked_bodies(context, count, port, number, size):
    """Send bodies whose size isn't announced."""
    chunk = b'%x\r\n%s\r\n' % (len(PIECE), PIECE)
    head = _head(port, 'Transfer-Encoding: chunked')

    def send(client):
        _send_head(client, head)
        for _ in range(size * MEBIBYTE // len(PIECE)):
            client.sendall(chunk)

    _run_clients(context, count, _address(context, port, number), send)


@when(
    '{count:d} clients of VM {number:d} ask for long answers and read '
    '{size:d} KiB of them'
)
def ask_for_long_answers(context, count, number, size):
    """Request long answers and stop reading."""
    head = _head('callers', 'Accept: */*', 'GET', '/view/long')

    def ask(client):
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        _send_head(client, head)
        left = size * KIBIBYTE
        while left > 0:
            data = client.recv(min(left, KIBIBYTE))
            if not data:
                return
            left -= len(data)

    _run_clients(context, count, _address(context, 'callers', number), ask)


@when(
    '{count:d} strangers at the link port of VM {number:d} send {size:d} MiB '
    'of frames that they announce longer'
)
def send_frames(context, count, number, size):
    """Send the start of a frame before any proof of the cluster key."""
    head = HEADER.pack(size * MEBIBYTE + 1, 0, 0)
    _run_clients(
        context,
        count,
        (context.platform.ip(number), PEER_PORTS[0]),
        partial(_send_pieces, head, size * MEBIBYTE),
    )


@when(
    '{count:d} clients connect to the {port} port of VM {number:d} and send '
    'half a head'
)
def open_connections(context, count, port, number):
    """Open connections that each use a descriptor of the process."""
    _run_clients(
        context,
        count,
        _address(context, port, number),
        lambda client: client.sendall(b'GET /view/1 HTTP/1.1\r\nHost: '),
    )


@then('every process is alive, within its memory and its descriptors')
def check_processes(context):
    """Check the peak memory and the open descriptors of all processes."""
    limits = context.platform.limits
    time.sleep(SETTLE_S)
    peaks_mb = {}
    descriptors = {}
    for name, process in context.platform.processes.items():
        assert process.poll() is None, f'{name} ended'
        peaks_mb[name] = _peak_bytes(process.pid) / BYTES_PER_MB
        descriptors[name] = max(
            _count_descriptors(process.pid),
            context.most_descriptors.get(name, 0),
        )
    assert max(peaks_mb.values()) <= limits['memoryMb'], peaks_mb
    assert max(descriptors.values()) <= limits['maxFds'], descriptors


@then('an ordinary call at VM {number:d} is answered')
def check_ordinary_call(context, number):
    """Send small calls until one is answered by the upstream."""
    wait_until(
        lambda: status_of_request(context, number, '/view/1') == 200,
        'an ordinary call is answered',
    )


def _head(port, framing, method='POST', path=''):
    _, target, host = TARGETS[port]
    return (
        f'{method} {path or target} HTTP/1.1\r\nHost: {host}\r\n'
        f'X-Attempt-Id: memory-{CLIENT_PORT}\r\n'
        f'X-Timeout-Remaining: {TIMEOUT_MS}\r\nIf-Match: 3\r\n'
        f'{framing}\r\n\r\n'
    ).encode()


def _address(context, port, number):
    ip = context.platform.ip(number)
    if port == 'metrics':
        return ip, METRICS_PORT
    return ip, PORTS[TARGETS[port][0]]


def _send_head(client, head):
    port = str(client.getsockname()[1])
    client.sendall(head.replace(CLIENT_PORT.encode(), port.encode()))


def _send_pieces(head, size, client):
    _send_head(client, head)
    for start in range(0, size, len(PIECE)):
        client.sendall(PIECE[: size - start])


def _run_clients(context, count, address, act):
    """Run clients at the same time; their connections stay open."""
    with ThreadPoolExecutor(min(count, 2 * SLOTS)) as pool:
        tasks = [
            pool.submit(_run_client, context, address, act)
            for _ in range(count)
        ]
        while not all(task.done() for task in tasks):
            _sample_descriptors(context)
            time.sleep(0.05)


def _run_client(context, address, act):
    # A refused or closed connection is a permitted answer.
    with contextlib.suppress(OSError):
        client = socket.create_connection(address, SEND_TIMEOUT_S)
        context.clients.append(client)
        act(client)


def _sample_descriptors(context):
    for name, process in context.platform.processes.items():
        if process.poll() is None:
            found = _count_descriptors(process.pid)
            known = context.most_descriptors.get(name, 0)
            context.most_descriptors[name] = max(found, known)


def _peak_bytes(pid):
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * KIBIBYTE
    raise LookupError('VmHWM')


def _count_descriptors(pid):
    try:
        return len(list(Path(f'/proc/{pid}/fd').iterdir()))
    except OSError:
        return 0
