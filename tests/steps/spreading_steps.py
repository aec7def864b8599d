"""Steps for the distribution of accepted files and the size of messages."""

from __future__ import annotations

import asyncio
import os
import zlib

import msgspec
from behave import given, then, when

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.control_messages import Cursor, Exchange
from burdocklead.connection.sealing import (
    COMPRESSED,
    MAX_PAYLOAD_BYTES,
    REQUEST,
    open_reply,
    open_request,
    seal_reply,
    seal_request,
)
from burdocklead.durable.configuration import (
    CONFIGURATION_KEY,
    AcceptedFile,
    decode_accepted_file,
)
from burdocklead.durable.register import Register
from burdocklead.exceptions import ControlError
from burdocklead.options import read_settings
from burdocklead.process.control_replica import ControlReplica
from burdocklead.settings import ControlSettings
from burdocklead.version.configuration_file import digest_of

KEY = ClusterKey(b'a key of the tests')
NONCE = bytes(16)


@given('a control replica whose register holds version {version:d} as "{text}"')
def make_replica(context, version, text):
    """Create a replica whose register has a file that it does not serve yet."""
    settings = read_settings(
        ControlSettings,
        {
            'zone': 'victoria',
            'replica_id': 'c1',
            'replicas': 'c1=127.0.0.1:1,c2=127.0.0.1:2',
            'data_folder': str(context.folder),
        },
        {},
    )
    context.replica = ControlReplica(settings)
    file = AcceptedFile(version, digest_of(text.encode()), text.encode())
    value = msgspec.msgpack.encode(file)
    context.replica.registers.commits.waiting[CONFIGURATION_KEY] = Register(
        value=value
    )


@when('another replica sends an exchange with version {version:d} as "{text}"')
def send_exchange(context, version, text):
    """Let the replica handle an exchange message of another replica."""
    replica = context.replica
    message = Exchange(
        'c2',
        Cursor(),
        version,
        replica.clock.issue(),
        known_digest=digest_of(text.encode()),
    )
    asyncio.run(replica.handle(message))


@when(
    'another replica sends an exchange with version {version:d} as "{text}", '
    'from the same request'
)
def send_exchange_of_request(context, version, text):
    """Let the register have the digest of the request, as patches have."""
    commits = context.replica.registers.commits
    held = decode_accepted_file(commits.read(CONFIGURATION_KEY).value)
    patched = msgspec.structs.replace(held, digest=digest_of(text.encode()))
    commits.waiting[CONFIGURATION_KEY] = Register(
        value=msgspec.msgpack.encode(patched)
    )
    send_exchange(context, version, text)


@then('the control replica serves version {version:d}')
def check_served(context, version):
    """Compare the version that is sent to daemons."""
    file = context.replica.configuration.current
    assert file.version == version, file


@then('the control replica starts no early exchange')
def check_no_early_exchange(context):
    """Check that no early exchange is requested."""
    assert not context.replica.exchange_requested.is_set()


@then('the control replica starts an exchange at once')
def check_early_exchange(context):
    """Check that an early exchange is requested."""
    assert context.replica.exchange_requested.is_set()


@given('a control message of {size:d} equal bytes')
def make_message(context, size):
    """Create a payload that compresses well."""
    context.payload = b'm' * size


@then('sealed as a request and as a reply it takes {most:d} bytes at most')
def check_sizes(context, most):
    """Seal the payload as a request and as a reply."""
    context.request = seal_request(KEY, context.payload)
    context.reply = seal_reply(KEY, context.request.nonce, context.payload)
    assert len(context.request.content) <= most, len(context.request.content)
    assert len(context.reply) < len(context.request.content)


@then('it is unchanged after opening')
def check_opened(context):
    """Open the request and the reply."""
    opened = open_request(KEY, context.request.content)
    assert opened.payload == context.payload
    reply = open_reply(KEY, context.request.nonce, context.reply)
    assert reply == context.payload


@given('a sealed request whose compressed payload is {content}')
def make_bad_request(context, content):
    """Seal a payload that the receiver can't decompress."""
    compressed = {
        'truncated': zlib.compress(os.urandom(1000))[:-9],
        'not compressed': b'nothing of the kind',
        'over the size limit': zlib.compress(bytes(MAX_PAYLOAD_BYTES + 1)),
    }[content]
    payload = COMPRESSED + compressed
    proof = KEY.prove(REQUEST, NONCE, payload)
    context.content = NONCE + proof + payload


@then('opening it is refused')
def check_refused(context):
    """Open the request and expect an error that names the step."""
    try:
        open_request(KEY, context.content)
    except ControlError as error:
        assert error.step == 'open request', error
    else:
        raise AssertionError('it was opened')
