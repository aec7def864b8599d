"""Steps for teams: calls read by a handler, without a network."""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

import logbook
from behave import given, then, when

from burdocklead.connection.frames import Attempt
from burdocklead.connection.http_messages import HttpRequest
from burdocklead.metrics import TEAM_CALLS, MetricSet
from burdocklead.process.host_routing_handler import HostRoutingHandler
from burdocklead.request.call import not_run
from burdocklead.request.headers import header_values
from burdocklead.request.upstream_client import Upstream
from burdocklead.request.work_limit import WorkLimit
from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.teams.key_index import KeyIndex
from burdocklead.teams.team_metrics import TeamMetrics
from burdocklead.values import Address, Outcome, RefusalCause
from burdocklead.version.deployment import Deployment, Service, Team
from burdocklead.version.route_table import RouteTable
from tests.steps.host_route_steps import host_route
from tests.steps.platform_modules import import_platform_module

HOST = 'sheets.example'
PATHS = {
    'the keyed': '/keyed/7',
    'the open': '/open/7',
    'an unknown': '/other/7',
}


def deployment_with_teams(teams, version=5):
    """Return a deployment of a route that needs a key and one that doesn't."""
    return Deployment(
        version=version,
        services={'orders': Service()},
        host_routes={
            'keyed': host_route(host=HOST, path_prefix='/keyed/', rank=3),
            'open': host_route(host=HOST, path_prefix='/open/', anonymous=True),
        },
        teams=teams,
    )


class RecordingDispatcher:
    """Records the calls that it gets and refuses them."""

    def __init__(self):
        """Record no calls yet."""
        self.work_limit = WorkLimit()
        self.calls = []

    def new_id(self):
        """Return the ID of a call."""
        return 'call-1'

    async def run(self, call):
        """Record a call."""
        self.calls.append(call)
        return not_run(RefusalCause.no_upstream)


def _start_handler(context, deployment):
    index = KeyIndex(deployment) if deployment else None
    keys = CurrentKeys(index, confirmed_at=time.monotonic())
    directory = SimpleNamespace(
        table=RouteTable(deployment) if deployment else None,
        keys=keys,
        version=5,
    )
    context.dispatcher = RecordingDispatcher()
    platform_dialect = import_platform_module('platform_dialect')
    context.dialect = platform_dialect.PlatformDialect('sheets')
    context.handler = HostRoutingHandler(
        directory,
        context.dispatcher,
        context.dialect,
        MetricSet(),
        random.Random(3),
    )


@given(
    'a daemon whose configuration has a team "{team}" with the keys "{one}" '
    'and "{two}"'
)
def start_with_team(context, team, one, two):
    """Create a handler with one team."""
    _start_handler(
        context, deployment_with_teams({team: Team(keys=(one, two))})
    )


@given(
    'a daemon whose configuration has a team "{team}" of rank {rank} with the '
    'keys "{one}" and "{two}"'
)
def start_with_ranked_team(context, team, rank, one, two):
    """Create a handler with one team that may have a rank."""
    of_team = None if rank == 'none' else int(rank)
    _start_handler(
        context,
        deployment_with_teams({team: Team(keys=(one, two), rank=of_team)}),
    )


@given('a daemon whose configuration has no teams')
def start_without_teams(context):
    """Create a handler without teams."""
    _start_handler(context, deployment_with_teams({}))


@given('a daemon without a configuration')
def start_without_configuration(context):
    """Create a handler without a configuration."""
    _start_handler(context, None)


@when('a call to {route} route arrives with "{headers}"')
def read_call(context, route, headers):
    """Handle one request; the headers are separated by semicolons."""
    pairs = [one.partition(':') for one in headers.split(';')]
    sent = tuple((name.strip(), text.strip()) for name, _, text in pairs)

    async def handle():
        now = asyncio.get_running_loop().time()
        request = HttpRequest(
            'GET', PATHS[route], (('Host', HOST), *sent), b'', now
        )
        return await context.handler.handle(request)

    with logbook.TestHandler() as log:
        context.response = asyncio.run(handle())
    context.log_lines = [record.kwargs for record in log.records]


def _only_call(context):
    assert context.dispatcher.calls, context.response
    return context.dispatcher.calls[0]


