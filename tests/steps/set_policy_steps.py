"""Steps for automatic changes of the replica set."""

from __future__ import annotations

import asyncio
import contextlib
import time
from types import SimpleNamespace

from behave import given, then

from burdocklead.connection.control_messages import CatchUpPage
from burdocklead.durable.register import EMPTY_REGISTER
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.set_change import SetChange
from burdocklead.durable.set_policy import (
    CancelChange,
    SetView,
    plan_change,
)
from burdocklead.process.replica_set_manager import ReplicaSetManager
from burdocklead.values import Address

PORT = 8090


def replica_at(name, place=''):
    """Return a replica; its address is that of ``place``, or its own."""
    host = f'10.0.0.{ord((place or name)[0])}'
    return Replica(name, Address(host, PORT), f'folder-{name}')


@given('"{own}" evaluates the set {names} with target size {size:d}')
def store_set(context, own, names, size):
    """Store a set without a change in progress."""
    replicas = tuple(replica_at(name) for name in names.split(', '))
    context.own = own
    context.size = size
    context.replica_set = ReplicaSet(4, replicas)


@given('"{own}" evaluates the set {names} that replaces {leaving} by {joining}')
def store_changing_set(context, own, names, leaving, joining):
    """Store a set with a change in progress."""
    store_set(context, own, names, len(names.split(', ')))
    replicas = context.replica_set.replicas
    following = tuple(one for one in replicas if one.replica_id != leaving) + (
        replica_at(joining),
    )
    context.replica_set = ReplicaSet(5, replicas, following)


@given('the member ages in s are {ages}')
def store_member_ages(context, ages):
    """Store the time in s since each member was heard."""
    pairs = [part.split(' ') for part in ages.split(', ')]
    context.member_ages = {name: float(age) for name, age in pairs}


@given('the candidate ages in s are {ages}')
def store_candidate_ages(context, ages):
    """Store the candidates and the time in s since each was heard."""
    context.candidate_ages = {}
    for part in ages.split(', '):
        words = part.split(' ')
        if words[0] == 'none':
            continue
        place = words[2] if words[1] == 'at' else ''
        candidate = replica_at(words[0], place)
        context.candidate_ages[candidate] = float(words[-1])


@then('the plan is {plan}')
def check_plan(context, plan):
    """Compare the planned change."""
    planned = plan_change(
        SetView(
            context.own,
            context.replica_set,
            context.member_ages,
            context.candidate_ages,
            context.size,
        )
    )
    assert _described(planned) == plan, planned


def _described(planned):
    match planned:
        case SetChange('', joining):
            return f'add {joining.replica_id}'
        case SetChange(leaving, joining):
            return f'replace {leaving} by {joining.replica_id}'
        case CancelChange():
            return 'cancel'
    return 'nothing'


class ScriptedRegisters:
    """Registers of a replica whose set changes while it reads from "b"."""

    def __init__(self, replica_set, own):
        """Connect to the other replicas of the set."""
        self.settings = SimpleNamespace(
            replica_id=own.replica_id, target_size=0, exchange_interval=0.01
        )
        self.own_replica = own
        self.is_member = True
        self.commits = SimpleNamespace(read=lambda key: EMPTY_REGISTER)
        self.use(replica_set)

    def use(self, replica_set):
        """Use a set."""
        self.replica_set = replica_set
        names = replica_set.names - {self.own_replica.replica_id}
        self.clients = {
            name: SimpleNamespace(name=name, request=self.read_page)
            for name in names
        }

    async def read_page(self, message, timeout):
        """Return the last page; the set becomes another one meanwhile."""
        if self.replica_set.epoch == 5:
            replicas = tuple(map(replica_at, 'bdj'))
            following = tuple(map(replica_at, 'bdj'))
            self.use(ReplicaSet(7, replicas, following))
        return CatchUpPage((), last=True)

    async def merge(self, entries):
        """Ignore the registers."""

    async def change(self, key, update):
        """Decide the next set."""
        return update(b'')

    async def install(self, replica_set):
        """Use the decided set."""
        self.use(replica_set)


async def _run_manager(manager):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.2):
            await manager.run_forever()


@given('a joining replica whose set changes while it catches up')
def make_joining(context):
    """Create the manager of a replica that joins a set of three."""
    replicas = tuple(map(replica_at, 'abc'))
    following = tuple(map(replica_at, 'abj'))
    registers = ScriptedRegisters(
        ReplicaSet(5, replicas, following), replica_at('j')
    )
    context.manager = ReplicaSetManager(registers, {})


@then('its set manager goes on and catches up with the new set')
def check_goes_on(context):
    """Run the manager; an unexpected error would end it."""
    asyncio.run(_run_manager(context.manager))
    assert context.manager.registers.replica_set.epoch >= 7


@given('a set manager that heard {old:d} candidates long ago and {new:d} now')
def make_candidates(context, old, new):
    """Record candidates."""
    replicas = tuple(map(replica_at, 'abc'))
    registers = ScriptedRegisters(ReplicaSet(5, replicas), replica_at('a'))
    context.manager = ReplicaSetManager(registers, {})
    now = time.monotonic()
    for number in range(old):
        context.manager.candidates[replica_at(f'x{number}')] = now - 600
    for number in range(new):
        context.manager.candidates[replica_at(f'y{number}')] = now


@then('its set manager knows {count:d} candidate')
def check_candidates(context, count):
    """Run the manager for a moment and count the candidates."""
    asyncio.run(_run_manager(context.manager))
    assert len(context.manager.candidates) == count
