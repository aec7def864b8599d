"""Steps for proposers that change one register at the same time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

import msgspec
from behave import given, then, when

from burdocklead.durable.proposer import Preemption, Proposer
from burdocklead.durable.register import EMPTY_REGISTER, handle_phase
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.exceptions import QuorumError
from burdocklead.values import Address
from devtools.fuzz.virtual_loop import run_virtually

KEY = 'configuration'
MS_PER_S = 1000
SEED = 1
REPLICAS = ReplicaSet(
    1, tuple(Replica(name, Address('127.0.0.1', 1)) for name in 'abc')
)


@dataclass
class DelayedAcceptor:
    """An acceptor behind a link.

    Attributes:
        delay: Mean delay in s in each direction; each message takes between
            half of it and one and a half times as long.
    """

    name: str
    registers: dict
    delay: float
    rng: random.Random

    def submit(self, phase):
        """Deliver a phase and its reply after the delay."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def handle():
            register = self.registers.get(self.name, EMPTY_REGISTER)
            updated, reply = handle_phase(register, phase)
            self.registers[self.name] = updated
            loop.call_later(self.next_delay(), future.set_result, reply)

        loop.call_later(self.next_delay(), handle)
        return future

    def next_delay(self):
        """Return the delay of the next message."""
        return self.delay * (0.5 + self.rng.random())


def append_to(name):
    """Return an update that appends a name to the list in a register."""

    def update(value):
        names = msgspec.json.decode(value) if value else []
        return msgspec.json.encode([*names, name])

    return update


@given('three replicas and a proposer "{name}" that reaches them in {ms:d} ms')
def make_replicas(context, name, ms):
    """Create empty registers and the first proposer."""
    context.registers = {}
    context.proposers = {}
    make_proposer(context, name, ms)


@given('a proposer "{name}" that reaches them in {ms:d} ms')
def make_proposer(context, name, ms):
    """Create a proposer with its own links to the replicas."""
    rng = random.Random(SEED)
    acceptors = {
        replica: DelayedAcceptor(replica, context.registers, ms / MS_PER_S, rng)
        for replica in REPLICAS.names
    }
    context.proposers[name] = Proposer(name, 1, REPLICAS, acceptors, rng)


@given('"{name}" was preempted {count:d} times in a row until now')
def preempt(context, name, count):
    """Let the next preemption follow in the same second."""
    context.proposers[name].preempted[KEY] = Preemption(0, count)


@when('"{name}" changes one register without a pause')
def start_changes(context, name):
    """The next step runs both proposers in one event loop."""
    context.busy = name


async def change_without_pause(proposer, decided):
    while True:
        await proposer.change(KEY, append_to(proposer.replica_id))
        decided[proposer.replica_id] += 1


@when('"{name}" changes the same register {count:d} times')
def change_beside(context, name, count):
    """Change the register a number of times beside the busy proposer."""

    async def run(loop):
        busy = context.proposers[context.busy]
        task = asyncio.create_task(change_without_pause(busy, context.decided))
        await asyncio.sleep(0.1)
        for _ in range(count):
            try:
                await context.proposers[name].change(KEY, append_to(name))
            except QuorumError as error:
                context.errors.append(str(error))
            else:
                context.decided[name] += 1
        assert not task.done(), task.exception()
        task.cancel()
        context.value = await context.proposers[name].read(KEY)

    context.decided = Counter()
    context.errors = []
    assert not run_virtually(run)


@then('each change of "{name}" is decided')
def check_decided(context, name):
    """Check that no change failed."""
    assert not context.errors, context.errors
    assert context.decided[name] > 0


@then('no change of either proposer is lost')
def check_kept(context):
    """Check that the final value holds each decided change."""
    kept = Counter(msgspec.json.decode(context.value))
    for name, count in context.decided.items():
        assert kept[name] >= count, (kept, context.decided)
