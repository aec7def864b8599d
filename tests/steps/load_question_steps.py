"""Steps for questions for the load beside an upstream."""

from __future__ import annotations

import asyncio
import socket

import msgspec
from behave import given, then, when

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.load_questions import (
    PURPOSE,
    SHORT_PROOF_BYTES,
    LoadQuestion,
    LoadReply,
    LoadSocket,
)
from burdocklead.metrics import CONTROL_BAD, CONTROL_UNPROVED, MetricSet
from burdocklead.request.admission import Ticket, paced_admission_for
from burdocklead.request.latency_estimate import estimate_latency
from burdocklead.request.upstream_load import UpstreamLoad
from burdocklead.values import Address, Estimate, LoadReport

KEYS = (b'a key of the tests', b'another key of tests')
REPLY_LIMIT_S = 2
QUIET_S = 0.1
ROUTE = 'sheets/view'
SLOTS = 4
COST_MS = 100
MS_PER_S = 1000


class FixedLoad:
    """Tells a fixed load."""

    incarnation = 7
    takes_work = True

    def load(self):
        """Return three running calls."""
        return LoadReport(3, 0, SLOTS)

    def estimate(self, route, cost_ms):
        """Return an estimate from the question."""
        return Estimate(cost_ms + 1, cost_ms) if self.takes_work else None


def free_address():
    """Return an address whose UDP port nobody uses now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        return Address('127.0.0.1', probe.getsockname()[1])


@given('two load sockets with {keys}')
def plan_sockets(context, keys):
    """Make both sockets; they start with the question."""
    second = KEYS[keys == 'other keys']
    context.metrics = MetricSet()
    context.sockets = (
        LoadSocket(ClusterKey(KEYS[0]), FixedLoad(), MetricSet()),
        LoadSocket(ClusterKey(second), FixedLoad(), context.metrics),
    )
    context.addresses = (free_address(), free_address())


@given('the second one takes no work')
def plan_refusing(context):
    """Let the second one give no estimate."""
    context.sockets[1].source.takes_work = False


async def _while_open(context, work):
    for one, address in zip(context.sockets, context.addresses, strict=True):
        await one.start(address)
    try:
        return await work()
    finally:
        for one in context.sockets:
            one.close()
        await asyncio.sleep(0)


@when(
    'the first one asks the second one for the route "{route}" of {cost:d} ms'
)
def ask(context, route, cost):
    """Ask and wait for the reply."""

    async def work():
        _, reply = context.sockets[0].ask(context.addresses[1], route, cost)
        async with asyncio.timeout(REPLY_LIMIT_S):
            return await reply

    context.reply = asyncio.run(_while_open(context, work))


@then(
    'the load reply names incarnation {number:d}, {running:d} running calls '
    'and {expected:d} ms'
)
def check_reply(context, number, running, expected):
    """Compare the reply."""
    reply = context.reply
    seen = (reply.incarnation, reply.load.busy, reply.estimate.expected_ms)
    assert seen == (number, running, expected), reply


@then('the load reply names incarnation {number:d} and no estimate')
def check_no_estimate(context, number):
    """Compare the reply."""
    reply = context.reply
    assert (reply.incarnation, reply.estimate) == (number, None), reply


def _proven(payload):
    proof = ClusterKey(KEYS[0]).prove(PURPOSE, payload)
    return proof[:SHORT_PROOF_BYTES] + payload


@when('{what} is sent to the second one')
def send_datagram(context, what):
    """Send one datagram and keep what comes back."""
    content = {
        'a question': _proven(
            msgspec.msgpack.encode(LoadQuestion(1, ROUTE, 1))
        ),
        'one byte': b'x',
        'nothing': b'',
        'a proven text that is no list': _proven(b'text'),
        'a proven reply to nobody': _proven(
            msgspec.msgpack.encode(LoadReply(9, 1, LoadReport(0, 0, 1)))
        ),
    }[what]

    async def work():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.setblocking(False)
            address = context.addresses[1]
            sender.sendto(content, (address.host, address.port))
            await asyncio.sleep(QUIET_S)
            try:
                return sender.recv(SHORT_PROOF_BYTES)
            except BlockingIOError:
                return b''

    context.answer = asyncio.run(_while_open(context, work))


@then('the second load socket counted {counter} and answered nothing')
def check_counted(context, counter):
    """Compare the counters."""
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
    """Take the same port again and ask."""
    third = LoadSocket(ClusterKey(KEYS[0]), FixedLoad(), MetricSet())

    async def work():
        await third.start(context.addresses[1])
        number, reply = third.ask(context.addresses[1], ROUTE, 1)
        await asyncio.sleep(QUIET_S)
        third.forget(number)
        third.close()
        return reply.done()

    context.third_done = asyncio.run(_while_open(context, work))


@then('its questions get no reply and it closes without an error')
def check_third(context):
    """Check that the questions stayed open."""
    assert context.third_done is False


@given('an upstream of {slots:d} slots that ran calls of {cost:d} ms')
def plan_upstream(context, slots, cost):
    """Let calls run one after the other."""
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


@when('nothing runs')
def leave_idle(context):
    """Change nothing."""


@when('{count:d} calls run')
def start_calls(context, count):
    """Start calls."""
    for number in range(count):
        _offer(context, f'running{number}')


@when('{running:d} calls run and {waiting:d} wait')
def fill_up(context, running, waiting):
    """Offer more calls than there are slots."""
    start_calls(context, running + waiting)


@when('{count:d} calls have been running for 1 s')
def let_overdue(context, count):
    """Start calls that take long."""
    start_calls(context, count)
    context.now += 1


@when('its last {count:d} calls took {cost:d} ms each')
def run_slow(context, count, cost):
    """Let calls take long."""
    for number in range(count):
        _run_one(context, f'slow{number}', cost)


@when('it tells a pace of {pace:d} just now')
def tell_pace(context, pace):
    """Report a slow moment after a usual one."""
    view = context.queue.pace
    view.observe(UpstreamLoad(0, 0, SLOTS, 1), context.now - 0.01)
    view.observe(UpstreamLoad(0, 0, SLOTS, pace), context.now)


@when('it told a pace of {pace:d} a second ago')
def tell_pace_before(context, pace):
    """Report a slow moment that says little by now."""
    tell_pace(context, pace)
    context.now += 1


@then('a new call is expected to take {least:d} to {most:d} ms')
def check_estimate(context, least, most):
    """Compare the estimate."""
    estimate = estimate_latency(context.queue, ROUTE, COST_MS, context.now)
    assert least <= estimate.expected_ms <= most, estimate
