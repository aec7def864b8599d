"""Steps for lists of evacuated zones, without a network."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from burdocklead.clock import HybridClock
from burdocklead.connection.control_messages import Cursor, Heartbeat
from burdocklead.durable.configuration import AcceptedFile
from burdocklead.durable.proposer import Proposer
from burdocklead.durable.register import Register
from burdocklead.evacuation.daemon_evacuations import DaemonEvacuations
from burdocklead.evacuation.upstream_access import UpstreamAccess
from burdocklead.evacuation.zone_list import (
    EMPTY_REGISTER,
    EVACUATIONS_KEY,
    EvacuatedZones,
    decide_evacuation,
    decode_evacuations,
)
from burdocklead.events import EventRing
from burdocklead.process.replica_process import decided_registers
from burdocklead.request.admission import AdmissionQueue
from burdocklead.request.slot_gate import SlotGate
from burdocklead.request.slot_table import SlotTable
from burdocklead.values import Address, Member
from burdocklead.version.deployment import Service
from devtools.fuzz.virtual_loop import run_virtually
from tests.steps.contention_steps import REPLICAS, DelayedAcceptor
from tests.steps.slot_gate_steps import ticket
from tests.steps.spreading_steps import make_replica

DELAYS_S = {'near': 0.001, 'mid': 0.003, 'far': 0.005}
NOTICE_S = 0.5
ADDRESS = Address('127.0.0.1', 1)


@when('the evacuation orders "{orders}" are applied')
def apply_orders(context, orders):
    """Evacuate (+) or restore (-) zones in order."""
    context.zones = EMPTY_REGISTER
    for order in orders.split():
        context.zones = decide_evacuation(
            context.zones, order[1:], evacuate=order[0] == '+'
        )


@then('the evacuated zones are "{names}" with revision {revision:d}')
def check_zones(context, names, revision):
    """Compare the evacuated zones and the revision of the list."""
    evacuated = context.zones.evacuated
    assert set(evacuated.zones) == set(names.split(', ')), evacuated
    assert evacuated.revision == revision, evacuated


@then(
    'the names "{names}" are valid although no process of these zones is known'
)
def check_names(context, names):
    """Check that a resent order is not refused later."""
    for name in names.split(', '):
        assert context.zones.has_name(name), context.zones


@when(
    'three replicas change the evacuations of their zones {count:d} times each '
    'at the same time'
)
def race(context, count):
    """Evacuate and restore one zone per proposer; each ends evacuated."""
    registers = {}

    async def change(name, delay):
        rng = random.Random(name)
        acceptors = {
            replica: DelayedAcceptor(replica, registers, delay, rng)
            for replica in REPLICAS.names
        }
        proposer = Proposer(name, 1, REPLICAS, acceptors, rng)
        for number in range(count):
            value = await proposer.change(
                EVACUATIONS_KEY, order_of(name, number % 2 == 0)
            )
        return value

    async def run(loop):
        values = await asyncio.gather(
            *(change(name, delay) for name, delay in DELAYS_S.items())
        )
        newest = map(decode_evacuations, values)
        context.zones = max(newest, key=lambda one: one.evacuated.revision)

    run_virtually(run)


def order_of(zone, evacuate):
    """Return the register update of an order."""

    def update(value):
        current = decode_evacuations(value)
        return msgspec.msgpack.encode(
            decide_evacuation(current, zone, evacuate=evacuate)
        )

    return update


@given('a control replica whose register holds the evacuation of "{zone}"')
def make_holding_replica(context, zone):
    """Create a replica that accepted a list but was not told it is chosen."""
    make_replica(context, 1, 'x')
    value = order_of(zone, evacuate=True)(b'')
    context.replica.registers.commits.waiting[EVACUATIONS_KEY] = Register(
        value=value
    )

    async def read(key):
        return value if key == EVACUATIONS_KEY else b''

    context.replica.registers.read = read
    context.replica.evacuations.decided.is_read = True


@given('the control replica knows a configuration')
def learn_configuration(context):
    """Let the replica serve a file."""
    context.replica.configuration.decided.learn(AcceptedFile(1, 'digest', b'x'))


@when('the control replica checks its register')
def check_register(context):
    """Run the periodic check twice: what is new must still be there."""

    async def run():
        registers = decided_registers(context.replica)
        await registers.check()
        await registers.check()

    asyncio.run(run())


@then('the control replica serves the evacuation of "{zone}"')
def check_served_zones(context, zone):
    """Compare the list that daemons get."""
    assert heartbeat_reply(context).evacuations == EvacuatedZones(1, (zone,))


@then('a daemon gets no configuration from the control replica')
def check_no_file(context):
    """Check the reply to a heartbeat of a daemon that knows nothing."""
    assert heartbeat_reply(context).file is None


@then('a daemon gets the configuration and the evacuation of "{zone}"')
def check_file_and_zones(context, zone):
    """Check that the file and the list arrive in one reply."""
    reply = heartbeat_reply(context)
    assert reply.file is not None
    assert reply.evacuations.zones == (zone,), reply


def heartbeat_reply(context):
    """Return the reply to a daemon that has just started."""
    replica = context.replica
    return asyncio.run(replica.handle(first_heartbeat(replica)))


def first_heartbeat(replica):
    """Return the heartbeat of a daemon that has just started."""
    member = Member(
        daemon_id='d1',
        incarnation=1,
        revision=0,
        zone='north',
        link=ADDRESS,
        http=ADDRESS,
    )
    return Heartbeat(member, Cursor(), 0, replica.clock.issue())


@given('a daemon in "{zone}" with one running and two waiting calls')
def make_evacuations(context, zone):
    """The last step runs the daemon through all lists that it is told."""
    context.zone = zone
    context.script = []


@when('the daemon is told of revision {revision:d} with "{names}"')
def tell(context, revision, names):
    """Tell the daemon a list."""
    zones = tuple(names.split(', ')) if names else ()
    context.script.append(EvacuatedZones(revision, zones))


@when('the daemon is told of revision {revision:d} with ""')
def tell_none(context, revision):
    """Tell the daemon that no zone is evacuated."""
    tell(context, revision, '')


@then(
    'after {wait:g} s {count:d} calls wait and new calls are refused as '
    '"{cause}"'
)
def check_refused(context, wait, count, cause):
    """Repeat the story so far on a virtual clock."""
    assert run_script(context, wait) == (count, cause)


@then('after {wait:g} s {count:d} calls wait and new calls are accepted')
def check_accepted(context, wait, count):
    """Repeat the story so far on a virtual clock."""
    assert run_script(context, wait) == (count, None)


def run_script(context, wait):
    """Return the number of waiting calls and the cause of refusals."""
    seen = []

    async def run(loop):
        gate = SlotGate(AdmissionQueue(SlotTable(1)))
        access = UpstreamAccess()
        access.warm_up.service = lambda: Service(cold_start_s=2, cold_rate=1)
        executor = SimpleNamespace(access=access, gate=gate)
        evacuations = DaemonEvacuations(
            context.zone, executor, EventRing('d1', HybridClock()), NOTICE_S
        )
        tasks = [
            asyncio.create_task(gate.admit(ticket(name, loop.time())))
            for name in ('running', 'first', 'second')
        ]
        await asyncio.sleep(0)
        for update in context.script[:-1]:
            evacuations.learn(update)
            await asyncio.sleep(NOTICE_S * 2)
        evacuations.learn(context.script[-1])
        await asyncio.sleep(wait)
        seen.append(
            (len(gate.waiters), executor.access.refusal_cause(loop.time()))
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtually(run)
    count, cause = seen[0]
    return count, cause and cause.value
