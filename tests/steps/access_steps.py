"""Steps for the cluster key and the operator token."""

from __future__ import annotations

import asyncio

import requests
from behave import given, then, when

from burdocklead.clock import HybridTime
from burdocklead.connection.cluster_key import ClusterKey, load_cluster_key
from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import Cursor, Exchange
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.connection.sealing import (
    open_reply,
    open_request,
    seal_reply,
    seal_request,
)
from burdocklead.exceptions import ControlError, SettingsError
from burdocklead.options import SocketAddress
from burdocklead.process.operator_credentials import load_operator_credentials
from devtools.local_deployment import (
    LocalDeployment,
    upstream_process,
    wait_until,
)

HTTP_TIMEOUT_S = 10
SLOTS = 4
SHARED_SECRET = 'a-secret-of-this-deployment'
NEW_SECRET = 'another-secret-of-this-deployment'


@when('a cluster key file holds "{text}"')
def write_key(context, text):
    """Write a key file."""
    context.secret_file = context.folder / 'key'
    context.secret_file.write_text(text)
    context.load_secret = load_cluster_key


@when('an operator token file holds "{text}"')
def write_token(context, text):
    """Write a token file."""
    context.secret_file = context.folder / 'token'
    context.secret_file.write_text(text)
    context.load_secret = load_operator_credentials


@then('loading it fails with "{reason}"')
def check_load_error(context, reason):
    """Load the file and check the reason and the path of the error."""
    try:
        context.load_secret(context.secret_file)
    except SettingsError as error:
        assert error.reason == reason, error
        assert error.peer == str(context.secret_file)
        return
    raise AssertionError('the file was accepted')


@given('two cluster keys "{first}" and "{second}"')
def make_keys(context, first, second):
    """Create two keys and seal a request with the first one."""
    context.key = ClusterKey(first.encode())
    context.other_key = ClusterKey(second.encode())
    context.sealed = seal_request(context.key, b'payload')


@then('a request sealed with the first key opens with the first key only')
def check_request(context):
    """Open a request with both keys."""
    opened = open_request(context.key, context.sealed.content)
    assert opened.payload == b'payload'
    assert fails_to_open(
        open_request, context.other_key, context.sealed.content
    )


@then('a tampered request does not open')
def check_tampered(context):
    """Flip one bit in each byte of the request in turn."""
    content = context.sealed.content
    for position, byte in enumerate(content):
        changed = bytearray(content)
        changed[position] = byte ^ 1
        assert fails_to_open(open_request, context.key, bytes(changed))


@then('a reply to one request does not open as the reply to another')
def check_reply(context):
    """Open a reply with the nonces of two requests."""
    other = seal_request(context.key, b'payload')
    reply = seal_reply(context.key, context.sealed.nonce, b'answer')
    opened = open_reply(context.key, context.sealed.nonce, reply)
    assert opened == b'answer'
    assert fails_to_open(open_reply, context.key, other.nonce, reply)


def fails_to_open(opener, *arguments):
    """Return True if opening the message fails."""
    try:
        opener(*arguments)
    except ControlError:
        return True
    return False


@given('a cluster key and an operator token protect {count:d} job-sheets')
def start_protected(context, count):
    """Start a deployment with a cluster key and an operator token."""
    secret_file = context.folder / 'secret'
    secret_file.write_text(SHARED_SECRET)
    key_flags = ('--cluster-key-file', str(secret_file))
    token_flags = ('--operator-token-file', str(secret_file))
    context.deployment = LocalDeployment(
        context.folder,
        daemon_flags=key_flags,
        control_flags=(*key_flags, *token_flags),
        operator_flags=token_flags,
    )
    context.deployment.start_controls()
    context.deployment.start_daemons_with_upstreams({'job-sheets': count})


@when('the key and the token are replaced and all processes restart')
def replace_secret(context):
    """Replace the file with the secret, then restart every process."""
    (context.folder / 'secret').write_text(NEW_SECRET)
    deployment = context.deployment
    processes = (*deployment.controls.values(), *deployment.daemons.values())
    for process in processes:
        process.kill()
    for process in processes:
        process.start()
        process.wait_ready()
    for name, upstream in deployment.upstreams.items():
        upstream.kill()
        deployment.upstreams[name] = upstream_process(deployment, name, SLOTS)
        deployment.upstreams[name].start()


@then('a client gets an answer from "{target}" through "{daemon}"')
def check_answered(context, target, daemon):
    """Send calls until one is answered."""
    process = context.deployment.daemons[daemon]
    url = f'http://{process.addresses["http"]}{target}'
    wait_until(lambda: requests.get(url, timeout=HTTP_TIMEOUT_S).ok, 'served')


@when('an operator sends a file with the withdrawn token')
def send_with_old_token(context):
    """Send a file with the token that was replaced."""
    send_without_token(context, {'Authorization': f'Bearer {SHARED_SECRET}'})


@when('a peer with the withdrawn key sends an exchange')
def send_with_old_key(context):
    """Send an exchange sealed with the key that was replaced."""
    path = context.folder / 'withdrawn'
    path.write_text(SHARED_SECRET)
    send_without_key(context, load_cluster_key(path))


@when('an operator without the token sends a file')
def send_without_token(context, headers=None):
    """Send a file without the token."""
    admin = context.deployment.controls['control-0'].addresses['admin']
    context.response = requests.put(
        f'http://{admin}/v1/configuration',
        data=b'version = 2',
        headers=headers,
        timeout=HTTP_TIMEOUT_S,
    )


@then('the file is refused with the status {status:d}')
def check_status(context, status):
    """Compare the HTTP status."""
    assert context.response.status_code == status, context.response.text


@when('a peer without the key sends an exchange')
def send_without_key(context, key=None):
    """Send an exchange sealed with another key."""
    address = context.deployment.controls['control-0'].addresses['control']
    client = ControlClient(
        'control-0',
        SocketAddress().parse(address),
        PeerCredentials(key or ClusterKey(b'')),
    )
    message = Exchange('stranger', Cursor(), 0, HybridTime(0, 0))
    context.error = asyncio.run(error_of_request(client, message))


async def error_of_request(client, message):
    """Return the error of a request, None if it is answered."""
    try:
        await client.request(message, 1)
    except ControlError as error:
        return error
    finally:
        client.close()
    return None


@then('its request gets no answer and is counted')
def check_no_answer(context):
    """Check the error and the metric of the replica."""
    assert context.error is not None
    admin = context.deployment.controls['control-0'].addresses['admin']
    response = requests.get(f'http://{admin}/metrics', timeout=HTTP_TIMEOUT_S)
    counts = [
        line
        for line in response.text.splitlines()
        if line.startswith('burdocklead_control_unproved_total')
    ]
    assert counts, response.text
    assert float(counts[0].rpartition(' ')[2]) >= 1, counts
