"""Steps for the operator CLI with stub control replicas over HTTP."""

from __future__ import annotations

import contextlib
import io
import os
import signal
import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
from behave import given, then, when

from burdocklead.commands.differences import find_differences
from burdocklead.commands.runner import Streams, run_operator
from burdocklead.durable.configuration import (
    NO_FILE,
    decide_change,
    parse_proposal,
)
from burdocklead.exceptions import ConfigurationError
from burdocklead.version.configuration_file import decode_deployment, digest_of
from devtools.local_deployment import wait_until

UNRESPONSIVE_LIMIT_S = 20
FILE_TEXT = """version = {version}
[services.archive]
queue_limit = {version}
[[services.archive.routes]]
name = "{route}"
method = "GET"
path = "/records"
idempotent = true
"""
PATCH_TEXT = """base = {base}
version = {version}
[host_routes.lookup]
host = "{host}"
path_prefix = "/"
idempotent = true
timeout_ms = 1000
service = "{service}"
"""


class StubReplica(ThreadingHTTPServer):
    """Sends configured responses and records the request bodies."""

    daemon_threads = True

    def __init__(self):
        super().__init__(('127.0.0.1', 0), StubHandler)
        self.responses = {}
        self.file = None
        self.unresponsive = False
        self.released = threading.Event()
        self.bodies = []
        threading.Thread(target=self.serve_forever, args=(0.01,)).start()


class StubHandler(BaseHTTPRequestHandler):
    """Sends the response of a request; without one it disconnects."""

    def handle_request(self):
        length = int(self.headers.get('Content-Length', 0))
        body = self.rfile.read(length)
        self.server.bodies.append(body)
        path = self.path.partition('?')[0]
        response = self.server.responses.get(f'{self.command} {path}')
        if self.server.file is not None and self.command == 'PUT':
            response = self.decide(body)
        if self.server.unresponsive:
            self.server.released.wait(UNRESPONSIVE_LIMIT_S)
        if response is None:
            self.close_connection = True
            return
        status, kind, body = response
        self.send_response(status)
        self.send_header('Content-Type', kind)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def decide(self, body):
        """Return the response of control to a change."""
        text = self.headers.get('If-Match')
        try:
            proposal = parse_proposal(body, text and int(text))
            following, result = decide_change(self.server.file, proposal)
        except ConfigurationError as error:
            content = msgspec.json.encode({'problems': error.problems})
            return 400, 'application/json', content
        self.server.file = following
        status = 200 if result.accepted else 409
        return status, 'application/json', msgspec.json.encode(result)

    do_GET = handle_request
    do_PUT = handle_request
    do_POST = handle_request

    def log_message(self, *arguments):
        """Suppress the request log."""


class Terminal(io.StringIO):
    """Text stream that reports to be a terminal."""

    def isatty(self):
        return True


def stub_replica(context, name):
    """Return the stub replica of a name, started on first use."""
    if 'stub_replicas' not in context:
        context.stub_replicas = {}
        context.add_cleanup(stop_stub_replicas, context.stub_replicas)
    replicas = context.stub_replicas
    if name not in replicas:
        replicas[name] = StubReplica()
    return replicas[name]


def stop_stub_replicas(replicas):
    """Stop the stub replicas of a scenario."""
    for replica in replicas.values():
        replica.released.set()
        replica.shutdown()
        replica.server_close()


def file_text(version, route='look-up'):
    """Return a small valid configuration file."""
    return FILE_TEXT.format(version=version, route=route).encode()


@given('an operator file "{name}" of version {version:d}')
def write_file(context, name, version):
    """Write a valid configuration file and two invalid ones."""
    (context.folder / name).write_bytes(file_text(version))
    (context.folder / 'binary.toml').write_bytes(b'\xff\xfe')
    (context.folder / 'empty.toml').write_bytes(b'')


@given(
    'an operator patch "{name}" of version {base:d} to version {version:d} '
    'that routes "{host}" to "{service}"'
)
def write_patch(context, name, base, version, host, service):
    """Write a patch that adds one host route."""
    text = PATCH_TEXT.format(
        base=base, version=version, host=host, service=service
    )
    (context.folder / name).write_text(text)


