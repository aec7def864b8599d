"""Steps for values that a quorum decided, with replicas in one process."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
from behave import given, then, when

from burdocklead.connection.control_messages import Phases
from burdocklead.connection.control_server import ControlServer
from burdocklead.durable.configuration import (
    CONFIGURATION_KEY,
    decide_change,
    decode_accepted_file,
    parse_proposal,
)
from burdocklead.durable.drains import (
    DRAINS_KEY,
    decide_drain,
    decode_drains,
)
from burdocklead.durable.register import Accept, Accepted, Ballot, Prepare
from burdocklead.durable.replica_set import Replica
from burdocklead.durable.set_change import (
    REPLICA_SET_KEY,
    SetChange,
    decode_set,
    start_change,
)
from burdocklead.evacuation.zone_list import EVACUATIONS_KEY
from burdocklead.exceptions import ControlError, QuorumError
from burdocklead.options import read_settings
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.replica_process import start_replica_tasks
from burdocklead.process.supervision import Supervisor
from burdocklead.settings import ControlSettings
from burdocklead.values import Address
from devtools.processes import port_of_socket, reserve_port
from tests.steps.evacuation_steps import first_heartbeat, order_of

NAMES = ('c1', 'c2', 'c3')
START_LIMIT_S = 20
POLL_S = 0.02
SETTLE_S = 0.6  # All replicas have read their registers once.
SOCKETS_CLOSE_S = 0.1
CONFIRMATIONS = 'burdocklead_values_confirmed_total'
UNUSED = Address('127.0.0.1', 1)
TEXT = """
version = {version}
[services.records]
[[services.records.routes]]
name = "r"
method = "GET"
path = "/v{version}"
idempotent = true
"""
PATCH = """
base = {base}
version = {version}
[services.more]
[[services.more.routes]]
name = "r"
method = "GET"
path = "/"
idempotent = true
"""


class RunningReplica:
    """A replica with its server and tasks; it may be cut off.

    Attributes:
        replica: The replica.
        is_cut: True while no message in either direction passes.
    """

    def __init__(self, folder, name, replica_list):
        """Create the replica and start serving."""
        addresses = dict(one.split('=') for one in replica_list.split(','))
        settings = read_settings(
            ControlSettings,
            {
                'zone': 'victoria',
                'replica_id': name,
                'replicas': replica_list,
                'listen': addresses[name],
                'data_folder': str(folder / name),
            },
            {},
        )
        self.is_cut = False
        self.replica = ControlReplica(settings)
        self.server = ControlServer(
            self.handle, self.replica.credentials, self.replica.metrics
        )
        self.server.start(settings.listen)
        supervisor = Supervisor(
            self.replica.events, self.replica.metrics, lambda: None
        )
        self.tasks = start_replica_tasks(self.replica, supervisor)

    async def handle(self, message):
        """Handle a message; one that arrives during a cut is lost."""
        if self.is_cut:
            await asyncio.Event().wait()
        return await self.replica.handle(message)

    def cut_off(self):
        """Lose all messages in either direction."""
        self.is_cut = True
        for client in self.replica.registers.clients.values():
            client.request = _lose

    def join(self):
        """End a cut."""
        self.is_cut = False
        for client in self.replica.registers.clients.values():
            del client.request

    def stop_tasks(self):
        """Stop what the replica does by itself."""
        for task in self.tasks:
            task.cancel()

    async def kill(self):
        """End the replica."""
        self.stop_tasks()
        for client in self.replica.registers.clients.values():
            client.close()
        await self.server.close()


async def _lose(message, timeout):
    await asyncio.sleep(timeout)
    raise ControlError('no answer in time', step='cut')


async def _handed(running):
    """Return what a daemon that starts now gets."""
    replica = running.replica
    reply = await replica.handle(first_heartbeat(replica))
    zones = reply.evacuations.zones if reply.evacuations else ()
    return {
        f'version {reply.file.version if reply.file else 0}',
        f'epoch {replica.registers.replica_set.epoch}',
        'the evacuation' if 'north' in zones else 'no evacuation',
        'the drain' if 'd1' in reply.drains.daemons else 'no drain',
    }


async def _wait_handed(context, names, outcomes, limit_s):
    """Wait until replicas hand daemons all of the outcomes."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    while True:
        handed = [await _handed(context.running[name]) for name in names]
        if all(outcomes <= one for one in handed):
            return
        assert loop.time() < deadline, handed
        await asyncio.sleep(POLL_S)


def _run(context, work):
    return context.runner.run(work)


async def _close(context):
    replicas = [*context.running.values(), *context.ended]
    for running in replicas:
        await running.kill()
    for running in replicas:
        await running.replica.registers.close()
    # The threads of their sockets call the loop once more.
    await asyncio.sleep(SOCKETS_CLOSE_S)


@given('three replicas that serve version 1 to daemons')
def start_replicas(context):
    """Start the replicas and apply version 1."""
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.running = {}
    context.ended = []
    context.add_cleanup(lambda: _run(context, _close(context)))
    _run(context, _start(context))


