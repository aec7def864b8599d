"""Steps for drains by operators."""

from __future__ import annotations

import time

import requests
from behave import then, when

from burdocklead.durable.drains import NO_DRAINS, decide_drain
from devtools.local_deployment import wait_until

HTTP_TIMEOUT_S = 10


@when('the drain changes "{changes}" are applied')
def apply_drain_changes(context, changes):
    """Drain (+) daemons or end their drains (-) in order."""
    context.drains = NO_DRAINS
    for change in changes.split():
        context.drains = decide_drain(
            context.drains, change[1:], drained=change[0] == '+'
        )


@then('the drain list is "{names}" with revision {revision:d}')
def check_drains(context, names, revision):
    """Compare the drain list and its revision."""
    seen = (' '.join(context.drains.daemons), context.drains.revision)
    assert seen == (names, revision), seen


@then(
    'within {seconds:d} seconds "{daemon}" gets none of {count:d} calls '
    'through "{entry}"'
)
def check_no_calls(context, seconds, daemon, count, entry):
    """Wait, then check that calls do not reach the daemon."""
    time.sleep(seconds)
    assert count_executions(context, daemon, count, entry) == 0


@then(
    'within {seconds:d} seconds "{daemon}" gets some of {count:d} calls '
    'through "{entry}"'
)
def check_some_calls(context, seconds, daemon, count, entry):
    """Send calls until some reach the daemon, within the time limit."""
    wait_until(
        lambda: count_executions(context, daemon, count, entry) > 0,
        f'{daemon} gets calls',
        seconds,
    )


def count_executions(context, daemon, count, entry):
    """Send calls and return how many of them an upstream executed."""
    before = total_executions(context, daemon)
    url = context.deployment.url(entry, '/job-sheets/sheets/1')
    for _ in range(count):
        response = requests.get(url, timeout=HTTP_TIMEOUT_S)
        assert response.status_code == 200, response.headers
    return total_executions(context, daemon) - before


def total_executions(context, daemon):
    """Return the total number of executions of an upstream."""
    address = context.deployment.upstreams[daemon].addresses['http']
    page = requests.get(
        f'http://{address}/-/executions', timeout=HTTP_TIMEOUT_S
    )
    return sum(page.json()['by_attempt'].values())


@when('control replica "{name}" is killed and started again')
def restart_control(context, name):
    """Kill a replica and restart it with its data folder."""
    process = context.deployment.controls[name]
    process.kill()
    process.start()
    process.wait_ready()
