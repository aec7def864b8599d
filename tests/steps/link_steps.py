"""Steps that connect a link to a listener over loopback in this process."""

from __future__ import annotations

import asyncio
import contextlib
import ssl

import trustme
from behave import given, then, when

from burdocklead.clock import HybridClock
from burdocklead.connection.cluster_key import ClusterKey
from burdocklead.connection.frames import (
    HEADER,
    Answer,
    Attempt,
    FrameBuffer,
    Hello,
    Proof,
    Welcome,
    encode_frame,
)
from burdocklead.connection.link_identity import LinkIdentity
from burdocklead.connection.link_server import LinkServer
from burdocklead.connection.peer_credentials import PeerCredentials
from burdocklead.connection.peer_link import PeerLink
from burdocklead.connection.tls import load_tls
from burdocklead.events import EventRing
from burdocklead.exceptions import LinkError
from burdocklead.metrics import MetricSet
from burdocklead.options import read_settings
from burdocklead.settings import DaemonSettings
from burdocklead.values import Address, LoadReport
from burdocklead.version.deployment import RANKS, Priority

INCARNATION = 7
TIMEOUT_S = 20
NO_LOAD = LoadReport(0, 0, 1)
CLOCK = HybridClock()
MEGABYTE = 1000000
KEY = 'sixteen byte key'


class EchoHandler:
    """Answers attempts with their body size, except the body ``wait``."""

    def __init__(self):
        """Initialize the handler without attempts."""
        self.runs = 0

    async def run(self, attempt):
        """Answer an attempt."""
        self.runs += 1
        if attempt.body == b'wait':
            await asyncio.Event().wait()
        size = str(len(attempt.body)).encode()
        return Answer(attempt.attempt_id, 200, (), size, NO_LOAD)

    def load(self):
        """Return a load report of an idle upstream."""
        return NO_LOAD


def settings_for(name):
    """Return daemon settings with low limits and a large body size."""
    return read_settings(
        DaemonSettings,
        {
            'daemon_id': name,
            'zone': 'victoria',
            'control': 'none=127.0.0.1:1',
            'max_pending_attempts': '3',
            'max_links': '2',
            'max_body_bytes': '67108864',
        },
        {},
    )


def tls_credentials(folder, authority):
    """Return credentials with a certificate issued by an authority."""
    folder.mkdir()
    leaf = authority.issue_cert('burdocklead', '127.0.0.1')
    leaf.private_key_pem.write_to_path(folder / 'key.pem')
    authority.cert_pem.write_to_path(folder / 'authority.pem')
    for pem in leaf.cert_chain_pems:
        pem.write_to_path(folder / 'certificate.pem', append=True)
    files = load_tls(
        folder / 'certificate.pem',
        folder / 'key.pem',
        folder / 'authority.pem',
    )
    return PeerCredentials(ClusterKey(KEY.encode()), files)


def close_loop(loop):
    """Cancel all tasks of an event loop and close it."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks, timeout=1))
    loop.close()


def start_listener(context, name, credentials):
    """Start a listener on an event loop that is closed after the scenario."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(close_loop, context.loop)
    context.handler = EchoHandler()
    context.metrics = MetricSet()
    context.server = LinkServer(
        context.handler,
        LinkIdentity(Hello(name, INCARNATION), credentials, HybridClock()),
        settings_for(name),
        context.metrics,
        EventRing(name, HybridClock()),
    )
    context.address = run(
        context, context.server.start(Address('127.0.0.1', 0))
    )


def run(context, coroutine):
    """Run a coroutine on the scenario's event loop."""
    return context.loop.run_until_complete(
        asyncio.wait_for(coroutine, TIMEOUT_S)
    )


def open_link(context, wanted, credentials):
    """Open a link; store the link and the error, if any."""

    async def connect():
        context.link = PeerLink(
            LinkIdentity(Hello('client', 1), credentials, HybridClock()),
            wanted,
            context.address,
            lambda daemon_id, load: None,
            settings_for('client'),
            MetricSet(),
        )
        await context.link.open(INCARNATION)

    context.error = None
    try:
        run(context, connect())
    except LinkError as error:
        context.error = error


def make_attempt(number, body):
    """Return an attempt with a body."""
    return Attempt(
        attempt_id=f'client.1.{number:x}',
        call_id='call',
        incarnation=INCARNATION,
        service='orders',
        route='one',
        method='POST',
        path='/',
        headers=(),
        body=body,
        remaining_ms=1000,
        idempotent=False,
        rank=RANKS[Priority.normal],
        cost_ms=1,
        number=1,
        queue_limit=1,
    )


@given('a link listener of daemon "{name}" with the key "{key}"')
def listen(context, name, key):
    """Start a listener over plain TCP."""
    start_listener(context, name, PeerCredentials(ClusterKey(key.encode())))


@given('a link listener of daemon "{name}" over TLS')
def listen_over_tls(context, name):
    """Start a listener over TLS."""
    context.authority = trustme.CA()
    credentials = tls_credentials(context.folder / 'server', context.authority)
    start_listener(context, name, credentials)


@when('a link to daemon "{wanted}" opens with the key "{key}"')
def open_with_key(context, wanted, key):
    """Open a link over plain TCP."""
    open_link(context, wanted, PeerCredentials(ClusterKey(key.encode())))


