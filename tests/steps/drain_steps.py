"""Steps for drains of operators."""

from __future__ import annotations

import time

import requests
from behave import then, when

from burdocklead.durable.drains import NO_DRAINS, decide_drain
from devtools.local_deployment import wait_until

HTTP_TIMEOUT_S = 10


@when('the drain changes "{changes}" are applied')
def apply_drain_changes(context, changes):
    """Drain (+) and undrain (-) daemons in order."""
    context.drains = NO_DRAINS
    for change in changes.split():
        context.drains = decide_drain(
            context.drains, change[1:], drained=change[0] == '+'
        )


@then('the drain list is "{names}" with revision {revision:d}')
def check_drains(context, names, revision):
    """Compare the list."""
    seen = (' '.join(context.drains.daemons), context.drains.revision)
    assert seen == (names, revision), seen


@then(
    'within {seconds:d} seconds "{daemon}" gets none of {count:d} calls '
    'through "{entry}"'
)
def check_no_calls(context, seconds, daemon, count, entry):
    """Wait for the time limit, then send calls and count executions."""
    time.sleep(seconds)
    assert count_executions(context, daemon, count, entry) == 0


@then(
    'within {seconds:d} seconds "{daemon}" gets some of {count:d} calls '
    'through "{entry}"'
)
def check_some_calls(context, seconds, daemon, count, entry):
    """Send calls until the daemon gets some, within the time limit."""
    wait_until(
        lambda: count_executions(context, daemon, count, entry) > 0,
        f'{daemon} gets work',
        seconds,
    )


def count_executions(context, daemon, count, entry):
    """Return how many of some calls an upstream ran."""
    before = total_executions(context, daemon)
    url = context.deployment.url(entry, '/job-sheets/sheets/1')
    for _ in range(count):
        response = requests.get(url, timeout=HTTP_TIMEOUT_S)
        assert response.status_code == 200, response.headers
    return total_executions(context, daemon) - before


def total_executions(context, daemon):
    """Return the executions of one upstream."""
    address = context.deployment.upstreams[daemon].addresses['http']
    page = requests.get(
        f'http://{address}/-/executions', timeout=HTTP_TIMEOUT_S
    )
    return sum(page.json()['by_attempt'].values())


@when('control replica "{name}" is killed and started again')
def restart_control(context, name):
    """Kill a replica and start it again with its folder."""
    process = context.deployment.controls[name]
    process.kill()
    process.start()
    process.wait_ready()