async def _start(context):
    sockets = [reserve_port() for _ in NAMES]
    replica_list = ','.join(
        f'{name}=127.0.0.1:{port_of_socket(one)}'
        for name, one in zip(NAMES, sockets, strict=True)
    )
    for name in NAMES:
        context.running[name] = RunningReplica(
            context.folder, name, replica_list
        )
    for one in sockets:
        one.close()
    await _wait_handed(context, NAMES, {'epoch 1'}, START_LIMIT_S)
    await _decide_first(context.running['c1'].replica)
    context.running['c1'].replica.exchange_requested.set()
    await _wait_handed(context, NAMES, {'version 1'}, START_LIMIT_S)
    await asyncio.sleep(SETTLE_S)


async def _decide_first(replica):
    """Have version 1 decided; a replica may have to install the set first."""
    while True:
        with contextlib.suppress(QuorumError):
            await _decide(replica, 'version 1')
            return


def _configuration_update(change):
    """Return the update of the register for a version or a patch to it."""
    version = int(change.rpartition(' ')[2])

    def update(value):
        file = decode_accepted_file(value)
        template = PATCH if change.startswith('a patch') else TEXT
        text = template.format(version=version, base=file.version)
        decided, result = decide_change(file, parse_proposal(text.encode()))
        assert result.accepted, result
        return msgspec.msgpack.encode(decided)

    return update


def _set_update(replica):
    known = replica.registers.replica_set
    joining = Replica('c4', UNUSED, 'c4')

    def update(value):
        change = SetChange('', joining)
        names = frozenset((*NAMES, 'c4'))
        following = start_change(decode_set(value, known), change, names)
        return msgspec.msgpack.encode(following)

    return update


def _drain_update(value):
    drained = decide_drain(decode_drains(value), 'd1', drained=True)
    return msgspec.msgpack.encode(drained)


async def _decide(replica, change):
    """Have a quorum decide a change and tell nobody."""
    match change:
        case 'an evacuation':
            key, update = EVACUATIONS_KEY, order_of('north', evacuate=True)
        case 'a drain':
            key, update = DRAINS_KEY, _drain_update
        case 'a change of the set':
            key, update = REPLICA_SET_KEY, _set_update(replica)
        case _:
            key, update = CONFIGURATION_KEY, _configuration_update(change)
    await replica.registers.change(key, update)


@when(
    'replica "{name}" has {changes} decided and is {end} before it announces '
    '{objects}'
)
def decide_and_end(context, name, changes, end, objects):
    """The replica neither sends nor answers anything after the change."""
    _run(context, _decide_and_end(context.running[name], changes, end))
    context.ended.append(context.running.pop(name))


async def _decide_and_end(running, changes, end):
    if end != 'cut off':
        running.stop_tasks()
    # Requests of the others are lost, the change itself still passes.
    running.is_cut = True
    for change in changes.split(', '):
        await _decide(running.replica, change)
    running.cut_off()
    if end == 'killed':
        await running.kill()


@when('replica "{name}" has {change} decided')
def decide(context, name, change):
    """Have a quorum decide a change."""
    _run(context, _decide(context.running[name].replica, change))


@when('replica "{name}" is out of reach')
def cut_one(context, name):
    """Lose the messages of one replica."""
    context.running[name].cut_off()


@when('replicas "{names}" are out of reach')
def cut_several(context, names):
    """Lose the messages of several replicas."""
    for name in names.split(', '):
        context.running[name].cut_off()


@when('replica "{name}" is in reach again')
def end_cut(context, name):
    """End the cut of one replica."""
    context.running[name].join()


@when('replica "{name}" alone accepts {change}')
def accept_alone(context, name, change):
    """Let a proposer end after one of its accepts has arrived."""
    _run(context, _accept_alone(context, name, change))


async def _accept_alone(context, name, change):
    registers = context.running[name].replica.registers
    held = registers.commits.read(CONFIGURATION_KEY)
    ballot = Ballot(held.promised.counter + 1, 1, 'a proposer that ended')
    for running in context.running.values():
        await _send(running, Prepare(CONFIGURATION_KEY, ballot))
    value = _configuration_update(change)(held.value)
    accept = Accept(CONFIGURATION_KEY, ballot, value)
    reply = await _send(context.running[name], accept)
    assert isinstance(reply, Accepted), reply


async def _send(running, phase):
    registers = running.replica.registers
    epoch = registers.replica_set.epoch
    message = Phases(epoch, (phase,), registers.identity.identity)
    return (await running.replica.handle(message)).replies[0]


@then('within {limit:g} s replicas "{names}" hand daemons {outcomes}')
def check_handed(context, limit, names, outcomes):
    """Check what a daemon that starts now gets of each replica."""
    wanted = set(outcomes.split(', '))
    _run(context, _wait_handed(context, names.split(', '), wanted, limit))


@then('for {span:g} s replica "{name}" hands daemons {outcome}')
def check_kept(context, span, name, outcome):
    """Check that a daemon that starts gets nothing else meanwhile."""
    _run(context, _check_kept(context.running[name], span, outcome))


async def _check_kept(running, span, outcome):
    loop = asyncio.get_running_loop()
    end = loop.time() + span
    while loop.time() < end:
        handed = await _handed(running)
        assert outcome in handed, handed
        await asyncio.sleep(POLL_S)


@then('replica "{name}" has read its register again at most {limit:d} times')
def check_confirmations(context, name, limit):
    """Count the values of its register that it has confirmed."""
    counts = context.running[name].replica.metrics.counts
    confirmed = sum(
        count
        for (metric, _), count in counts.items()
        if metric.name == CONFIRMATIONS
    )
    assert 0 < confirmed <= limit, confirmed
