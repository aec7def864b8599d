"""Steps for the spread of accepted files and the size of messages."""

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
from burdocklead.durable.configuration import CONFIGURATION_KEY, AcceptedFile
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
    """Make a replica that accepted a value and knows no file yet."""
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


@when('another replica asks for news and knows version {version:d} as "{text}"')
def ask_for_news(context, version, text):
    """Send what a replica sends every half second."""
    replica = context.replica
    message = Exchange(
        'c2',
        Cursor(),
        version,
        replica.clock.issue(),
        known_digest=digest_of(text.encode()),
    )
    asyncio.run(replica.handle(message))


@then('the control replica serves version {version:d}')
def check_served(context, version):
    """Compare the version that daemons are told."""
    assert context.replica.file.version == version, context.replica.file


@then('the control replica asks nobody for it')
def check_quiet(context):
    """Check that no exchange is due before its time."""
    assert not context.replica.exchange_requested.is_set()


@then('the control replica asks the others at once')
def check_asks(context):
    """Check that an exchange is due now."""
    assert context.replica.exchange_requested.is_set()


@given('a control message of {size:d} equal bytes')
def make_message(context, size):
    """Make a payload that compresses well."""
    context.payload = b'm' * size


@then('sealed as a request and as a reply it takes {most:d} bytes at most')
def check_sizes(context, most):
    """Seal it both ways."""
    context.request = seal_request(KEY, context.payload)
    context.reply = seal_reply(KEY, context.request.nonce, context.payload)
    assert len(context.request.content) <= most, len(context.request.content)
    assert len(context.reply) < len(context.request.content)


@then('it is the same once opened')
def check_opened(context):
    """Open both."""
    opened = open_request(KEY, context.request.content)
    assert opened.payload == context.payload
    reply = open_reply(KEY, context.request.nonce, context.reply)
    assert reply == context.payload


@given('a sealed request whose packed payload is {content}')
def make_bad_request(context, content):
    """Seal something that the other end can't unpack."""
    packed = {
        'cut': zlib.compress(os.urandom(1000))[:-9],
        'no compressed data': b'nothing of the kind',
        'beyond the limit': zlib.compress(bytes(MAX_PAYLOAD_BYTES + 1)),
    }[content]
    payload = COMPRESSED + packed
    proof = KEY.prove(REQUEST, NONCE, payload)
    context.content = NONCE + proof + payload


@then('opening it is refused')
def check_refused(context):
    """Expect an error that names the step."""
    try:
        open_request(KEY, context.content)
    except ControlError as error:
        assert error.step == 'open request', error
    else:
        raise AssertionError('it was opened')
