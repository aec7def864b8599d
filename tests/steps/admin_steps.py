"""Steps for admin endpoints, metrics, logs and unexpected errors."""

from __future__ import annotations

import asyncio
import gc
import re
import signal

import logbook
import requests
from behave import then, when

from burdocklead.clock import HybridClock
from burdocklead.events import EventKind, EventRing
from burdocklead.logs import json_line, text_line
from burdocklead.metrics import (
    DECLARED,
    UNEXPECTED_ERRORS,
    MetricKind,
    MetricSet,
)
from burdocklead.process.supervision import Supervisor
from devtools.local_deployment import wait_until

HTTP_TIMEOUT_S = 10
MAX_LABELS = 2
STAMP = re.compile(r'\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z ?')


def process_named(context, name):
    """Return a process of the deployment."""
    deployment = context.deployment
    return {**deployment.daemons, **deployment.controls}[name]


def fetch(context, name, path, method='GET', body=None):
    """Return the response of an admin endpoint."""
    address = process_named(context, name).addresses['admin']
    return requests.request(
        method,
        f'http://{address}{path}',
        data=body,
        timeout=HTTP_TIMEOUT_S,
    )


@then('the admin endpoint "{path}" of "{name}" has {status:d} and "{text}"')
def check_admin_endpoint(context, path, name, status, text):
    """Check the status and a part of the body."""
    response = fetch(context, name, path)
    seen = (response.status_code, response.text)
    assert response.status_code == status, seen
    assert text in response.text, seen


@then(
    'the admin endpoint "{path}" of "{name}" eventually has {status:d} and '
    '"{text}"'
)
def wait_for_admin_endpoint(context, path, name, status, text):
    """Wait for status and a part of the body."""

    def matches():
        response = fetch(context, name, path)
        return response.status_code == status and text in response.text

    wait_until(matches, f'{path} of {name} has {status} and {text}')


@then('the admin metrics of "{name}" have')
def check_metrics(context, name):
    """Check that each sample is present."""
    lines = fetch(context, name, '/metrics').text.splitlines()
    missing = [one for one in context.text.splitlines() if one not in lines]
    assert not missing, (missing, lines)


@then('the sync counter in the metrics of "{name}" equals that in its status')
def check_syncs(context, name):
    """Compare the metric with the status endpoint.

    The counter belongs to the store and is copied into the metrics on each
    scrape, so an earlier scrape must not leave an old value.
    """
    status = fetch(context, name, '/v1/status').json()
    lines = fetch(context, name, '/metrics').text.splitlines()
    expected = f'burdocklead_store_syncs_total {status["syncs"]}'
    assert status['syncs'] > 0
    assert expected in lines, (expected, lines)


@then('every declared metric follows the naming conventions')
def check_conventions(context):
    """Check the name, unit, help and number of labels of each metric."""
    for metric in DECLARED:
        assert re.fullmatch('burdocklead_[a-z_]+', metric.name), metric
        is_counter = metric.kind is MetricKind.counter
        assert metric.name.endswith('_total') == is_counter, metric
        assert not re.search('_(ms|milliseconds|kb|mb)', metric.name), metric
        assert len(metric.labels) <= MAX_LABELS, metric
        assert metric.help.endswith('.'), metric
    names = [metric.name for metric in DECLARED]
    assert len(names) == len(set(names)), names


@then('these admin requests of "{name}" are refused')
def check_refusals(context, name):
    """Check the status, the JSON error and its step of each response."""
    for row in context.table:
        response = fetch(context, name, row['path'], row['method'], row['body'])
        seen = (row['path'], response.status_code, response.text)
        assert str(response.status_code) == row['status'], seen
        assert row['error'] in response.json()['error'], seen
        assert response.json()['step'], seen


@when('the processes "{names}" are killed')
def kill_processes(context, names):
    """Kill processes without a graceful stop."""
    for name in names.split(', '):
        process_named(context, name).kill()


@when('the process "{name}" is asked to stop')
def ask_to_stop(context, name):
    """Request a graceful stop."""
    process_named(context, name).send_signal(signal.SIGTERM)


class FailureRun:
    """Runs one failing task in its own event loop and records the reports."""

    def __init__(self, *, supervised):
        self.events = EventRing('test', HybridClock())
        self.metrics = MetricSet()
        self.stops = 0
        with logbook.TestHandler() as handler:
            asyncio.run(self.fail(supervised=supervised))
        self.lines = handler.formatted_records

    def stop(self):
        self.stops += 1

    async def fail(self, *, supervised):
        supervisor = Supervisor(self.events, self.metrics, self.stop)
        supervisor.watch_loop()
        if supervised:
            supervisor.start('loop', self.raise_error())
        else:
            asyncio.create_task(self.raise_error())  # noqa: RUF006
        for _ in range(3):
            await asyncio.sleep(0)
        gc.collect()
        await asyncio.sleep(0)

    async def raise_error(self):
        raise ValueError('boom')


@when('a supervised task fails with "boom"')
def fail_supervised(context):
    """Run a supervised task that fails."""
    context.failure = FailureRun(supervised=True)


@when('a task that is never awaited fails with "boom"')
def fail_unawaited(context):
    """Run a task that fails and is never awaited."""
    context.failure = FailureRun(supervised=False)


@then(
    'the failure is logged once, counted once, recorded as an event '
    'and stops {what}'
)
def check_failure(context, what):
    """Check the log, the metric, the event and the requests to stop."""
    failure = context.failure
    assert len(failure.lines) == 1, failure.lines
    counted = failure.metrics.counts[UNEXPECTED_ERRORS, ()]
    assert counted == 1, counted
    kinds = [event.kind for event in failure.events.events()]
    assert kinds == [EventKind.unexpected_error], kinds
    assert failure.stops == int(what == 'the process')


@when('the text "{text}" and the peer "{peer}" are logged as {form}')
def log_line(context, text, peer, form):
    """Format one log line."""
    with logbook.TestHandler() as handler:
        handler.formatter = json_line if form == 'json' else text_line
        logbook.Logger('test').warning(text, peer=peer, call='c1')
        context.line = STAMP.sub('', handler.formatted_records[0])


@then('the log line ends with {line}')
def check_line(context, line):
    """Compare the line without its timestamp."""
    assert context.line == line, context.line
