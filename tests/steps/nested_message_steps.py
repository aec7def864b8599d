"""Steps for content that is nested too deeply."""

from __future__ import annotations

import asyncio

import msgspec
import pynng
from behave import given, then, when

from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.control_client import ControlClient
from burdocklead.connection.control_messages import (
    Failure,
    PhaseReplies,
    Phases,
    message_encoder,
    reply_decoder,
)
from burdocklead.connection.control_server import ControlServer
from burdocklead.connection.frames import (
    HEADER,
    FrameBuffer,
    Ping,
)
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.connection.sealing import open_reply, seal_request
from burdocklead.exceptions import BurdockleadError
from burdocklead.metrics import MetricSet
from burdocklead.values import Address
from burdocklead.version.configuration_file import decode_deployment
from tests.steps.load_query_steps import append_nested

REQUEST_TIMEOUT_S = 5


def read_frame(depth):
    """Read a frame whose array has a nested element behind the last one."""
    payload = append_nested(msgspec.msgpack.encode(Ping(1)), depth)
    FrameBuffer().feed(b''.join((HEADER.pack(len(payload), 0, 0), payload)))


def read_json_file(depth):
    """Read a configuration file in JSON."""
    text = f'{{"x":{"[" * depth}{"]" * depth}}}'
    decode_deployment(text.encode())


def read_toml_file(depth):
    """Read a configuration file in TOML."""
    text = f'x = {"[" * depth}{"]" * depth}'
    decode_deployment(text.encode())


READERS = {
    'a link': read_frame,
    'a configuration file in JSON': read_json_file,
    'a configuration file in TOML': read_toml_file,
}


@when('{reader} reads content that is nested {depth:d} levels deep')
def read_nested(context, reader, depth):
    """Read the content and keep the error."""
    try:
        READERS[reader](depth)
    except BurdockleadError as error:
        context.error = error


@then('it fails with {kind}: {reason}')
def check_error(context, kind, reason):
    """Check the type and the text of the error."""
    assert type(context.error).__name__ == kind, context.error
    assert reason in str(context.error), context.error


async def _answer_with_no_replies(request):
    """Answer any request with an empty batch."""
    return PhaseReplies(())


@given('a control server that counts invalid requests')
def create_server(context):
    """Keep what the server is created with."""
    context.metrics = MetricSet()
    context.credentials = PeerCredentials(ClusterKey(b'a key of the tests'))


@when('{count:d} requests are sent that are nested {depth:d} levels deep')
def send_nested_requests(context, count, depth):
    """Send nested requests, then a valid one, to a server."""
    valid = message_encoder.encode(Phases(1, ()))
    nested = append_nested(valid, depth)

    async def run():
        server = ControlServer(
            _answer_with_no_replies, context.credentials, context.metrics
        )
        address = server.start(Address('127.0.0.1', 0))
        client = ControlClient('a', address, context.credentials)
        try:
            for _ in range(count):
                context.replies.append(
                    await _exchange(context.credentials.key, address, nested)
                )
            return await client.request(Phases(1, ()), REQUEST_TIMEOUT_S)
        finally:
            client.close()
            await server.close()

    context.replies = []
    context.valid_reply = asyncio.run(run())


async def _exchange(key, address, payload):
    """Send a sealed payload over a connection of its own."""
    request = seal_request(key, payload)
    with pynng.Req0(dial=f'tcp://{address}') as client:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await client.asend(request.content)
            received = await client.arecv()
    return reply_decoder.decode(open_reply(key, request.nonce, received))


@then('each of them is answered with a failure to decode')
def check_failures(context):
    """Check the replies to the nested requests."""
    assert set(context.replies) == {Failure('decode', 'nested too deeply')}


@then('a valid request is answered')
def check_valid(context):
    """Check the reply to the valid request."""
    assert context.valid_reply == PhaseReplies(())
