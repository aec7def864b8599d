"""Steps for the operators' program, with stand-in replicas over HTTP."""

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

STUCK_LIMIT_S = 20
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


class StandInReplica(ThreadingHTTPServer):
    """Answers as told and keeps the bodies that it got."""

    daemon_threads = True

    def __init__(self):
        super().__init__(('127.0.0.1', 0), StandInHandler)
        self.answers = {}
        self.file = None
        self.stuck = False
        self.released = threading.Event()
        self.bodies = []
        threading.Thread(target=self.serve_forever, args=(0.01,)).start()


class StandInHandler(BaseHTTPRequestHandler):
    """Looks up the answer of a request; without one it hangs up."""

    def handle_request(self):
        length = int(self.headers.get('Content-Length', 0))
        body = self.rfile.read(length)
        self.server.bodies.append(body)
        path = self.path.partition('?')[0]
        answer = self.server.answers.get(f'{self.command} {path}')
        if self.server.file is not None and self.command == 'PUT':
            answer = self.decide(body)
        if self.server.stuck:
            self.server.released.wait(STUCK_LIMIT_S)
        if answer is None:
            self.close_connection = True
            return
        status, kind, body = answer
        self.send_response(status)
        self.send_header('Content-Type', kind)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def decide(self, body):
        """Return the answer of control to a change."""
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
        """Keep quiet."""


class Terminal(io.StringIO):
    """A text stream that says it is a terminal."""

    def isatty(self):
        return True


def stand_in(context, name):
    """Return the stand-in replica of a name, started if need be."""
    if 'stand_ins' not in context:
        context.stand_ins = {}
        context.add_cleanup(stop_stand_ins, context.stand_ins)
    replicas = context.stand_ins
    if name not in replicas:
        replicas[name] = StandInReplica()
    return replicas[name]


def stop_stand_ins(replicas):
    """End the stand-in replicas of a scenario."""
    for replica in replicas.values():
        replica.released.set()
        replica.shutdown()
        replica.server_close()


def file_text(version, route='look-up'):
    """Return a small valid file."""
    return FILE_TEXT.format(version=version, route=route).encode()


@given('an operator file "{name}" of version {version:d}')
def write_file(context, name, version):
    """Write a valid file, and two that are not."""
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
    'a stand-in replica "{name}" that decides as control does on top of the '
    'file "{file}"'
)
def decide_as_control(context, name, file):
    """Let a replica hold a file and decide on changes of it."""
    text = (context.folder / file).read_bytes()
    stand_in(context, name).file = decide_change(NO_FILE, parse_proposal(text))[
        0
    ]


@given('a stand-in replica "{name}" that loses every answer')
def start_silent(context, name):
    """Start a replica that hangs up on each request."""
    stand_in(context, name)


@given('a stand-in replica "{name}" that answers "{request}" with acceptance')
def answer_accepted(context, name, request):
    """Let a replica accept the file of version 1."""
    content = {
        'accepted': True,
        'version': 1,
        'digest': digest_of(file_text(1)),
    }
    body = msgspec.json.encode(content)
    answers = stand_in(context, name).answers
    answers[request] = (200, 'application/json', body)


@given('a stand-in replica "{name}" that never answers')
def start_stuck(context, name):
    """Start a replica that takes requests and does not answer."""
    stand_in(context, name).stuck = True


