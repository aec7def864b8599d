"""Steps for configurations that a process can't read, with real processes."""

from __future__ import annotations

import json

import msgspec
import requests
from behave import then, when

from burdocklead.durable.configuration import CONFIGURATION_KEY, AcceptedFile
from burdocklead.durable.files import OsFileLayer
from burdocklead.durable.register import Ballot, Register
from burdocklead.durable.store import RegisterStore
from tests.platform.stand_in import REPLICA_COUNT, wait_until
from tests.steps.platform_steps import FIRST_DAEMON, configuration_of, route_of

DAEMONS = (FIRST_DAEMON, FIRST_DAEMON + 1)
UNAVAILABLE = 503


def _depths(text):
    """Return the depths in a list such as ``9 to 7 and 3``."""
    depths = []
    for part in text.split(' and '):
        first, _, last = part.partition(' to ')
        depths.extend(range(int(first), int(last or first) - 1, -1))
    return depths


def _with_nested_field(body, depth):
    text = json.dumps(body)
    return f'{text[:-1]}, "note": {"[" * depth}{"]" * depth}}}'


def _call(context, call, body, base):
    """Return the answer to a call, sent until it is decided."""
    answers = []

    def is_decided():
        try:
            answer = context.platform.call_operator_api(call, body, base)
        except requests.RequestException:
            return False
        answers.append(answer)
        return answer.status_code != UNAVAILABLE

    wait_until(is_decided, 'the call is decided')
    return answers[-1]


@when(
    'version {version:d} is sent with a field that is nested {depths} levels '
    'deep'
)
def send_nested(context, version, depths):
    """Send complete configurations that differ in the depth of a field."""
    body = configuration_of(version, 'sheets', '/view/', context.services)
    context.answers = [
        _call(context, 'config.replace', _with_nested_field(body, depth), 3)
        for depth in _depths(depths)
    ]
    if context.answers[-1].status_code == 200:
        text = _with_nested_field(body, _depths(depths)[-1])
        context.sent = json.loads(text)


@when(
    'version {version:d} is patched with a field that is nested {depths} '
    'levels deep'
)
def patch_nested(context, version, depths):
    """Send patches with a route that has the field."""
    route = route_of('sheets', '/view/')
    context.answers = []
    for depth in _depths(depths):
        spec = _with_nested_field(route['spec'], depth)
        item = json.dumps({**route, 'spec': 0}).replace(
            '"spec": 0', f'"spec": {spec}'
        )
        body = f'{{"version": {version}, "upsert": {{"resources": [{item}]}}}}'
        context.answers.append(_call(context, 'config.patch', body, 3))


@then('each of them is refused with 400 and a reason')
def check_all_refused(context):
    """Check all answers."""
    for answer in context.answers:
        assert answer.status_code == 400, answer.status_code
        assert 'deep' in answer.text, answer.text


@then('it is accepted')
def check_accepted(context):
    """Check the only answer."""
    statuses = [answer.status_code for answer in context.answers]
    assert statuses == [200], statuses


@then('the configuration is read back as sent at every replica')
def check_read_everywhere(context):
    """Read it at each replica until it answers; none may be older."""
    for number in range(REPLICA_COUNT):
        answers = []

        def is_read(number=number, answers=answers):
            try:
                answer = context.platform.call_operator_api(
                    'config.get', control=number
                )
            except requests.RequestException:
                return False
            answers.append(answer)
            return answer.status_code == 200

        wait_until(is_read, f'replica {number} answers')
        assert answers[-1].json() == context.sent, answers[-1].text


@then('every process of the platform runs')
def check_running(context):
    """No process may have ended by itself."""
    ended = {
        name: process.returncode
        for name, process in context.platform.processes.items()
        if process.poll() is not None
    }
    assert not ended, ended


def _store_in_all(context, key, value):
    """Kill all replicas, change their data folders and start them again."""
    platform = context.platform
    for number in range(REPLICA_COUNT):
        platform.kill(f'control-{number}')
    ballot = Ballot(1000, 1, 'a')
    for number in range(REPLICA_COUNT):
        folder = platform.folder / f'data-{number}'
        store = RegisterStore(OsFileLayer(), folder)
        store.commit({key: Register(ballot, ballot, value)})
        store.close()
    for number in range(REPLICA_COUNT):
        platform.start_control(number, bootstrap=False)


@when(
    'all replicas are killed and started with a version {version:d} that '
    "can't be read"
)
def replace_stored(context, version):
    """Store an accepted file with keys that this release doesn't know."""
    file = AcceptedFile(version, 'digest', b'{"key of a later release": 1}')
    _store_in_all(context, CONFIGURATION_KEY, msgspec.msgpack.encode(file))


@when(
    'all replicas are killed and started with a value of "{key}" that '
    "can't be read"
)
def store_unreadable(context, key):
    """Store a text where each release stores a table or an array."""
    _store_in_all(context, key, msgspec.msgpack.encode('another format'))


@then('within {limit:d} s the log of each daemon has "{text}"')
def check_reported(context, limit, text):
    """Search the lines written since the last check."""
    seen = getattr(context, 'log_positions', {})
    names = [f'daemon-{number}' for number in DAEMONS]

    def is_reported():
        return all(
            text in context.platform.log_text(name)[seen.get(name, 0) :]
            for name in names
        )

    wait_until(is_reported, 'both report it', limit)
    context.log_positions = {
        name: len(context.platform.log_text(name)) for name in names
    }


@then('a read of the configuration is answered {status:d} with "{text}"')
def check_read_refused(context, status, text):
    """Read until the replica knows a quorum again."""

    def is_answered():
        answer = context.platform.call_operator_api('config.get')
        assert answer.status_code == status, answer.text
        return text in answer.text

    wait_until(is_answered, 'it is answered')


@then('a patch of version {version:d} is refused with {status:d} and "{text}"')
def check_patch_of_unreadable(context, version, status, text):
    """Patch the version that can't be read."""
    body = {'version': version + 1, 'remove': {'routes': ['r-unknown']}}
    answer = _call(context, 'config.patch', body, version)
    assert answer.status_code == status, answer.text
    assert text in answer.text, answer.text


@when(
    'version {version:d} replaces version {base:d} and routes "{path}" to '
    '"{service}"'
)
def replace_unreadable(context, version, base, path, service):
    """Send a complete configuration."""
    context.sent = configuration_of(version, service, path, context.services)
    answer = _call(context, 'config.replace', context.sent, base)
    assert answer.status_code == 200, answer.text
