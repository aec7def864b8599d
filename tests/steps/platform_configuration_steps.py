"""Steps for the platform's form of a configuration, without processes."""

from __future__ import annotations

import json

from behave import given, then, when

from burdocklead.exceptions import ConfigurationError
from burdocklead.version.configuration_file import (
    check_deployment,
    decode_deployment,
    encode_deployment,
)
from burdocklead.version.patch import apply_patch
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
    check_deployment(deployment)
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
    check_deployment(patched)
    assert list(patched.teams) == [name], patched.teams
    assert patched.teams[name].keys == (key,), patched.teams
