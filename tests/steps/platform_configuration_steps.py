"""Steps for the platform's form of a configuration, without processes."""

from __future__ import annotations

import json
from unittest import mock

from behave import given, then, when

from burdocklead.durable.configuration import (
    NO_FILE,
    decide_change,
    parse_proposal,
)
from burdocklead.exceptions import ConfigurationError
from burdocklead.version import extensions
from burdocklead.version.configuration_file import (
    decode_deployment,
    encode_checked,
    encode_deployment,
)
from burdocklead.version.patch import apply_patch
from devtools.fuzz import configurations
from tests.steps.fuzz_steps import first_violation
from tests.steps.platform_modules import import_platform_module

decoder = import_platform_module('configuration_decoder')
encoder = import_platform_module('configuration_encoder')
KEY = 'sEcret-key'
TEAM_INDEX = 3


def _entry(kind, name, **spec):
    return {
        'entryType': kind,
        'metadata': {'name': name} if name else {},
        'spec': spec,
    }


def _route(name, kind):
    return _entry(
        'routes',
        name,
        host='records.example',
        pathPrefix=f'/{name}/',
        routeType=kind,
        timeoutMs=900,
        sloMs=400,
        priority=1,
        service='orders',
        maxAttempts=2,
        allowAnonymous=kind == 'download',
    )


def _team(name, key):
    return _entry(
        'tenants', name, apiKeys=[key], priority=0, ratePerS=2.5, burst=10
    )


@given("the platform's configuration with a team, an upload and a download")
def create_configuration(context):
    """Create a valid configuration as an operator sends it."""
    service = {
        'healthPath': '/health',
        'maxConnections': 10,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 8,
        'coldPerS': 0,
    }
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 67108864,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }
    context.sent = {
        'version': 3,
        'resources': [
            _route('r-up', 'upload'),
            _route('r-down', 'download'),
            _entry('services', 'orders', **service),
            _team('blue', KEY),
            _entry('limits', '', **limits),
        ],
    }
    context.sent_text = json.dumps(context.sent)
    _decode(context)


def _decode(context):
    deployment = decoder.decode_configuration(context.sent_text.encode())
    encode_checked(deployment)
    return deployment


def _change(context, change):
    change(context.sent['resources'])
    context.sent_text = json.dumps(context.sent)


@when('a second team "{name}" gets the key of the team')
def add_team(context, name):
    """Add a team with the same key."""
    _change(context, lambda entries: entries.append(_team(name, KEY)))


@when('the entry {index:d} is given twice')
def repeat_entry(context, index):
    """Repeat an entry."""
    _change(context, lambda entries: entries.append(entries[index]))


@when('the field "{name}" of the entry {index:d} is {text}')
def change_field(context, name, index, text):
    """Set a field of an entry to a JSON text."""
    entry = context.sent['resources'][index]
    entry['spec'][name] = json.loads(text)
    context.sent_text = json.dumps(context.sent)


@when('the entry {index:d} has the name {text}')
def rename_entry(context, index, text):
    """Set the name of an entry to a JSON text."""
    context.sent['resources'][index]['metadata'] = {'name': json.loads(text)}
    context.sent_text = json.dumps(context.sent)


@when('its text ends after the key')
def truncate(context):
    """Cut the text within the team."""
    context.sent_text = context.sent_text[
        : context.sent_text.index(KEY) + len(KEY)
    ]


@when('each entry and the configuration get an unknown field')
def add_unknown_fields(context):
    """Add a field of other tools to every table."""
    context.sent['note'] = {'by': 'ops'}
    for entry in context.sent['resources']:
        entry['spec']['contact'] = [{'mail': 'ops@example'}, 1.5, None]
    context.sent_text = json.dumps(context.sent)


@then('the platform\'s configuration is refused: "{reason}"')
def check_refused(context, reason):
    """Decode and check the configuration."""
    try:
        _decode(context)
    except ConfigurationError as error:
        context.refusal = str(error)
    else:
        raise AssertionError('the configuration was accepted')
    assert reason in context.refusal, context.refusal


@then('the refusal contains no key')
def check_no_key(context):
    """Search the text that is returned and logged."""
    assert KEY not in context.refusal, context.refusal


@when('a patch sends the entry {index:d} and removes "{name}" of "{kind}"')
def create_patch(context, index, name, kind):
    """Create a patch with one entry and one removed name."""
    upsert = {'resources': [context.sent['resources'][index]]}
    context.patch = {'version': 4, 'upsert': upsert, 'remove': {kind: [name]}}


@when(
    'a patch sends a team "{sent}" with the key "{key}" and removes the team '
    '"{removed}"'
)
def create_team_patch(context, sent, key, removed):
    """Create a patch of the teams."""
    upsert = {'resources': [_team(sent, key)]}
    remove = {'tenants': [removed]}
    context.patch = {'version': 4, 'upsert': upsert, 'remove': remove}


@then('the platform\'s patch is refused: "{reason}"')
def check_patch_refused(context, reason):
    """Decode the patch."""
    try:
        decoder.decode_patch(json.dumps(context.patch).encode())
    except ConfigurationError as error:
        context.refusal = str(error)
    else:
        raise AssertionError('the patch was accepted')
    assert reason in context.refusal, context.refusal


