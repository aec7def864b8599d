"""Steps for the replica set, without I/O and with real processes."""

from __future__ import annotations

import asyncio
import io
import shutil
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import requests
from behave import given, then, when

from burdocklead.commands.context import CommandContext, ExitCode
from burdocklead.commands.replicas import replace_replica
from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.durable.claims import Claim, ClaimStart, claim_key
from burdocklead.durable.files import OsFileLayer
from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.set_change import (
    SetChange,
    finish_change,
    start_change,
)
from burdocklead.durable.store import REGISTER_FILE_NAME, RegisterStore
from burdocklead.exceptions import SetChangeError
from burdocklead.options import SocketAddress, read_settings
from burdocklead.settings import OperatorSettings
from burdocklead.values import Address
from devtools import model_check
from devtools.local_deployment import LocalDeployment, wait_until

UNUSED_ADDRESS = Address('127.0.0.1', 1)
HTTP_TIMEOUT_S = 20
MAX_FILE_BYTES = 1300000


def replica(name):
    """Return a replica that is never connected to."""
    return Replica(name, UNUSED_ADDRESS)


def change_of(text):
    """Return the change that a text such as ``replace c by d`` describes."""
    action, first, *rest = text.split()
    if action == 'add':
        return SetChange('', replica(first))
    joining = replica(rest[-1]) if rest else None
    return SetChange(first, joining)


@given('the replica set {names} in epoch {epoch:d}')
def make_set(context, names, epoch):
    """Create a replica set."""
    replicas = tuple(replica(name) for name in names.split(', '))
    context.set = ReplicaSet(epoch, replicas)


@then('the set change "{text}" with {names} reachable is refused: "{reason}"')
def check_refused_change(context, text, names, reason):
    """Start a change and check the reason for the refusal."""
    try:
        start_change(context.set, change_of(text), set(names.split(', ')))
    except SetChangeError as error:
        assert reason in error.reason, error
        return
    raise AssertionError('the change started')


@then('the set change "{text}" with {names} reachable starts epoch {epoch:d}')
def check_started_change(context, text, names, epoch):
    """Start a change and check the new epoch."""
    reachable = set(names.split(', '))
    started = start_change(context.set, change_of(text), reachable)
    assert started.epoch == epoch and started.following, started


@when('the set change "{text}" has started')
def start_set_change(context, text):
    """Take the first step of a change."""
    all_names = set('abcd')
    context.set = start_change(context.set, change_of(text), all_names)


@when('the set change has ended')
def end_set_change(context):
    """Take the second step of a change."""
    context.set = finish_change(context.set, context.set.epoch)


@then('the replicas {names} form a quorum: {answer}')
def check_quorum(context, names, answer):
    """Check whether the named replicas form a quorum."""
    forms_quorum = context.set.is_quorum(set(names.split(', ')))
    assert forms_quorum == (answer == 'yes'), context.set


def admin_url(context, name, path):
    """Return a URL on the admin address of a replica."""
    address = context.deployment.controls[name].addresses['admin']
    return f'http://{address}{path}'


def configuration_text(version, mark=''):
    """Return a valid configuration file with a version."""
    example = Path('examples/cedarline.toml').read_text()
    changed = example.replace('version = 1', f'version = {version}', 1)
    return f'{changed}# {mark}\n'.encode()


def put_file(context, name, version, mark=''):
    """Apply a file through a replica and return the HTTP status."""
    answer = requests.put(
        admin_url(context, name, '/v1/configuration'),
        data=configuration_text(version, mark),
        timeout=HTTP_TIMEOUT_S,
    )
    context.body = answer.text
    return answer.status_code


def is_ready(context, name):
    """Return True if a replica reports that it is ready."""
    url = admin_url(context, name, '/readyz')
    return requests.get(url, timeout=HTTP_TIMEOUT_S).ok


def wait_ready(context, name):
    """Wait until a replica reports that it is ready."""
    wait_until(lambda: is_ready(context, name), f'{name} is ready')


