"""Steps for replicas whose address or name is taken over by another one."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import socket
from dataclasses import dataclass, field
from pathlib import Path

from behave import given, then, when

from burdocklead.connection.control_server import ControlServer
from burdocklead.durable.replica_set import ReplicaSet
from burdocklead.durable.set_change import SetChange
from burdocklead.exceptions import BurdockleadError, ControlError, QuorumError
from burdocklead.options import read_settings
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.replica_exchange import ReplicaExchange
from burdocklead.settings import ControlSettings

KEY = 'value'
EXCHANGE_S = 0.4
ANSWER_S = 10


def _free_ports(count):
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


@dataclass
class ReplicaGroup:
    """Replicas with servers on loopback; their tasks run on request.

    Attributes:
        folder: Folder of the data folders.
        ports: Port of each replica.
        replicas: The replicas by name.
        servers: Servers of those that answer.
        loop: Loop on which all of them run.
    """

    folder: Path
    ports: dict
    replicas: dict = field(default_factory=dict)
    servers: dict = field(default_factory=dict)
    loop: asyncio.AbstractEventLoop = field(
        default_factory=asyncio.new_event_loop
    )

    def run(self, work):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(asyncio.wait_for(work, ANSWER_S))

    def start(self, name, *, bootstrap='on'):
        """Start a replica on its data folder."""
        seeds = ','.join(f'127.0.0.1:{port}' for port in self.ports.values())
        flags = {
            'replica_id': name,
            'zone': 'a',
            'listen': f'127.0.0.1:{self.ports[name]}',
            'seeds': seeds,
            'data_folder': str(self.folder / name),
            'exchange_interval': '0.05',
            'bootstrap': bootstrap,
        }
        settings = read_settings(ControlSettings, flags, {})
        self.replicas[name] = ControlReplica(settings)
        self.answer(name)

    def answer(self, name):
        """Start the server of a replica."""

        async def start():
            replica = self.replicas[name]
            server = ControlServer(
                replica.handle, replica.credentials, replica.metrics
            )
            server.start(replica.settings.listen)
            return server

        self.servers[name] = self.run(start())

    def silence(self, name):
        """Stop the server of a replica."""
        self.run(self.servers.pop(name).close())

    def lose_disk(self, name):
        """End a replica and remove its data folder."""
        self.silence(name)
        replica = self.replicas.pop(name)
        for client in replica.registers.clients.values():
            client.close()
        self.run(replica.registers.close())
        shutil.rmtree(self.folder / name)

    def registers(self, name):
        """Return the registers of a replica."""
        return self.replicas[name].registers

    def close(self):
        """Stop all servers and clients."""
        for name in list(self.servers):
            self.silence(name)
        for replica in self.replicas.values():
            for client in replica.registers.clients.values():
                client.close()
            self.run(replica.registers.close())
        self.loop.run_until_complete(self.loop.shutdown_default_executor())
        self.loop.close()


def _names(text):
    return text.split(', ')


def _start_group(context, names):
    ports = dict(zip(_names(names), _free_ports(len(_names(names)))))
    context.group = ReplicaGroup(context.folder, ports)
    context.add_cleanup(context.group.close)
    for name in ports:
        context.group.start(name)
    return context.group


def _set_of(group, names):
    members = [group.registers(name).own_replica for name in names]
    return ReplicaSet(1, tuple(sorted(members)))


def _write(group, name, text):
    value = group.run(
        group.registers(name).change(KEY, lambda current: text.encode())
    )
    assert value == text.encode(), value


@given('the replicas "{names}" in one set, with "{text}" in a register')
def start_set(context, names, text):
    """Install the first set everywhere and write a value."""
    group = _start_group(context, names)
    first = _set_of(group, _names(names))
    for name in _names(names):
        group.run(group.registers(name).install(first))
    _write(group, _names(names)[0], text)


@when('"{name}" is silent')
def silence_replica(context, name):
    """Stop its server."""
    context.group.silence(name)


@when('"{name}" answers again')
def unsilence_replica(context, name):
    """Start its server."""
    context.group.answer(name)


@when('"{text}" is written through "{name}"')
def write_value(context, text, name):
    """Change the register."""
    _write(context.group, name, text)


@when('"{lost}" loses its disk and "{name}" starts at its address')
def replace_disk(context, lost, name):
    """Start a replica with an empty data folder at the address."""
    group = context.group
    group.lose_disk(lost)
    group.ports[name] = group.ports[lost]
    group.start(name, bootstrap='off')


@when('the replacement of "{lost}" by "{name}" is started through "{other}"')
def start_replacement(context, lost, name, other):
    """Start the change as the policy does."""
    group = context.group
    manager = group.replicas[other].set_manager
    now = group.loop.time()
    manager.last_reply_at.update({one: now for one in group.replicas})
    joining = group.registers(name).own_replica
    decided = group.run(manager.start(SetChange(lost, joining)))
    assert decided.following, decided


@when('"{name}" learns of the change')
def learn_set(context, name):
    """Install the newest set of the others."""
    group = context.group
    newest = max(
        (replica.registers.replica_set for replica in group.replicas.values()),
        key=lambda replica_set: replica_set.epoch,
    )
    group.run(group.registers(name).install(newest))


@then('a read at "{name}" finds no quorum')
def check_no_quorum(context, name):
    """Read the register."""
    try:
        value = context.group.run(context.group.registers(name).read(KEY))
    except QuorumError:
        return
    raise AssertionError(f'it returned {value}')


@then('a read at "{name}" returns "{text}"')
def check_value(context, name, text):
    """Read the register."""
    value = context.group.run(context.group.registers(name).read(KEY))
    assert value == text.encode(), value


@then('"{text}" can not be written through "{name}"')
def check_not_written(context, text, name):
    """Change the register."""
    try:
        _write(context.group, name, text)
    except QuorumError:
        return
    raise AssertionError('it was written')


def _try_catch_up(group, name):
    """Let a replica go on with the change, as its task does once."""
    manager = group.replicas[name].set_manager
    with contextlib.suppress(BurdockleadError, TimeoutError):
        group.run(manager._reconcile())
    return manager.caught_up_epoch


@then('"{name}" does not catch up')
def check_not_caught_up(context, name):
    """Try once."""
    assert not _try_catch_up(context.group, name)


@then('"{name}" catches up')
def check_caught_up(context, name):
    """Try once and expect the change to have ended."""
    group = context.group
    assert _try_catch_up(group, name)
    replica_set = group.registers(name).replica_set
    assert not replica_set.following, replica_set


@when('"{name}" exchanges state with the others')
def exchange(context, name):
    """Run the exchange for a short time."""

    async def run():
        replica = context.group.replicas[name]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EXCHANGE_S):
                await ReplicaExchange(replica).run_forever()

    context.group.run(run())


@then('"{name}" has heard "{names}"')
def check_heard(context, name, names):
    """Compare the replicas whose replies count."""
    heard = context.group.replicas[name].set_manager.last_reply_at
    assert sorted(heard) == _names(names), heard


def _discover(group, name, other):
    """Let a replica discover another one that is in no set."""
    found = group.registers(other).own_replica
    group.replicas[name].set_manager.observe_replica(found, ReplicaSet())


@given('the replicas "{names}" without a set, known to "{name}"')
def start_unset(context, names, name):
    """Start replicas that have just started for the first time."""
    group = _start_group(context, names)
    for other in _names(names):
        _discover(group, name, other)


@when('"{first}" forms a set that "{name}" misses')
def form_unnoticed(context, first, name):
    """Form the set while one replica is frozen."""
    group = context.group
    formed = _set_of(group, list(group.replicas))
    assert formed.replicas[0].replica_id == first, formed
    for other in group.replicas:
        if other != name:
            group.run(group.registers(other).install(formed))


@when('"{name}" hears of "{other}"')
def hear_of(context, name, other):
    """Discover a replica."""
    _discover(context.group, name, other)


@when('"{name}" forms the first set if it may')
def form_first_set(context, name):
    """Let the replica go on, as its task does once."""
    manager = context.group.replicas[name].set_manager
    with contextlib.suppress(ControlError):
        context.group.run(manager._reconcile())


@then('"{name}" is in no set')
def check_no_set(context, name):
    """Check the epoch."""
    replica_set = context.group.registers(name).replica_set
    assert not replica_set.epoch, replica_set


@then('"{name}" is in a set of "{names}"')
def check_set(context, name, names):
    """Check the names."""
    replica_set = context.group.registers(name).replica_set
    assert replica_set.epoch == 1, replica_set
    assert sorted(replica_set.names) == _names(names), replica_set
