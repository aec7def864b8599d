"""Steps for load queries between daemons."""

from __future__ import annotations

import asyncio
import socket

import msgspec
from behave import given, then, when

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.load_queries import (
    PROOF_PURPOSE,
    TRUNCATED_PROOF_BYTES,
    LoadQuery,
    LoadReply,
    LoadSocket,
)
from burdocklead.fairness.tickets import Ticket
from burdocklead.metrics import CONTROL_BAD, CONTROL_UNPROVED, MetricSet
from burdocklead.request.admission import paced_admission_for
from burdocklead.request.latency_estimate import estimate_latency
from burdocklead.request.upstream_load import UpstreamLoad
from burdocklead.values import Address, Estimate, LoadReport

KEYS = (b'a key of the tests', b'another key of tests')
REPLY_TIMEOUT_S = 2
NO_REPLY_WAIT_S = 0.1
ROUTE = 'sheets/view'
SLOTS = 4
COST_MS = 100
MS_PER_S = 1000


class FixedLoad:
    """Load source with a fixed load."""

    incarnation = 7
    accepts_calls = True

    def load(self):
        """Return a load of three running calls."""
        return LoadReport(3, 0, SLOTS)

    def estimate(self, route, cost_ms):
        """Return an estimate 1 ms longer than the cost in the query."""
        return Estimate(cost_ms + 1, cost_ms) if self.accepts_calls else None


