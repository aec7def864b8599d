"""Steps for the answers of an upstream that are believed."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from burdocklead.connection import connection_pool
from burdocklead.connection.answer_reader import AnswerLimits
from burdocklead.connection.frames import Attempt
from burdocklead.request.dialect import BurdockleadDialect
from burdocklead.request.headers import ATTEMPT_HEADER, NOT_RUN_HEADER
from burdocklead.request.pooled_upstream import PooledUpstreamClient
from burdocklead.request.upstream_client import (
    Upstream,
    UpstreamAnswer,
    UpstreamLost,
    UpstreamRefused,
)
from burdocklead.values import Address
from tests.steps.platform_modules import import_platform_module

REMAINING_MS = 1000
REMEMBERED = 8


def _platform_dialect():
    return import_platform_module('platform_dialect').PlatformDialect('orders')


class ForgetfulUpstream:
    """Upstream that writes answers which may belong to other requests."""

    def __init__(self, dialect, script):
        """Store the script and the headers of the dialect."""
        self.script = script
        own = dialect == 'own'
        self.id_header = ATTEMPT_HEADER if own else 'X-Attempt-Id'
        self.refusal_header = NOT_RUN_HEADER if own else 'X-Not-Executed'
        self.connections = 0
        self.requests = 0
        self.earlier = b''
        self.used = []

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.connections += 1
        connection = self.connections
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                self.used.append(connection)
                writer.write(self.reply(head, connection))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def reply(self, head, connection):
        """Return the bytes written for a request."""
        answer_id = self._id_in(head)
        answer = self._message(200, answer_id, b'run')
        repeated = self.used.count(connection) > 1
        if 'refuses' in self.script:
            if self._refuses(repeated):
                return self._refuse(answer_id)
            return self.earlier + answer if repeated else answer
        if self.script == 'never sends an ID':
            return self._message(200, '', answer_id.encode())
        if 'again' in self.script:
            earlier = self.earlier
            self.earlier = answer
            return earlier + self._message(200, answer_id, b'second')
        status = int(self.script.rpartition(' ')[2])
        return self._message(status, answer_id, b'')

    def _refuses(self, repeated):
        if 'first' in self.script:
            return self.requests == 1
        return repeated or 'every' in self.script

    def _refuse(self, answer_id):
        if 'without any ID' in self.script:
            answer_id = ''
        refusal = self._message(503, answer_id, b'no', refused=True)
        if 'first' in self.script:
            self.earlier = refusal
        return refusal

    def _id_in(self, head):
        prefix = f'{self.id_header}: '.lower()
        for line in head.decode().split('\r\n'):
            if line.lower().startswith(prefix):
                return line[len(prefix) :]
        return ''

    def _message(self, status, answer_id, body, *, refused=False):
        lines = [f'HTTP/1.1 {status} Text', f'Content-Length: {len(body)}']
        if answer_id:
            lines.append(f'{self.id_header}: {answer_id}')
        if refused:
            lines.append(f'{self.refusal_header}: full')
        elif status == 200:
            lines.append('X-Response-Signature: s')
        return '\r\n'.join((*lines, '', '')).encode() + body


def _attempt(number):
    return Attempt(
        attempt_id=f'd.1.{number:x}',
        call_id=f'c{number}',
        incarnation=1,
        service='orders',
        route='issue',
        method='POST',
        path='/issue/1',
        headers=(('X-Attempt-Id', f'c{number}'),),
        body=b'',
        remaining_ms=REMAINING_MS,
        idempotent=False,
        rank=1,
        cost_ms=10,
        number=1,
        queue_limit=10,
    )


async def _send(context, numbers):
    upstream = context.forgetful
    server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
    address = Address(*server.sockets[0].getsockname())
    client = PooledUpstreamClient(context.dialect, AnswerLimits())
    context.results = [
        await client.exchange(
            Upstream(address, ''), _attempt(number), REMAINING_MS
        )
        for number in numbers
    ]
    await client.close()
    await asyncio.sleep(0.02)
    server.close()


@given('an upstream of the {dialect} dialect that {script}')
def use_upstream(context, dialect, script):
    """Create the upstream and the dialect."""
    own = dialect == 'own'
    context.dialect = BurdockleadDialect() if own else _platform_dialect()
    context.forgetful = ForgetfulUpstream(dialect, script)


@given(
    'that writes the refusal again before it answers a repeat on the same '
    'connection'
)
def repeat_refusal(context):
    """Check that the script has this behaviour."""
    assert context.forgetful.script == 'refuses its first request'


@when('a non-idempotent attempt is sent twice with the same ID')
def send_twice(context):
    """Send the same attempt twice."""
    asyncio.run(_send(context, (1, 1)))


@when('two non-idempotent attempts are sent')
def send_two(context):
    """Send two attempts with IDs of their own."""
    asyncio.run(_send(context, (1, 2)))


@when('more attempts are refused than the pool remembers')
def send_many(context):
    """Send attempts beyond a small limit, and the first one again."""
    context.add_cleanup(setattr, connection_pool, 'MAX_REFUSED_IDS', 4096)
    connection_pool.MAX_REFUSED_IDS = REMEMBERED
    asyncio.run(_send(context, (*range(REMEMBERED + 1), 0)))


@then('a request that was refused first is sent on a new connection')
def check_new_connection(context):
    """Check that no connection carried the request twice."""
    used = context.forgetful.used
    assert used[0] != used[-1], used


@then('the first result is a refusal and the second one is the answer')
def check_refused_then_answered(context):
    """Check both results."""
    first, second = context.results
    assert isinstance(first, UpstreamRefused), first
    assert isinstance(second, UpstreamAnswer), second
    assert second.body == b'run', second


@then('the repeat was sent on a new connection')
def check_connections(context):
    """Check the connections of the two requests."""
    assert context.forgetful.used == [1, 2], context.forgetful.used


@then('the second result is a refusal')
def check_refusal(context):
    """Check that the refusal was believed."""
    assert isinstance(context.results[1], UpstreamRefused), context.results


@then('the second result is lost')
def check_lost(context):
    """Check that nothing is claimed about the run."""
    assert isinstance(context.results[1], UpstreamLost), context.results


@then('the second result is its own answer')
def check_own_answer(context):
    """Check that no other answer was taken."""
    second = context.results[1]
    assert isinstance(second, UpstreamAnswer), second
    assert second.body in {b'second', b'd.1.2'}, second
    if context.forgetful.script == 'never sends an ID':
        assert context.forgetful.used == [1, 2], context.forgetful.used


@then('{count:d} connections were used')
def check_connection_count(context, count):
    """Check the number of connections."""
    assert context.forgetful.connections == count