def start_controls(context, *flags):
    """Start three replicas and wait until all are ready."""
    context.deployment = LocalDeployment(context.folder, control_flags=flags)
    context.deployment.start_controls()
    for name in context.deployment.controls:
        wait_ready(context, name)


@given('control replicas with version 1 accepted')
def start_with_file(context):
    """Start three replicas and apply a file."""
    start_controls(context)
    assert put_file(context, 'control-0', 1) == 200


@when('control replica "{name}" is paused')
def suspend_replica(context, name):
    """Suspend a process with SIGSTOP."""
    context.deployment.controls[name].send_signal(signal.SIGSTOP)


@when('control replica "{name}" is resumed')
def resume_replica(context, name):
    """Resume a suspended process and wait until it is ready."""
    context.deployment.controls[name].send_signal(signal.SIGCONT)
    wait_ready(context, name)


@when('control replica "{name}" is paused for {seconds:f} s')
def pause_replica(context, name, seconds):
    """Suspend a process, and resume it after a time."""
    suspend_replica(context, name)
    time.sleep(seconds)
    resume_replica(context, name)


@when('control replica "{name}" is lost')
def lose_replica(context, name):
    """Kill a process and don't restart it."""
    context.deployment.controls[name].kill()


@when('control replica "{name}" restarts')
def restart_replica(context, name):
    """Kill a process and restart it on its data folder."""
    process = context.deployment.controls[name]
    process.kill()
    process.start()
    process.wait_ready()


@when('control replica "{name}" loses its disk and restarts')
def lose_disk(context, name):
    """Kill a process and restart it on an empty data folder."""
    context.deployment.controls[name].kill()
    shutil.rmtree(context.folder / name)
    restart_replica(context, name)


@when('version {version:d} is accepted by "{name}"')
@then('version {version:d} is accepted by "{name}"')
def check_accepted(context, version, name):
    """Apply a file and expect that it is accepted."""
    status = put_file(context, name, version)
    assert status == 200, (status, context.body)


async def start_claims(context, name, count, attempt):
    """Start claims through a replica and return the attempts that hold them."""
    address = context.deployment.controls[name].addresses['control']
    credentials = PeerCredentials(ClusterKey(b''))
    client = ControlClient(name, SocketAddress().parse(address), credentials)
    holders = set()
    for number in range(count):
        key = claim_key('work-orders', str(number))
        request = ClaimStart(key, Claim('f', attempt, 'daemon', 1))
        reply = await client.request(request, HTTP_TIMEOUT_S)
        holders.add(reply.claim.attempt_id)
    client.close()
    return holders


@when('{count:d} claims are acquired through "{name}"')
def acquire_claims(context, count, name):
    """Start claims of the first attempt."""
    assert asyncio.run(start_claims(context, name, count, 'first')) == {'first'}


@then('the {count:d} claims are still held according to "{name}"')
def check_claims(context, count, name):
    """Start the claims for a second attempt; the first must still hold them."""
    holders = asyncio.run(start_claims(context, name, count, 'second'))
    assert holders == {'first'}, holders


@then('"{name}" refuses version {version:d} with different content')
def check_version_refused(context, name, version):
    """Apply a file with other content and expect a refusal."""
    wait_ready(context, name)
    status = put_file(context, name, version, 'other')
    assert status == 409, (status, context.body)


@when('an operator replaces "{leaving}" by "{joining}"')
def replace(context, leaving, joining):
    """Replace a replica with the operator command."""
    address = context.deployment.start_joining_control(joining)
    listed = ','.join(
        f'{name}={process.addresses["admin"]}'
        for name, process in context.deployment.controls.items()
    )
    flags = {'control_admin': listed, 'timeout': '15'}
    settings = read_settings(OperatorSettings, flags, {})
    output = io.StringIO()
    command = CommandContext(settings, False, output, output, {})
    code = asyncio.run(replace_replica(command, leaving, joining, address))
    printed = output.getvalue()
    assert code == ExitCode.done, printed
    assert joining in printed and leaving not in printed, printed