@then("the platform's configuration is read back as sent")
def check_read_back(context):
    """Store the configuration as control does, and encode it again."""
    stored = decode_deployment(encode_deployment(_decode(context)))
    returned = json.loads(encoder.encode_configuration(stored))
    assert returned == context.sent, returned


@then('the route "{name}" has semantics "{semantics}" and large "{bodies}"')
def check_route(context, name, semantics, bodies):
    """Compare what the type of a route means."""
    route = _decode(context).host_routes[name]
    assert route.idempotent == (semantics == 'idempotent'), route
    assert route.large_bodies == bodies, route


@then(
    'the patched configuration has the team "{name}" with the key "{key}" only'
)
def check_patched(context, name, key):
    """Apply the patch and compare the teams."""
    patch = decoder.decode_patch(json.dumps(context.patch).encode())
    patched = apply_patch(_decode(context), patch)
    encode_checked(patched)
    assert list(patched.teams) == [name], patched.teams
    assert patched.teams[name].keys == (key,), patched.teams


def _nested_text(depth):
    return '[' * depth + ']' * depth


def _replace_text(context, old, new):
    """Change the sent text, for values that the encoder can't write."""
    assert context.sent_text.count(old) == 1, context.sent_text
    context.sent_text = context.sent_text.replace(old, new)


@when('a field "{name}" of the entry {index:d} is nested {depth:d} levels deep')
def nest_field(context, name, index, depth):
    """Add a field to the spec of an entry."""
    context.sent['resources'][index]['spec'][name] = '@'
    context.sent_text = json.dumps(context.sent)
    _replace_text(context, '"@"', _nested_text(depth))


@when(
    'a field "{name}" of a share of the entry {index:d} is nested {depth:d} '
    'levels deep'
)
def nest_share_field(context, name, index, depth):
    """Split the calls of a route and add a field to its share."""
    spec = context.sent['resources'][index]['spec']
    share = {'service': spec.pop('service'), 'weight': 1, name: '@'}
    spec['trafficSplit'] = [share]
    context.sent_text = json.dumps(context.sent)
    _replace_text(context, '"@"', _nested_text(depth))


@when('the field "{name}" is given twice in the entry {index:d}')
def repeat_field(context, name, index):
    """Add a field to a spec twice."""
    context.sent['resources'][index]['spec']['@'] = 1
    context.sent_text = json.dumps(context.sent)
    _replace_text(context, '"@": 1', f'"{name}": 1, "{name}": 2')


@when('the field "{name}" is given twice')
def repeat_top_field(context, name):
    """Repeat a field of the whole configuration."""
    value = json.dumps(context.sent[name])
    context.sent_text = f'{context.sent_text[:-1]}, "{name}": {value}}}'


@when('extensions may nest {depth:d} levels deep')
def lift_limit(context, depth):
    """Raise the limit until the end of the scenario."""
    patch = mock.patch.object(extensions, 'MAX_DEPTH', depth)
    patch.start()
    context.add_cleanup(patch.stop)


@when('the fuzzer of configurations runs {count:d} examples with seed {seed:d}')
def run_configuration_fuzzer(context, count, seed):
    """Run the fuzzer and keep the first violation."""
    context.violation = first_violation(configurations, count, seed)


def _product_text(version, size):
    """Return a configuration of the product with a number of bytes."""
    head = (
        f'{{"version":{version},"services":{{"orders":{{"routes":[{{'
        '"name":"r","method":"GET","path":"/","idempotent":true}]}},'
        '"extensions":{"note":"'
    )
    tail = '"}}'
    return f'{head}{"x" * (size - len(head) - len(tail))}{tail}'.encode()


@given('a configuration of {size:d} bytes in force')
def accept_sized(context, size):
    """Accept a file."""
    proposal = parse_proposal(_product_text(1, size))
    file, result = decide_change(NO_FILE, proposal)
    assert result.accepted, result
    context.file = file


@when('a new version makes it {size:d} bytes')
def propose_sized(context, size):
    """Propose a complete file."""
    context.proposal = parse_proposal(_product_text(2, size))


@when('a patch makes it {size:d} bytes')
def patch_sized(context, size):
    """Propose a patch that adds a service with an extension."""
    note = 'x' * (size - len(context.file.text))
    patch = f"""
    base = 1
    version = 2
    [services.more]
    extensions = {{note = "{note}"}}
    [[services.more.routes]]
    name = "r"
    method = "GET"
    path = "/"
    idempotent = true
    """
    context.proposal = parse_proposal(patch.encode())


@then('the change is accepted')
def check_size_accepted(context):
    """Decide the change."""
    result = decide_change(context.file, context.proposal)[1]
    assert result.accepted, result


@then('the change is refused: {reason}')
def check_size_refused(context, reason):
    """Decide the change."""
    try:
        decide_change(context.file, context.proposal)
    except ConfigurationError as error:
        assert reason in str(error), error
    else:
        raise AssertionError('it was accepted')