@when('the operator interrupts "{command}" while it waits')
def interrupt(context, command):
    """Run the program as a process and interrupt it."""
    replica = stand_in(context, 'a')
    address = f'a=127.0.0.1:{replica.server_address[1]}'
    launcher = (
        'import sys; from burdocklead.programs.operator import main; '
        'sys.exit(main())'
    )
    process = subprocess.Popen(
        [sys.executable, '-c', launcher, '--control-admin', address, command],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    wait_until(lambda: replica.bodies, 'the program asks')
    process.send_signal(signal.SIGINT)
    printed, complaints = process.communicate()
    context.printed = printed
    context.complaints = complaints
    context.code = process.returncode


@given('the acceptance of the stand-in replica "{name}" is sent as "{kind}"')
def change_type(context, name, kind):
    """Change the content type of the answer to a file."""
    answers = stand_in(context, name).answers
    status, _, body = answers['PUT /v1/configuration']
    answers['PUT /v1/configuration'] = (status, kind, body)


@given(
    'a stand-in replica "{name}" that answers "{request}" '
    'with {status:d} {kind} {body}'
)
def answer_literally(context, name, request, status, kind, body):
    """Let a replica answer with a body as written."""
    literal = body.encode().decode('unicode_escape').encode('latin-1')
    stand_in(context, name).answers[request] = (status, kind, literal)


@given(
    'a stand-in replica "{name}" that answers "{request}" '
    'with the file "{file}"'
)
def answer_with_file(context, name, request, file):
    """Let a replica hold a file."""
    body = (context.folder / file).read_bytes()
    kind = 'application/octet-stream'
    stand_in(context, name).answers[request] = (200, kind, body)


@given(
    'the stand-in replica "{name}" shows version {version:d} '
    '{quorum} a quorum and the daemons "{daemons}"'
)
def answer_status(context, name, version, quorum, daemons):
    """Let a replica show a status."""
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
    answers = stand_in(context, name).answers
    answers['GET /v1/status'] = (200, 'application/json', body)


@when('the operator types "{command}"')
def type_command(context, command):
    """Run the program in this process."""
    run_typed(context, command, io.StringIO(), '')


@when('a {output} with NO_COLOR of "{no_colour}" shows "{command}"')
def type_at(context, output, no_colour, command):
    """Run the program with a kind of output."""
    stream = Terminal() if output == 'terminal' else io.StringIO()
    wish = '' if no_colour == 'nothing' else no_colour
    run_typed(context, command, stream, wish)


def run_typed(context, command, output, no_colour):
    """Run the program and keep what it wrote."""
    environment = {'NO_COLOR': no_colour}
    stand_ins = getattr(context, 'stand_ins', None)
    if stand_ins:
        environment['BURDOCKLEAD_CONTROL_ADMIN'] = ','.join(
            f'{name}=127.0.0.1:{replica.server_address[1]}'
            for name, replica in sorted(stand_ins.items())
        )
    errors = io.StringIO()
    back = os.getcwd()
    os.chdir(context.folder)
    try:
        with contextlib.redirect_stderr(errors):
            context.code = run_operator(
                command.split(), environment, Streams(output, errors)
            )
    except SystemExit as stop:
        context.code = stop.code
    finally:
        os.chdir(back)
    context.printed = output.getvalue()
    context.complaints = errors.getvalue()


@then('the program ends with {code:d} and prints "{text}"')
def check_printed(context, code, text):
    """Compare the exit code and a part of the output."""
    seen = (context.code, context.printed, context.complaints)
    assert context.code == code, seen
    assert text in context.printed, seen


@then('the program prints "{text}"')
def check_prints(context, text):
    """Look for a part of the output."""
    assert text in context.printed, context.printed


@then('the program ends with {code:d} and complains "{text}"')
def check_complaint(context, code, text):
    """Compare the exit code and look for a sentence without a traceback."""
    seen = (context.code, context.printed, context.complaints)
    assert context.code == code, seen
    assert text in context.complaints, seen
    assert 'Traceback' not in context.complaints, seen


@then('the program ends with {code:d} and says nothing')
def check_quiet(context, code):
    """Compare the exit code and check that nothing was written."""
    seen = (context.code, context.printed, context.complaints)
    assert seen == (code, '', ''), seen


@then('the program complains "{text}"')
def check_complains(context, text):
    """Look for a part of standard error."""
    assert text in context.complaints, context.complaints


@then('the program prints no refusal')
def check_no_refusal(context):
    """Check that the change would be taken."""
    assert 'would refuse' not in context.printed, context.printed


@then('the program prints nothing')
def check_silence(context):
    """Check that standard output is empty."""
    assert not context.printed, context.printed


@then('the program ends with {code:d} and prints JSON where "{key}" is {value}')
def check_json(context, code, key, value):
    """Compare one key of the JSON output."""
    assert context.code == code, context.complaints
    content = msgspec.json.decode(context.printed)
    assert msgspec.json.encode(content[key]).decode() == value, content


@then('the program ends with {code:d} and prints no control character')
def check_control_characters(context, code):
    """Check that only line ends are not printable."""
    assert context.code == code, context.complaints
    assert context.printed.replace('\n', '').isprintable(), context.printed


@then('the program prints {amount} styles')
def check_styles(context, amount):
    """Look for the escape character."""
    assert ('\x1b' in context.printed) == (amount == 'some'), context.printed


@then('each stand-in replica got the same file')
def check_bodies(context):
    """Compare the bodies that the replicas got."""
    for replica in context.stand_ins.values():
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
