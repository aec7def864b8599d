"""Steps for TLS files and deployments with TLS."""

from __future__ import annotations

import asyncio
import datetime

import pynng
import trustme
from behave import given, then, when

from burdocklead.clock import HybridTime
from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import Cursor, Exchange
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.connection.sealing import seal_request
from burdocklead.connection.tls import load_tls
from burdocklead.exceptions import ControlError, SettingsError
from burdocklead.options import SocketAddress
from devtools.local_deployment import LocalDeployment

EXPIRY = datetime.datetime(2020, 1, 2, tzinfo=datetime.UTC)
NAMES = ('burdocklead', '127.0.0.1')


def write_tls_files(folder, leaf, authority):
    """Write certificate, key and authority files and return their paths."""
    files = {
        'certificate': folder / 'certificate.pem',
        'key': folder / 'key.pem',
        'authority': folder / 'authority.pem',
    }
    chain = b''.join(blob.bytes() for blob in leaf.cert_chain_pems)
    files['certificate'].write_bytes(chain)
    files['key'].write_bytes(leaf.private_key_pem.bytes())
    files['authority'].write_bytes(authority.cert_pem.bytes())
    return files


@when('TLS files with {fault} are loaded')
def load_faulty_files(context, fault):
    """Load TLS files, one of which is invalid or missing."""
    authority = trustme.CA()
    leaf = authority.issue_cert(*NAMES)
    if fault == 'an expired certificate':
        leaf = authority.issue_cert(*NAMES, not_after=EXPIRY)
    files = write_tls_files(context.folder, leaf, authority)
    if fault == 'the key of another certificate':
        other = authority.issue_cert(*NAMES)
        files['key'].write_bytes(other.private_key_pem.bytes())
    if fault == 'a truncated certificate':
        truncated = files['certificate'].read_bytes()[:200]
        files['certificate'].write_bytes(truncated)
    context.tls_files = dict(files)
    if fault == 'no authority':
        files['authority'] = None
    context.tls_error = None
    try:
        load_tls(**files)
    except SettingsError as error:
        context.tls_error = error


@then('loading fails for the {name} with "{reason}"')
def check_tls_error(context, name, reason):
    """Check the reason and the file that the error names."""
    assert context.tls_error is not None, 'accepted'
    assert reason in context.tls_error.reason, context.tls_error
    assert context.tls_error.peer == str(context.tls_files[name])


@then('loading fails with "{reason}" and names no file')
def check_tls_error_without_file(context, reason):
    """Check the reason of an error that concerns no single file."""
    assert context.tls_error is not None, 'accepted'
    assert reason in context.tls_error.reason, context.tls_error
    assert not context.tls_error.peer, context.tls_error


@given('a TLS deployment with {count:d} job-sheets upstream')
def start_with_tls(context, count):
    """Start a deployment whose processes have certificates."""
    authority = trustme.CA()
    leaf = authority.issue_cert(*NAMES)
    files = write_tls_files(context.folder, leaf, authority)
    flags = tuple(
        part
        for name, path in files.items()
        for part in (f'--tls-{name}', str(path))
    )
    context.deployment = LocalDeployment(
        context.folder,
        daemon_flags=flags,
        control_flags=flags,
        operator_flags=('--tls-authority', str(files['authority'])),
    )
    context.authority_file = files['authority']
    context.deployment.start_controls()
    context.deployment.start_daemons_with_upstreams(
        {'job-sheets': count, 'archive': 1}
    )


@then('a control client without a certificate gets no answer')
def check_without_certificate(context):
    """Send an exchange message without TLS."""
    address = context.deployment.controls['control-0'].addresses['control']
    client = ControlClient(
        'control-0',
        SocketAddress().parse(address),
        PeerCredentials(ClusterKey(b'')),
    )
    assert asyncio.run(gets_no_answer(client))


async def gets_no_answer(client):
    """Return True if the replica does not answer the client."""
    message = Exchange('stranger', Cursor(), 0, HybridTime(0, 0))
    try:
        await client.request(message, 1)
    except ControlError:
        return True
    finally:
        client.close()
    return False


@then('an operator without the authority cannot reach control')
def check_operator_without_authority(context):
    """Run an operator command without its TLS flags."""
    context.deployment.operator_flags = ()
    completed = context.deployment.run_operator('status')
    assert completed.returncode == 3, completed


@then('a control client with an authority but no certificate gets no answer')
def check_authority_only(context):
    """Send a request over TLS without a client certificate."""
    address = context.deployment.controls['control-0'].addresses['control']
    answered = asyncio.run(
        answers_without_certificate(address, context.authority_file.read_text())
    )
    assert not answered


async def answers_without_certificate(address, authority):
    """Return True if a replica answers a peer without a certificate."""
    config = pynng.TLSConfig(
        pynng.TLSConfig.MODE_CLIENT,
        server_name='burdocklead',
        ca_string=authority,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
    sealed = seal_request(ClusterKey(b''), b'any')
    with pynng.Req0(tls_config=config) as socket:
        socket.dial(f'tls+tcp://{address}', block=False)
        try:
            async with asyncio.timeout(1):
                await socket.asend(sealed.content)
                await socket.arecv()
        except (TimeoutError, pynng.NNGException):
            return False
    return True
