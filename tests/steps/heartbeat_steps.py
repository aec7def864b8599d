"""Steps for the heartbeats of a daemon and the replicas it sends them to."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from burdocklead.clock import NO_TIME, HybridClock
from burdocklead.connection.control_client import FailoverControlClient
from burdocklead.connection.control_messages import (
    Cursor,
    Heartbeat,
    HeartbeatReply,
    MemberUpdate,
)
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.exceptions import ControlError, QuorumError
from burdocklead.options import read_settings
from burdocklead.process.control_agent import ControlAgent
from burdocklead.process.control_replica import ControlReplica
from burdocklead.process.daemon_components import DaemonComponents
from burdocklead.process.replica_exchange import ReplicaExchange
from burdocklead.settings import ControlSettings, DaemonSettings
from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.values import Address, Member

MS_PER_S = 1000
HOST = '127.0.0.1'
MEMBER = Member(
    daemon_id='d1',
    incarnation=1,
    revision=1,
    zone='victoria',
    link=Address(HOST, 1),
    http=Address(HOST, 2),
)


@dataclass
class ChangingMember:
    """The member record of a daemon whose upstream may drain."""

    member: Member = MEMBER
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    draining: bool = False

    def describe(self, version):
        """Return the record."""
        return SimpleNamespace(draining=self.draining, version=version)

    def set_operator_drain(self, drained):
        """Ignore drains by operators."""


@dataclass
class RecordingReplica:
    """A replica that answers heartbeats after a delay and records them."""

    delay: float
    received: list = field(default_factory=list)
    name: str = 'a'

    @property
    def client(self):
        """Return the client of the preferred replica."""
        return self

    async def request(self, message, timeout):
        """Answer a heartbeat."""
        loop = asyncio.get_running_loop()
        self.received.append((loop.time(), message.member.draining))
        await asyncio.sleep(self.delay)
        return HeartbeatReply(Cursor(), False, (), None, 0, NO_TIME)


@given(
    'a daemon with a heartbeat interval of {interval:d} s whose replica '
    'answers in {ms:d} ms'
)
def make_daemon(context, interval, ms):
    """The next step runs the daemon."""
    context.interval = interval
    context.replica = RecordingReplica(ms / MS_PER_S)


@when('its upstream starts to drain during a heartbeat')
def drain_during_heartbeat(context):
    """Change the member while the replica answers."""

    async def run():
        local = ChangingMember()
        directory = SimpleNamespace(
            version=1,
            known_version=1,
            apply_updates=lambda updates, **flags: None,
            evacuations=SimpleNamespace(learn=lambda update: None),
            keys=CurrentKeys(),
        )
        agent = ControlAgent(
            context.replica, local, directory, HybridClock(), context.interval
        )
        agent.connected = True
        task = asyncio.create_task(agent.run_forever())
        await asyncio.sleep(context.replica.delay / 2)
        local.draining = True
        local.changed.set()
        await asyncio.sleep(context.replica.delay * 6)
        task.cancel()
        age = asyncio.get_running_loop().time() - directory.keys.confirmed_at
        assert age < context.replica.delay * 8, age

    asyncio.run(run())


@then('the replica is told of the drain within {ms:d} ms')
def check_told(context, ms):
    """Check the time between the heartbeat and the next one."""
    drained = [at for at, draining in context.replica.received if draining]
    first = context.replica.received[0][0]
    assert drained, context.replica.received
    assert (drained[0] - first) * MS_PER_S < ms, context.replica.received


def addresses_of(names, first_port=1):
    """Return a name and an address for each replica."""
    return tuple(
        (name, Address(HOST, first_port + ord(name[0]) + len(name)))
        for name in names.split(', ')
    )


@given('a control client for the seeds "{names}"')
def make_client(context, names):
    """Create a client; no socket is opened."""
    context.client = FailoverControlClient(
        addresses_of(names), PeerCredentials(None, None)
    )


@when('the replica set "{names}" is in use with "{first}" first')
def use_set(context, names, first):
    """Use a replica set."""
    context.client.use_replicas(addresses_of(names, 1000), first)
    context.known = context.client.client


@when('the seeds become "{names}"')
def change_seeds(context, names):
    """Use other seeds."""
    context.client.use_fallback(addresses_of(names))


@when('the address of "{name}" in the settings is another one')
def change_address(context, name):
    """The seeds have other ports than the set."""
    assert name in dict(context.client.fallback)


@then('the control client tries "{names}" in this order')
def check_order(context, names):
    """Fail over from each replica to the next."""
    tried = []
    for _ in context.client.clients:
        tried.append(context.client.client.name)
        context.client.switch_replica()
    assert tried == names.split(', '), tried


@then('the client of "{name}" is the same as before')
def check_same(context, name):
    """Check that the open client was kept."""
    assert context.client.client is context.known
    assert context.known.name == name


def updates_of(names):
    """Return an update for each daemon that is present."""
    return [
        MemberUpdate(
            msgspec.structs.replace(MEMBER, daemon_id=name),
            gone=False,
            age_ms=0,
        )
        for name in names.split(', ')
    ]


@given('a daemon that knows the members "{names}"')
def make_directory(context, names):
    """Create the directory of a daemon."""
    flags = {'zone': 'a', 'control': 'c=127.0.0.1:1', 'daemon_id': 'd1'}
    components = DaemonComponents(read_settings(DaemonSettings, flags, {}))
    context.add_cleanup(components.load_socket.close)
    context.directory = components.directory
    context.directory.apply_updates(updates_of(names), is_snapshot=True)


@when('a replica that has just started sends a snapshot with "{names}"')
def apply_early_snapshot(context, names):
    """Apply what a replica knows soon after its start."""
    context.directory.apply_updates(
        updates_of(names), is_snapshot=True, is_settled=False
    )


@when('a settled replica sends a snapshot with "{names}"')
def apply_snapshot(context, names):
    """Apply all members."""
    context.directory.apply_updates(updates_of(names), is_snapshot=True)


@when('the same replica reports "{names}"')
def apply_early_updates(context, names):
    """Apply the members that announced themselves since."""
    context.directory.apply_updates(
        updates_of(names), is_snapshot=False, is_settled=False
    )


@when('the same replica is settled')
def apply_settled(context):
    """Apply a reply without changes."""
    context.directory.apply_updates((), is_snapshot=False)


@then('the daemon knows the members "{names}"')
def check_members(context, names):
    """Compare the members."""
    members = sorted(context.directory.members)
    assert members == names.split(', '), members


@given('a replica with leases of {lease:g} s that has just started')
def make_replica(context, lease):
    """The next steps run the replica."""
    flags = {
        'replica_id': 'a',
        'zone': 'a',
        'replicas': 'a=127.0.0.1:1,b=127.0.0.1:2',
        'data_folder': str(context.folder),
        'member_lease': str(lease),
        'exchange_interval': '0.05',
    }
    context.settings = read_settings(ControlSettings, flags, {})
    context.replica = ControlReplica(context.settings)


def is_settled(context):
    """Return what the replica says in a heartbeat reply."""
    message = Heartbeat(MEMBER, Cursor(), 0, NO_TIME)
    return asyncio.run(context.replica.handle(message)).is_settled


@then('it says in its heartbeat replies that it is not settled')
def check_not_settled(context):
    """Check the first reply."""
    assert not is_settled(context)


@then('it says in its heartbeat replies that it is settled')
def check_settled(context):
    """Check a later reply."""
    assert is_settled(context)


@when('a lease has passed')
def pass_lease(context):
    """Run the task that expires leases."""

    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(context.settings.member_lease * 1.5):
                await context.replica.expire_forever()

    asyncio.run(run())


@when('it hears from a settled replica')
def hear_settled(context):
    """Run one exchange with a replica that answers."""

    async def answer(message, timeout):
        return HeartbeatReply(Cursor('b', 1, 1), True, (), None, 0, NO_TIME)

    async def run():
        registers = context.replica.registers
        registers.clients = {'b': SimpleNamespace(name='b', request=answer)}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.1):
                await ReplicaExchange(context.replica).run_forever()

    asyncio.run(run())


class ScriptedClient:
    """A client whose replica answers after a time in s, or with an error."""

    def __init__(self, name, behaviour):
        """Parse ``150 ms`` or ``an error``."""
        self.name = name
        number = behaviour.removeprefix('after ').removesuffix(' ms')
        self.delay = None if 'error' in behaviour else int(number) / MS_PER_S

    async def request(self, message, timeout):
        """Answer with the name of the replica."""
        if self.delay is None:
            raise QuorumError('no quorum', step='test')
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(self.delay)
        except TimeoutError:
            raise ControlError('no answer in time', step='test') from None
        return self.name


@when('its replicas answer {one}, {two} and {three}')
def script_replicas(context, one, two, three):
    """Replace the clients of the replicas."""
    names = [client.name for client in context.client.clients]
    behaviours = (one.removeprefix('with '), two, three)
    context.client.clients = [
        ScriptedClient(name, behaviour)
        for name, behaviour in zip(names, behaviours, strict=True)
    ]


async def _request(context, ms):
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        answer = await context.client.request(
            Heartbeat(MEMBER, Cursor(), 0, NO_TIME), ms / MS_PER_S
        )
    except ControlError as error:
        answer = error.reason
    return answer, (loop.time() - started) * MS_PER_S


@then('a request with {ms:d} ms is answered by "{replica}" within {limit:d} ms')
@then('a request with {ms:d} ms fails with "{replica}" within {limit:d} ms')
def check_request(context, ms, replica, limit):
    """Send a request and compare who answered, or the error."""
    answer, elapsed_ms = asyncio.run(_request(context, ms))
    assert answer == replica, answer
    assert elapsed_ms < limit, elapsed_ms


@then('the next request goes to "{replica}" first')
def check_preferred(context, replica):
    """Check which replica is preferred."""
    assert context.client.client.name == replica
