"""Steps for upstreams that send without end."""

from __future__ import annotations

import asyncio
import itertools
import time
import tracemalloc

from behave import given, then, when

from burdocklead.connection.answer_reader import AnswerLimits
from burdocklead.connection.connection_pool import ConnectionPool
from burdocklead.connection.http_client import (
    ConnectionBroken,
    OversizedAnswer,
)
from burdocklead.connection.http_messages import encode_request, find_header
from burdocklead.connection.upstream_request import UpstreamRequest
from burdocklead.values import Address

HEAD = b'HTTP/1.1 200 OK\r\nId: 1\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD
BLOCK_BYTES = 16384
TRICKLE_GAP_S = 0.05
MEBIBYTE = 1048576
FLOODS = {
    'header lines': (HEAD, b'A: b\r\n'),
    'one header value': (b'%bA: ' % HEAD, b'a'),
    'trailers': (b'%b2\r\nok\r\n0\r\n' % CHUNKED, b'A: b\r\n'),
    'interim responses': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'answers to others': (
        b'',
        b'HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok',
    ),
    'a chunk extension': (b'%b2;' % CHUNKED, b'a'),
    'a body that ends at EOF': (b'%b\r\n' % HEAD, b'a'),
    'tiny chunks': (CHUNKED, b'2\r\nok\r\n'),
}
TRICKLES = {
    'a head': (b'%bA: ' % HEAD, b'a'),
    'a body': (b'%b\r\n' % HEAD, b'a'),
    'leading CRLF': (b'', b'\r\n'),
}


class EndlessUpstream:
    """Upstream whose answer never ends."""

    def __init__(self, first, repeated, gap_s=0):
        """Store what is sent once, and then again and again."""
        self.first = first
        count = 1 if gap_s else BLOCK_BYTES // len(repeated)
        self.block = repeated * count
        self.gap_s = gap_s
        self.closed = 0

    async def serve(self, reader, writer):
        """Answer one request until the connection closes."""
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.first)
            while True:
                writer.write(self.block)
                await writer.drain()
                await asyncio.sleep(self.gap_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


def _read_id(headers):
    return find_header(headers, 'Id')


def _request():
    content = encode_request('GET', '/', (('Host', 'a'),), b'')
    return UpstreamRequest('GET', content, '1', _read_id)


@given('an upstream that sends {name} without end')
def use_flood(context, name):
    """Create the upstream."""
    context.endless = EndlessUpstream(*FLOODS[name])
    context.limits = AnswerLimits(max_body_bytes=MEBIBYTE)


@given('an upstream that trickles {name}')
def use_trickle(context, name):
    """Create the upstream, and limits that a test can wait for."""
    context.endless = EndlessUpstream(*TRICKLES[name], gap_s=TRICKLE_GAP_S)
    context.limits = AnswerLimits(
        max_head_bytes=64, head_timeout_s=1, body_grace_s=1, min_body_rate=1000
    )


async def _exchange(context, limit_s):
    server = await asyncio.start_server(context.endless.serve, '127.0.0.1', 0)
    address = Address(*server.sockets[0].getsockname())
    pool = ConnectionPool(context.limits)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    started = time.monotonic()
    async with asyncio.timeout(limit_s):
        context.exchange_result = await pool.exchange(address, _request())
    context.elapsed_s = time.monotonic() - started
    context.peak_bytes = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    pool.close()
    await asyncio.sleep(0.1)
    server.close()


@when('a request is sent to it for at most {limit_s:d} s')
def send_request(context, limit_s):
    """Send a request and measure its exchange."""
    asyncio.run(_exchange(context, limit_s))


@when('a request with the ID of the answer is sent to it')
def send_matching_request(context):
    """Send a request and keep the result."""
    asyncio.run(_exchange(context, 10))


@then('the exchange is broken within {limit_s:d} s after part of an answer')
def check_broken(context, limit_s):
    """Check that the outcome is unknown, and soon."""
    result = context.exchange_result
    assert context.elapsed_s < limit_s, context.elapsed_s
    if isinstance(result, OversizedAnswer):
        return
    assert isinstance(result, ConnectionBroken), result
    assert result.answered, result


@then('it took at most {limit:d} MB of memory')
def check_memory(context, limit):
    """Check the peak of the memory that Python allocated."""
    assert context.peak_bytes < limit * MEBIBYTE, context.peak_bytes


@then('the upstream saw the connection close')
def check_closed(context):
    """Check that the flood ended."""
    assert context.endless.closed == 1, context.endless.closed


@then('the answer is too large')
def check_oversized(context):
    """Check that the status of the answer is known."""
    assert context.exchange_result == OversizedAnswer(200)


async def _answer_quickly(reader, writer):
    try:
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(b'%bContent-Length: 2\r\n\r\nok' % HEAD)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def _flood_beside_others(context, floods, others):
    flood = await asyncio.start_server(context.endless.serve, '127.0.0.1', 0)
    other = await asyncio.start_server(_answer_quickly, '127.0.0.1', 0)
    flooded = Address(*flood.sockets[0].getsockname())
    quick = Address(*other.sockets[0].getsockname())
    pools = [ConnectionPool(context.limits) for _ in range(floods)]

    async def flood_forever(pool):
        for _ in itertools.count():
            await pool.exchange(flooded, _request())

    tasks = [asyncio.create_task(flood_forever(pool)) for pool in pools]
    pool = ConnectionPool(context.limits)
    context.latencies_s = []
    for _ in range(others):
        started = time.monotonic()
        await pool.exchange(quick, _request())
        context.latencies_s.append(time.monotonic() - started)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    pool.close()
    flood.close()
    other.close()


@when(
    'it floods {floods:d} requests at a time while {others:d} others are '
    'answered'
)
def flood_beside_others(context, floods, others):
    """Measure the latency of other exchanges during floods."""
    asyncio.run(_flood_beside_others(context, floods, others))


@then('{share:d} in 100 of the others are answered within {limit_ms:d} ms')
def check_latencies(context, share, limit_ms):
    """Check a percentile of the latencies."""
    ordered = sorted(context.latencies_s)
    latency_s = ordered[len(ordered) * share // 100]
    assert latency_s < limit_ms / 1000, ordered