@then('the call is of the team "{team}"')
def check_team(context, team):
    """Compare the team of the call."""
    assert _only_call(context).team == team


@then('the call is of no team')
def check_no_team(context):
    """Check that the call was dispatched without a team."""
    assert not _only_call(context).team


@then('the rank of the call is {rank:d}')
def check_rank(context, rank):
    """Compare the rank of the call."""
    assert _only_call(context).match.rank == rank


@then('the call is refused as {reason}')
def check_refused(context, reason):
    """Compare the status and the cause."""
    status, cause = {
        'unauthorized': (401, b'unknown-api-key'),
        'not configured': (503, b'no-configuration'),
        'unsure': (503, b'unsure-configuration'),
        'not routed': (404, b'unknown-route'),
    }[reason]
    response = context.response
    assert not context.dispatcher.calls
    assert (response.status, response.body) == (status, cause), response


def _headers_at_upstream(context):
    """Return the headers of the first attempt of the call."""
    call = _only_call(context)
    attempt = Attempt(
        attempt_id='attempt-1',
        call_id=call.call_id,
        incarnation=1,
        service=call.match.service_name,
        route=call.match.route.name,
        method=call.method,
        path=call.match.path,
        headers=call.headers,
        body=call.body,
        remaining_ms=100,
        idempotent=True,
        rank=call.match.rank,
        cost_ms=1,
        number=1,
        queue_limit=1,
        team=call.team,
    )
    upstream = Upstream(Address('127.0.0.1', 1), 'i-1')
    return context.dialect.request_headers(upstream, attempt, 100)


@then('the upstream receives the header "{name}" as "{text}"')
def check_header(context, name, text):
    """Compare the values of a header, as UTF-8 text."""
    headers = _headers_at_upstream(context)
    received = [
        one.encode('latin-1').decode() for one in header_values(headers, name)
    ]
    assert received == [text], headers


@then('the upstream receives no header "{name}"')
def check_no_header(context, name):
    """Check that a header is missing."""
    headers = _headers_at_upstream(context)
    assert not header_values(headers, name), headers


@then('no header that the upstream receives contains "{text}"')
def check_not_contained(context, text):
    """Search all headers for a text."""
    headers = _headers_at_upstream(context)
    assert text not in str(headers), headers


@then('the log line of the call has the team "{team}" and no "{key}"')
def check_logged_team(context, team, key):
    """Check the only log line."""
    line = context.log_lines[-1]
    assert line['team'] == team, line
    assert key not in str(line), line


@then('the log line of the call has no team and no "{key}"')
def check_logged_no_team(context, key):
    """Check the only log line."""
    line = context.log_lines[-1]
    assert line['cause'] == RefusalCause.unknown_api_key.value, line
    assert 'team' not in line, line
    assert key not in str(line), line


@given('the metrics of calls by team')
def create_team_metrics(context):
    """Create metrics without calls."""
    context.team_metrics = TeamMetrics(MetricSet())


@when('each of {count:d} teams has {calls:d} calls answered, and then again')
def count_team_calls(context, count, calls):
    """Count calls in two rounds."""
    for _ in range(2):
        for number in range(count):
            for _ in range(calls):
                context.team_metrics.count(f'team-{number}', Outcome.answered)


def _team_counts(context):
    counts = context.team_metrics.metrics.counts
    return {
        labels[0]: amount
        for (metric, labels), amount in counts.items()
        if metric is TEAM_CALLS
    }


@then('the metrics have {labels:d} teams and {calls:d} calls')
def check_team_counts(context, labels, calls):
    """Compare the number of label values and the sum of the calls."""
    counts = _team_counts(context)
    assert len(counts) == labels, len(counts)
    assert sum(counts.values()) == calls, counts
    assert counts['team-0'] == 4, counts


@then('a call without a team is not counted')
def check_uncounted(context):
    """Count a call without a team."""
    before = _team_counts(context)
    context.team_metrics.count('', Outcome.answered)
    assert _team_counts(context) == before


@given('a quorum of control confirmed the configuration {age:f} s ago')
def set_confirmation(context, age):
    """Set the time of the last confirmation."""
    context.handler.directory.keys.confirmed_at = time.monotonic() - age