@then('"{blank}" is not ready and "{name}" accepts no version')
def check_lost_disk(context, blank, name):
    """Check that a replica that lost its disk doesn't count in a quorum."""
    assert put_file(context, name, 9) == 503
    assert not is_ready(context, blank)


@given('control replicas and a daemon with leases of {seconds:d} s')
def start_with_daemon(context, seconds):
    """Start three replicas with a member lease, and a daemon."""
    start_controls(context, '--member-lease', str(seconds))
    context.deployment.start_daemons_with_upstreams({'job-sheets': 1})
    wait_until(lambda: members_at(context, 'control-0'), 'the daemon is known')


def members_at(context, name):
    """Return the members known to a replica."""
    url = admin_url(context, name, '/v1/status')
    return requests.get(url, timeout=HTTP_TIMEOUT_S).json()['members']


@then('"{name}" still knows the daemon and expired no daemon')
def check_not_expired(context, name):
    """Check members and events for longer than a lease of 3 s."""
    limit = time.monotonic() + 3.5
    while time.monotonic() < limit:
        assert len(members_at(context, name)) == 1
    url = admin_url(context, name, '/v1/events')
    events = requests.get(url, timeout=HTTP_TIMEOUT_S).text
    assert 'member-left' not in events.replace('_', '-'), events


@when('two operators apply {count:d} versions each with different content')
def apply_concurrently(context, count):
    """Apply files with the same versions through two replicas concurrently."""

    def run(name):
        statuses = []
        for version in range(2, count + 2):
            statuses.append(put_file(context, name, version, name))
        return statuses

    with ThreadPoolExecutor(2) as pool:
        context.statuses = list(pool.map(run, ('control-0', 'control-1')))
    context.last_version = count + 1


@then('each version was accepted with one content')
def check_race(context):
    """Check that each version was accepted at most once."""
    for pair in zip(*context.statuses, strict=True):
        assert set(pair) <= {200, 409}, pair
        assert pair.count(200) <= 1, pair
    assert 200 in context.statuses[0] + context.statuses[1]


@then('the register file of "{name}" is bounded and opens within {limit:d} s')
def check_file(context, name, limit):
    """Check the size of a replica's register file and open a copy of it."""
    copy = context.folder / 'copy'
    copy.mkdir()
    shutil.copy(
        context.folder / name / REGISTER_FILE_NAME, copy / REGISTER_FILE_NAME
    )
    size = (copy / REGISTER_FILE_NAME).stat().st_size
    assert size <= MAX_FILE_BYTES, size
    started = time.monotonic()
    RegisterStore(OsFileLayer(), copy).close()
    elapsed = time.monotonic() - started
    assert elapsed < limit, elapsed


@then('"{name}" serves the last version')
def check_last_version(context, name):
    """Wait until a replica serves the last version."""

    def serves_last_version():
        url = admin_url(context, name, '/v1/configuration')
        answer = requests.get(url, timeout=HTTP_TIMEOUT_S)
        version = int(answer.headers['Burdocklead-Version'])
        return version == context.last_version

    wait_until(
        serves_last_version, f'{name} serves version {context.last_version}'
    )


@then('the model without catch-up has a counterexample')
def check_counterexample(context):
    """Check that the model without catch-up violates the property."""
    result = model_check.check(model_check.WITHOUT_CATCH_UP)
    found = result['properties'][model_check.PROPERTY]
    assert found['holds'] is False
    assert found['counterexample']


@then('the model "{name}" holds')
def check_model(context, name):
    """Check that a model keeps the property."""
    model = next(one for one in model_check.MODELS if one.name == name)
    result = model_check.check(model)
    assert result['properties'][model_check.PROPERTY]['holds'] is True