def free_address():
    """Return an address whose UDP port is free."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        return Address('127.0.0.1', probe.getsockname()[1])


@given('two load sockets with {keys}')
def create_sockets(context, keys):
    """Create both sockets, which a later step starts."""
    second = KEYS[keys == 'different keys']
    context.metrics = MetricSet()
    context.sockets = (
        LoadSocket(ClusterKey(KEYS[0]), FixedLoad(), MetricSet()),
        LoadSocket(ClusterKey(second), FixedLoad(), context.metrics),
    )
    context.addresses = (free_address(), free_address())


@given('the second one accepts no calls')
def accept_no_calls(context):
    """Make the second socket reply without an estimate."""
    context.sockets[1].source.accepts_calls = False


async def _run_with_sockets(context, run_client):
    for one, address in zip(context.sockets, context.addresses, strict=True):
        await one.start(address)
    try:
        return await run_client()
    finally:
        for one in context.sockets:
            one.close()
        await asyncio.sleep(0)


@when(
    'the first one queries the second one for the route "{route}" '
    'of {cost:d} ms'
)
def send_query(context, route, cost):
    """Send a query and wait for the reply."""

    async def run_client():
        _, reply = context.sockets[0].send_query(
            context.addresses[1], route, cost
        )
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return await reply

    context.reply = asyncio.run(_run_with_sockets(context, run_client))


@then(
    'the load reply has incarnation {number:d}, {running:d} running calls '
    'and an estimate of {expected:d} ms'
)
def check_reply(context, number, running, expected):
    """Check the fields of the reply."""
    reply = context.reply
    seen = (reply.incarnation, reply.load.busy, reply.estimate.expected_ms)
    assert seen == (number, running, expected), reply


@then('the load reply has incarnation {number:d} and no estimate')
def check_no_estimate(context, number):
    """Check the fields of the reply."""
    reply = context.reply
    assert (reply.incarnation, reply.estimate) == (number, None), reply


def append_nested(message, depth):
    """Return a MessagePack array with one more, deeply nested element."""
    first = bytes([message[0] + 1])
    nested = b'\x91' * depth
    return b''.join((first, message[1:], nested, b'\xc0'))


def _with_proof(payload):
    proof = ClusterKey(KEYS[0]).prove(PROOF_PURPOSE, payload)
    return proof[:TRUNCATED_PROOF_BYTES] + payload


@when('{datagram} is sent to the second one')
def send_datagram(context, datagram):
    """Send one datagram and store the reply, if any."""
    content = {
        'a query': _with_proof(msgspec.msgpack.encode(LoadQuery(1, ROUTE, 1))),
        'one byte': b'x',
        'an empty datagram': b'',
        'an authenticated text that is no array': _with_proof(b'text'),
        'an authenticated query nested too deeply': _with_proof(
            append_nested(msgspec.msgpack.encode(LoadQuery(1, ROUTE, 1)), 20000)
        ),
        'an authenticated reply without a query': _with_proof(
            msgspec.msgpack.encode(LoadReply(9, 1, LoadReport(0, 0, 1)))
        ),
    }[datagram]

    async def run_client():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.setblocking(False)
            address = context.addresses[1]
            sender.sendto(content, (address.host, address.port))
            await asyncio.sleep(NO_REPLY_WAIT_S)
            try:
                return sender.recv(TRUNCATED_PROOF_BYTES)
            except BlockingIOError:
                return b''

    context.answer = asyncio.run(_run_with_sockets(context, run_client))


@then('the second load socket counted {counter} and sent no reply')
def check_counted(context, counter):
    """Check the counters and that there is no reply."""
    counts = context.metrics.counts
    seen = {
        'unproved': counts[CONTROL_UNPROVED, ()],
        'bad': counts[CONTROL_BAD, ()],
    }
    expected = {name: int(name == counter) for name in seen}
    assert seen == expected, seen
    assert not context.answer, context.answer


@when('a third load socket starts at the address of the second one')
def start_third(context):
    """Send a query from a socket whose port is in use."""
    third = LoadSocket(ClusterKey(KEYS[0]), FixedLoad(), MetricSet())

    async def run_client():
        await third.start(context.addresses[1])
        number, reply = third.send_query(context.addresses[1], ROUTE, 1)
        await asyncio.sleep(NO_REPLY_WAIT_S)
        third.forget(number)
        third.close()
        return reply.done()

    context.third_done = asyncio.run(_run_with_sockets(context, run_client))


@then('its query gets no reply and it closes without an error')
def check_third(context):
    """Check that the query is still pending."""
    assert context.third_done is False


@given('an upstream of {slots:d} slots that completed calls of {cost:d} ms')
def create_admission(context, slots, cost):
    """Run calls one after the other."""
    context.queue = paced_admission_for(slots)
    context.now = 1
    for number in range(20):
        _run_one(context, f'first{number}', cost)


def _offer(context, name):
    deadline = context.now + 100
    ticket = Ticket(name, ROUTE, 1, COST_MS, deadline, 1000)
    return context.queue.offer(ticket, context.now)


def _run_one(context, name, cost_ms):
    _offer(context, name)
    context.now += cost_ms / MS_PER_S
    context.queue.release(name, cost_ms, context.now)


@when('no calls run')
def keep_idle(context):
    """Leave the upstream idle."""


@when('{count:d} calls run')
def start_calls(context, count):
    """Start calls."""
    for number in range(count):
        _offer(context, f'running{number}')


@when('{running:d} calls run and {waiting:d} wait')
def fill_slots(context, running, waiting):
    """Offer more calls than there are slots."""
    start_calls(context, running + waiting)


@when('{count:d} calls have been running for 1 s')
def start_overdue_calls(context, count):
    """Start calls that exceed their expected service time."""
    start_calls(context, count)
    context.now += 1


@when('its last {count:d} calls took {cost:d} ms each')
def run_slow_calls(context, count, cost):
    """Run calls that take longer than usual."""
    for number in range(count):
        _run_one(context, f'slow{number}', cost)


@when('it has just reported a pace of {pace:d}')
def report_pace(context, pace):
    """Report the usual pace, then a slow one."""
    view = context.queue.pace
    view.observe(UpstreamLoad(0, 0, SLOTS, 1), context.now - 0.01)
    view.observe(UpstreamLoad(0, 0, SLOTS, pace), context.now)


@when('it reported a pace of {pace:d} a second ago')
def report_pace_earlier(context, pace):
    """Report a slow pace that is out of date."""
    report_pace(context, pace)
    context.now += 1


@then('a new call is expected to take {least:d} to {most:d} ms')
def check_estimate(context, least, most):
    """Check that the estimate is within the limits."""
    estimate = estimate_latency(context.queue, ROUTE, COST_MS, context.now)
    assert least <= estimate.expected_ms <= most, estimate