@given(
    'a stub replica "{name}" that decides like control, starting from '
    'the file "{file}"'
)
def decide_as_control(context, name, file):
    """Let a replica hold a file and decide on changes to it."""
    text = (context.folder / file).read_bytes()
    stub_replica(context, name).file = decide_change(
        NO_FILE, parse_proposal(text)
    )[0]


@given('a stub replica "{name}" that closes every connection')
def start_closing(context, name):
    """Start a replica that closes the connection on each request."""
    stub_replica(context, name)


@given('a stub replica "{name}" that answers "{request}" with acceptance')
def respond_accepted(context, name, request):
    """Let a replica accept the file of version 1."""
    content = {
        'accepted': True,
        'version': 1,
        'digest': digest_of(file_text(1)),
    }
    body = msgspec.json.encode(content)
    responses = stub_replica(context, name).responses
    responses[request] = (200, 'application/json', body)


@given('a stub replica "{name}" that never responds')
def start_unresponsive(context, name):
    """Start a replica that accepts requests and does not respond."""
    stub_replica(context, name).unresponsive = True


@when('the operator interrupts "{command}" while it waits')
def interrupt_command(context, command):
    """Run the program in a process and interrupt it."""
    replica = stub_replica(context, 'a')
    address = f'a=127.0.0.1:{replica.server_address[1]}'
    launcher = (
        'import signal, sys; '
        'from burdocklead.programs.operator import main; '
        # A shell starts background jobs with interrupts ignored.
        'signal.signal(signal.SIGINT, signal.default_int_handler); '
        'sys.exit(main())'
    )
    process = subprocess.Popen(
        [sys.executable, '-c', launcher, '--control-admin', address, command],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    wait_until(lambda: replica.bodies, 'the program sends its request')
    process.send_signal(signal.SIGINT)
    stdout, stderr = process.communicate()
    context.stdout = stdout
    context.stderr = stderr
    context.code = process.returncode


@given('the stub replica "{name}" sends its acceptance as "{kind}"')
def change_type(context, name, kind):
    """Change the content type of the response to a file."""
    responses = stub_replica(context, name).responses
    status, _, body = responses['PUT /v1/configuration']
    responses['PUT /v1/configuration'] = (status, kind, body)


@given(
    'a stub replica "{name}" that answers "{request}" '
    'with {status:d} {kind} {body}'
)
def respond_literally(context, name, request, status, kind, body):
    """Let a replica respond with a literal body."""
    literal = body.encode().decode('unicode_escape').encode('latin-1')
    stub_replica(context, name).responses[request] = (status, kind, literal)


@given(
    'a stub replica "{name}" that answers "{request}" with the file "{file}"'
)
def respond_with_file(context, name, request, file):
    """Let a replica respond with the content of a file."""
    body = (context.folder / file).read_bytes()
    kind = 'application/octet-stream'
    stub_replica(context, name).responses[request] = (200, kind, body)


@given(
    'the stub replica "{name}" reports version {version:d} '
    '{quorum} a quorum and the daemons "{daemons}"'
)
def respond_with_status(context, name, version, quorum, daemons):
    """Let a replica respond with a status."""
    members = []
    for part in daemons.split(', '):
        daemon, _, in_force = part.partition(' at ')
        members.append(
            {
                'daemon_id': daemon.replace('ESCAPE', '\x1b'),
                'incarnation': 1,
                'revision': 1,
                'zone': 'victoria',
                'link': ['127.0.0.1', 1],
                'http': ['127.0.0.1', 2],
                'version_in_force': int(in_force),
            }
        )
    content = {
        'replica': name,
        'version': version,
        'quorum': quorum == 'with',
        'members': members,
    }
    body = msgspec.json.encode(content)
    responses = stub_replica(context, name).responses
    responses['GET /v1/status'] = (200, 'application/json', body)


@when('the operator types "{command}"')
def type_command(context, command):
    """Run the program in this process."""
    run_command(context, command, io.StringIO(), '')


@when('a {output} with NO_COLOR of "{no_colour}" shows "{command}"')
def type_with_output(context, output, no_colour, command):
    """Run the program with a terminal or a pipe as output."""
    stream = Terminal() if output == 'terminal' else io.StringIO()
    no_colour_value = '' if no_colour == 'nothing' else no_colour
    run_command(context, command, stream, no_colour_value)


def run_command(context, command, output, no_colour):
    """Run the program and keep its exit code and output."""
    environment = {'NO_COLOR': no_colour}
    stub_replicas = getattr(context, 'stub_replicas', None)
    if stub_replicas:
        environment['BURDOCKLEAD_CONTROL_ADMIN'] = ','.join(
            f'{name}=127.0.0.1:{replica.server_address[1]}'
            for name, replica in sorted(stub_replicas.items())
        )
    errors = io.StringIO()
    previous_folder = os.getcwd()
    os.chdir(context.folder)
    try:
        with contextlib.redirect_stderr(errors):
            context.code = run_operator(
                command.split(), environment, Streams(output, errors)
            )
    except SystemExit as stop:
        context.code = stop.code
    finally:
        os.chdir(previous_folder)
    context.stdout = output.getvalue()
    context.stderr = errors.getvalue()


@then('the program exits with {code:d} and prints "{text}"')
def check_exit_and_stdout(context, code, text):
    """Check the exit code and look for a text in the output."""
    seen = (context.code, context.stdout, context.stderr)
    assert context.code == code, seen
    assert text in context.stdout, seen


@then('the program prints "{text}"')
def check_stdout(context, text):
    """Look for a text in the output."""
    assert text in context.stdout, context.stdout


@then('the program exits with {code:d} and writes "{text}" to stderr')
def check_exit_and_stderr(context, code, text):
    """Check the exit code and look for an error without a traceback."""
    seen = (context.code, context.stdout, context.stderr)
    assert context.code == code, seen
    assert text in context.stderr, seen
    assert 'Traceback' not in context.stderr, seen


@then('the program exits with {code:d} and no output')
def check_no_output(context, code):
    """Check the exit code and that nothing was written."""
    seen = (context.code, context.stdout, context.stderr)
    assert seen == (code, '', ''), seen


@then('the program writes "{text}" to stderr')
def check_stderr(context, text):
    """Look for a text in standard error."""
    assert text in context.stderr, context.stderr


@then('the program prints no refusal')
def check_no_refusal(context):
    """Check that the change would be accepted."""
    assert 'would refuse' not in context.stdout, context.stdout


@then('the program prints nothing')
def check_empty_stdout(context):
    """Check that standard output is empty."""
    assert not context.stdout, context.stdout


@then(
    'the program exits with {code:d} and prints JSON where "{key}" is {value}'
)
def check_json(context, code, key, value):
    """Compare one key of the JSON output."""
    assert context.code == code, context.stderr
    content = msgspec.json.decode(context.stdout)
    assert msgspec.json.encode(content[key]).decode() == value, content


@then('the program exits with {code:d} and prints no control character')
def check_control_characters(context, code):
    """Check that all characters except newlines are printable."""
    assert context.code == code, context.stderr
    assert context.stdout.replace('\n', '').isprintable(), context.stdout


@then('the program prints {amount} styles')
def check_styles(context, amount):
    """Look for the escape character."""
    assert ('\x1b' in context.stdout) == (amount == 'some'), context.stdout


@then('each stub replica received the same file')
def check_bodies(context):
    """Compare the request bodies of the replicas."""
    for replica in context.stub_replicas.values():
        assert set(replica.bodies) == {file_text(1)}, replica.bodies


@then('the differences between versions of a file are')
def check_differences(context):
    """Look for each expected line among the differences."""
    old = decode_deployment(file_text(1, 'old'))
    new = decode_deployment(file_text(2))
    lines = [
        f'{one.change} {one.key}: {msgspec.json.encode(one.old).decode()}'
        f' -> {msgspec.json.encode(one.new).decode()}'
        for one in find_differences(old, new)
    ]
    missing = set(context.text.splitlines()) - set(lines)
    assert not missing, lines
    assert len(lines) == 2 + 2 * 8, lines
