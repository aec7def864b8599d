"""Steps for cold upstreams on the stand-in platform."""

from __future__ import annotations

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from behave import given, then, when

from tests.platform.stand_in import wait_until
from tests.steps.platform_steps import (
    HOST,
    check_metrics,
    configuration_of,
    status_of_request,
)

PATH = '/view/7'


def upstream_of(context, number):
    """Return an upstream."""
    return context.platform.upstreams[f'daemon-{number}']


@given('the health checks of upstream {number:d} report "{text}" ms')
@when('the health checks of upstream {number:d} report "{text}" ms')
def report_by_checks(context, number, text):
    """Set the header with the remaining cold time."""
    upstream_of(context, number).cold_header = text


@given('the heartbeats of upstream {number:d} report {cold_ms:d} ms')
def report_by_heartbeats(context, number, cold_ms):
    """Set the remaining cold time in heartbeats."""
    upstream_of(context, number).cold_ms = cold_ms


@when(
    'version {version:d} routes "{path}" to "{service}", which can handle '
    '{rate:d} calls a second for {cold_s:d} s while it is cold'
)
def apply_cold_version(context, version, path, service, rate, cold_s):
    """Apply a configuration with a limit; wait until daemons use it."""
    body = configuration_of(version, service, path, context.services)
    for one in body['resources']:
        if one['entryType'] == 'services':
            one['spec'].update(coldPerS=rate, coldStartS=cold_s)
    context.platform.apply(body, 0)
    text = f'burdocklead_upstreams{{service="{service}"}} 1'
    for daemon in (20, 21):
        wait_until(partial(_is_ready, context, daemon), 'the daemon is ready')
        check_metrics(context, daemon, text)


def _is_ready(context, daemon):
    return context.platform.ready_status(daemon) == 200


@when(
    '{count:d} clients of daemon {entry:d} send requests for {wait:d} s, and '
    'daemon {number:d} is killed and restarted after {kill_s:d} s'
)
def send_during_restart(context, count, entry, wait, number, kill_s):
    """Send requests one after another on each of some threads."""
    context.client_count = count
    limit = time.monotonic() + wait

    def send(client):
        responses = []
        while time.monotonic() < limit:
            call = f'{client}-{len(responses)}'
            responses.append(context.platform.request(entry, HOST, PATH, call))
            time.sleep(0.02)
        return responses

    with ThreadPoolExecutor(count) as pool:
        sent = [pool.submit(partial(send, client)) for client in range(count)]
        time.sleep(kill_s)
        context.platform.kill(f'daemon-{number}')
        context.platform.start_daemon(
            number, upstream_of(context, number).service
        )
    context.responses = [one for part in sent for one in part.result()]


@then('upstream {number:d} got at most {most:d} calls in any {window_s:g} s')
def check_most_arrivals(context, number, most, window_s):
    """Count arrivals; calls may be 0.2 s later on the way than others."""
    arrived = upstream_of(context, number).arrived_at
    for first in arrived:
        within = [at for at in arrived if first <= at < first + window_s]
        assert len(within) <= most, within


@then('upstream {number:d} got at least {least:d} calls')
def check_least_arrivals(context, number, least):
    """Check that the limit lets calls pass."""
    arrived = upstream_of(context, number).arrived_at
    assert len(arrived) >= least, arrived


@then(
    'the requests were answered {one:d} or {other:d} with Retry-After, and '
    '{cut:d} only when the daemon was killed'
)
def check_responses(context, one, other, cut):
    """Check that calls over the rate were refused as not run.

    The outcome of the calls that the killed daemon had sent is not known; there
    is at most one for each client.
    """
    statuses = Counter(response.status_code for response in context.responses)
    assert set(statuses) - {cut} == {one, other}, statuses
    assert statuses[cut] <= context.client_count, statuses
    for response in context.responses:
        refused = response.status_code == other
        assert not refused or 'Retry-After' in response.headers


@then(
    'within {wait:d} s {count:d} requests in a row at daemon {daemon:d} are '
    'answered {status:d}'
)
def check_row(context, wait, count, daemon, status):
    """Send rows of requests until all of one are answered."""
    wait_until(
        lambda: all(
            status_of_request(context, daemon, PATH) == status
            for _ in range(count)
        ),
        'no request of a row is refused',
        wait,
    )


@then('daemon {number:d} logs that it ignores a cold time')
def check_ignored(context, number):
    """Search the log."""
    text = context.platform.log_text(f'daemon-{number}')
    assert 'cold time ignored' in text, text
