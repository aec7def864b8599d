"""Steps for routes by host and path prefix."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
from behave import given, then, when

from burdocklead.exceptions import ConfigurationError
from burdocklead.version.configuration_file import (
    decode_deployment,
    encode_checked,
    encode_deployment,
)
from burdocklead.version.deployment import (
    Deployment,
    HostRoute,
    Service,
    Share,
)
from burdocklead.version.patch import DeploymentPatch, apply_patch
from burdocklead.version.route_table import RouteTable


def host_route(**changes):
    """Return a route to the service ``orders``."""
    fields = {
        'host': 'sheets.example',
        'path_prefix': '/',
        'idempotent': True,
        'timeout_ms': 1000,
        'service': 'orders',
    }
    return HostRoute(**{**fields, **changes})


def deployment_of(routes):
    """Return a deployment of two services with the given host routes."""
    return Deployment(
        version=3,
        services={'orders': Service(), 'sheets': Service()},
        host_routes=routes,
    )


@given(
    'host routes "{one}" at "{at_one}", "{two}" at "{at_two}" and "{three}" '
    'at "{at_three}"'
)
def create_three_routes(context, one, at_one, two, at_two, three, at_three):
    """Create a table of three routes."""
    routes = {}
    for name, location in ((one, at_one), (two, at_two), (three, at_three)):
        host, _, path = location.partition('/')
        routes[name] = host_route(host=host, path_prefix=f'/{path}')
    context.route_table = RouteTable(deployment_of(routes))


@then('a call to "{host}" at "{target}" matches the route "{route}"')
def check_route(context, host, target, route):
    """Compare the name of the route found."""
    matcher = context.route_table.find_host_route(host, target)
    found = matcher.name if matcher else 'none'
    assert found == route, found


@given('a host route split {one:d} to "{first}" and {two:d} to "{second}"')
def create_split_route(context, one, first, two, second):
    """Create a table with one split route."""
    split = (
        Share(service=first, weight=one),
        Share(service=second, weight=two),
    )
    route = host_route(service='', split=split)
    context.route_table = RouteTable(deployment_of({'main': route}))


@then('of {count:d} calls a share of {low:f} to {high:f} goes to "{service}"')
def check_split(context, count, service, low, high):
    """Check the share of the calls that a service gets."""
    rng = random.Random(7)
    matcher = context.route_table.find_host_route('sheets.example', '/7')
    seen = Counter(matcher.match('/7', rng).service_name for _ in range(count))
    assert low <= seen[service] / count <= high, seen


@given('a valid configuration with host routes')
def create_valid_configuration(context):
    """Store a configuration of one route."""
    context.routes = {'main': host_route()}
    encode_checked(deployment_of(context.routes))


def _change_route(context, **changes):
    route = msgspec.structs.replace(context.routes['main'], **changes)
    context.routes['main'] = route


@when('its route names the service "{service}"')
def change_service(context, service):
    """Set another service."""
    _change_route(context, service=service)


@when('a second route has its host and prefix')
def add_duplicate_route(context):
    """Add a route with the same host and prefix."""
    context.routes['copy'] = context.routes['main']


@when('its timeout is {limit:d} ms')
def change_timeout(context, limit):
    """Set another timeout."""
    _change_route(context, timeout_ms=limit)


@when('its limit is {count:d} attempts')
def change_attempts(context, count):
    """Set another limit on attempts."""
    _change_route(context, max_attempts=count)


@when('all weights of its split are 0')
def change_weights(context):
    """Set a split whose weights are 0."""
    _change_route(
        context, service='', split=(Share(service='orders', weight=0),)
    )


@when('it has a service and a split')
def set_service_and_split(context):
    """Set a service and a split."""
    _change_route(context, split=(Share(service='orders', weight=1),))


@then('the configuration is refused: "{reason}"')
def check_refused(context, reason):
    """Check the reason of the refusal."""
    try:
        encode_checked(deployment_of(context.routes))
    except ConfigurationError as error:
        assert reason in str(error), error
    else:
        raise AssertionError('the configuration was accepted')


@when(
    'a patch to version {version:d} adds the route "{added}" and removes the '
    'route "{removed}"'
)
def patch_routes(context, version, added, removed):
    """Apply a patch and check the result."""
    patch = DeploymentPatch(
        version=version,
        host_routes={added: host_route(path_prefix='/new/')},
        removed_host_routes=(removed, 'unknown'),
    )
    context.patched = apply_patch(deployment_of(context.routes), patch)
    encode_checked(context.patched)


@then('the configuration has version {version:d} and the routes "{names}"')
def check_patched(context, version, names):
    """Compare the version and the routes."""
    assert context.patched.version == version
    assert list(context.patched.host_routes) == [names], context.patched


@then('encoding and decoding it gives the same configuration')
def check_encoding(context):
    """Encode and decode the configuration."""
    deployment = deployment_of(context.routes)
    assert decode_deployment(encode_deployment(deployment)) == deployment
