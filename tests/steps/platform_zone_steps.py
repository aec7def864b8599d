"""Steps for evacuated zones on the stand-in platform."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import requests
from behave import given, then, when

from burdocklead.request.headers import CAUSE_HEADER, OUTCOME_HEADER
from tests.platform.stand_in import (
    HTTP_TIMEOUT_S,
    REPLICA_COUNT,
    StandInPlatform,
    wait_until,
)
from tests.steps.platform_steps import (
    FIRST_DAEMON,
    HOST,
    operatorstatus_of_request,
    status_of_request,
)

PATH = '/view/7'
ORDERS = ('evacuations.start', 'evacuations.finish')


@given('a platform with "{service}" in the zones "{one}", "{two}"')
def start_platform(context, service, one, two):
    """Start two daemons of one service in different zones."""
    context.services = [service]
    context.platform = StandInPlatform(context.folder)
    context.platform.zones = {FIRST_DAEMON: one, FIRST_DAEMON + 1: two}
    context.add_cleanup(context.platform.close)
    context.platform.start([service, service])


def send_order(context, call, zone, control=0):
    """Send an order; return its status."""
    address = context.platform.operator_address(control)
    return requests.post(
        f'http://{address}/-/rpc',
        params={'call': call, 'of': zone},
        timeout=HTTP_TIMEOUT_S,
    ).status_code


@when('the zone "{zone}" is evacuated at replica {control:d}')
def evacuate(context, zone, control):
    """Send the order and remember the time of the acknowledgement."""
    assert send_order(context, ORDERS[0], zone, control) == 200
    context.ordered_at = getattr(context, 'ordered_at', time.monotonic())


@when('the zone "{zone}" is restored at replica {control:d}')
def restore(context, zone, control):
    """Send the order that ends the evacuation."""
    assert send_order(context, ORDERS[1], zone, control) == 200


@when('requests are sent to both daemons for {wait:d} s')
def send_requests(context, wait):
    """Send requests in turn and record their statuses."""
    context.statuses = []
    limit = time.monotonic() + wait
    while time.monotonic() < limit:
        for daemon in (FIRST_DAEMON, FIRST_DAEMON + 1):
            context.statuses.append(status_of_request(context, daemon, PATH))


@then('upstream {number:d} ran no call later than {wait:d} s after the order')
def check_no_late_call(context, number, wait):
    """Check the time of the last call at the upstream."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    late_s = upstream.last_request_at - context.ordered_at
    assert late_s < wait, late_s


@then('within {wait:d} s a request at daemon {daemon:d} is answered {status:d}')
def check_status_within(context, wait, daemon, status):
    """Send requests until the status is the expected one."""
    wait_until(
        lambda: status_of_request(context, daemon, PATH) == status,
        f'a request is answered {status}',
        wait,
    )


@then(
    'within {wait:d} s a request at daemon {daemon:d} is answered 503 with '
    'Retry-After'
)
def check_refused_within(context, wait, daemon):
    """Check that a call that no zone can serve is refused as not run."""
    check_status_within(context, wait, daemon, 503)
    answer = context.platform.request(daemon, HOST, PATH, 'refused')
    assert answer.status_code == 503, answer.status_code
    assert float(answer.headers['Retry-After']) > 0, answer.headers


@when('all control replicas and daemon {daemon:d} are killed and started again')
def restart_all(context, daemon):
    """Restart with the data folders; wait until daemons have been told."""
    platform = context.platform
    platform.kill(f'daemon-{daemon}')
    for number in range(REPLICA_COUNT):
        platform.kill(f'control-{number}')
    for number in range(REPLICA_COUNT):
        platform.start_control(number, bootstrap=False)
    wait_until(
        lambda: operatorstatus_of_request(context, 0) == 200, 'control is up'
    )
    service = platform.upstreams[f'daemon-{daemon}'].service
    platform.start_daemon(daemon, service)
    wait_until(lambda: platform.ready_status(daemon) == 200, 'it is ready')


@then('within {wait:d} s upstream {number:d} runs a call')
def check_runs(context, wait, number):
    """Send requests to its daemon until one arrives."""
    upstream = context.platform.upstreams[f'daemon-{number}']
    before = len(upstream.requests_run)

    def arrived():
        status_of_request(context, number, PATH)
        return len(upstream.requests_run) > before

    wait_until(arrived, 'a call arrives', wait)


@then('the evacuation of a zone without a name is answered {status:d}')
def check_nameless(context, status):
    """Send an order with an empty name and one without a name."""
    assert send_order(context, ORDERS[0], '') == status
    answer = context.platform.call_operator_api(ORDERS[0])
    assert answer.status_code == status, answer.text


@then('the evacuation of the zone "{zone}" is answered {status:d}')
def check_start(context, zone, status):
    """Check the status of an order to evacuate."""
    assert send_order(context, ORDERS[0], zone) == status


@then('the end of the evacuation of the zone "{zone}" is answered {status:d}')
def check_finish(context, zone, status):
    """Check the status of an order to restore."""
    assert send_order(context, ORDERS[1], zone) == status


@then(
    '{count:d} orders for the zone "{zone}" that race at three replicas are '
    'answered {status:d}'
)
def check_race(context, count, zone, status):
    """Send both kinds of orders to all replicas at the same time."""
    with ThreadPoolExecutor(count) as pool:
        statuses = pool.map(
            lambda number: send_order(
                context, ORDERS[number % 2], zone, number % REPLICA_COUNT
            ),
            range(count),
        )
    assert set(statuses) == {status}


@then('within {wait:d} s a call through "{entry}" is refused as "{cause}"')
def check_call_refused(context, wait, entry, cause):
    """Send calls until one is refused as not run."""

    def refused():
        headers = send_call(context, entry).headers
        return (
            headers.get(CAUSE_HEADER) == cause
            and headers[OUTCOME_HEADER] == 'not-run'
        )

    wait_until(refused, f'a call is refused as {cause}', wait)


@then('within {wait:d} s a call through "{entry}" is answered')
def check_call_answered(context, wait, entry):
    """Send calls until one is answered."""
    wait_until(
        lambda: send_call(context, entry).status_code == 200,
        'a call is answered',
        wait,
    )


def send_call(context, entry):
    """Send one call through a daemon of the local deployment."""
    url = context.deployment.url(entry, '/job-sheets/sheets/1')
    return requests.get(url, timeout=HTTP_TIMEOUT_S)