@when('a link to daemon "{wanted}" opens over TLS')
def open_over_tls(context, wanted):
    """Open a link over TLS."""
    credentials = tls_credentials(context.folder / 'client', context.authority)
    open_link(context, wanted, credentials)


@when(
    'a link to daemon "{wanted}" opens over TLS with a certificate of '
    'another authority'
)
def open_over_other_tls(context, wanted):
    """Open a link over TLS with a certificate that isn't trusted."""
    credentials = tls_credentials(context.folder / 'other', trustme.CA())
    open_link(context, wanted, credentials)


class TlsWithoutCertificate:
    """TLS of a client that trusts an authority but has no certificate."""

    def __init__(self, authority):
        """Initialize the TLS of the client."""
        self.authority = authority

    def client_context(self):
        """Return a TLS context without a client certificate."""
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        return context


@when('a link to daemon "{wanted}" opens over TLS without a certificate')
def open_without_certificate(context, wanted):
    """Open a link over TLS without a client certificate."""
    tls = TlsWithoutCertificate(context.authority)
    open_link(context, wanted, PeerCredentials(ClusterKey(KEY.encode()), tls))


@then('the link is refused with "{reason}"')
def check_refused(context, reason):
    """Check the reason and the step of the refusal."""
    assert context.error is not None, 'the link opened'
    assert context.error.reason == reason, context.error
    assert context.error.step == 'connect', context.error


@then('the link is refused with any error')
def check_refused_with_any_error(context):
    """Check that the link did not open."""
    assert context.error is not None, 'the link opened'


@then('the listener ran {count:d} attempts')
def check_runs(context, count):
    """Check the number of attempts that reached the handler."""
    assert context.handler.runs == count, context.handler.runs


@then('an attempt over the link is answered')
def check_answered(context):
    """Run an attempt."""
    assert context.error is None, context.error
    answer = run(context, context.link.run_attempt(make_attempt(1, b'abc')))
    assert answer.body == b'3', answer


async def send_raw(address, kind):
    """Send invalid frames and wait until the listener closes."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    identity = LinkIdentity(
        Hello('raw', 1), PeerCredentials(ClusterKey(KEY.encode())), CLOCK
    )
    hello = identity.hello_to('b')
    if kind == 'an attempt before the handshake':
        writer.write(encode_frame(make_attempt(1, b'abc'), CLOCK.issue()))
    elif kind == 'a frame larger than the limit':
        writer.write(HEADER.pack(2**31, 0, 0))
    elif kind == 'a frame that fails to decode':
        writer.writelines((HEADER.pack(4, 0, 0), b'\xc1\xc1\xc1\xc1'))
    else:
        writer.write(encode_frame(hello, CLOCK.issue()))
        frames = FrameBuffer().feed(await reader.read(65536))
        assert isinstance(frames[0], Welcome), frames
        proof = Proof(b'wrong')
        if kind == 'a second hello after the handshake':
            proof = identity.prove(hello, frames[0])
        writer.write(encode_frame(proof, CLOCK.issue()))
        writer.write(encode_frame(hello, CLOCK.issue()))
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


@when('a raw connection sends {kind}')
def send_kind(context, kind):
    """Send invalid frames."""
    run(context, send_raw(context.address, kind))


@then('the listener closes the connection and counts "{end}"')
def check_link_end(context, end):
    """Check the counter of link ends."""
    metrics_text, _ = context.metrics.render(['text/plain'])
    wanted = f'burdocklead_link_ends_total{{reason="{end}"}} 1'
    assert wanted in metrics_text.decode().splitlines(), metrics_text.decode()


@then(
    'an attempt of {megabytes:d} MB and one of 1 byte over the link '
    'are answered'
)
def check_large(context, megabytes):
    """Run a large and a small attempt concurrently."""

    async def run_both():
        return await asyncio.gather(
            context.link.run_attempt(
                make_attempt(1, bytes(megabytes * MEGABYTE))
            ),
            context.link.run_attempt(make_attempt(2, b'x')),
        )

    bodies = [answer.body for answer in run(context, run_both())]
    assert bodies == [str(megabytes * MEGABYTE).encode(), b'1'], bodies


@then(
    'the attempt after {count:d} pending ones is refused at the step "{step}"'
)
def check_pending_limit(context, count, step):
    """Fill a link with attempts that are never answered, then add one."""

    async def fill():
        waiting = [
            asyncio.create_task(
                context.link.run_attempt(make_attempt(10 + number, b'wait'))
            )
            for number in range(count)
        ]
        await asyncio.sleep(0)
        try:
            await context.link.run_attempt(make_attempt(99, b'more'))
        except LinkError as error:
            return error
        finally:
            for task in waiting:
                task.cancel()

    error = run(context, fill())
    assert error is not None, 'not refused'
    assert error.step == step, error


@then('the third link to the listener is refused')
def check_link_limit(context):
    """Open links until the limit is exceeded."""
    errors = []
    for _ in range(2):
        open_link(context, 'b', PeerCredentials(ClusterKey(KEY.encode())))
        errors.append(context.error)
    assert errors[0] is None, errors
    assert errors[1] is not None, errors
