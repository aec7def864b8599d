"""Steps for rate limits of teams on the stand-in platform."""

from __future__ import annotations

import threading
import time
from functools import partial

from behave import given, then, when

from tests.platform.stand_in import REPLICA_COUNT, StandInPlatform, wait_until
from tests.platform.team_calls import (
    BOUNDS,
    TeamClients,
    bound,
    team_entry,
)
from tests.steps.platform_steps import HOST, configuration_of

DAEMONS = (20, 21)
PATH = '/view/'
BURST = 10
SERVICE = 'sheets'
GAINED = 'grant lease gained'


@given(
    'a platform with teams "{one}" of {rate:d} per s and "{two}" of {other:d} '
    'per s'
)
def start_with_teams(context, one, rate, two, other):
    """Start two daemons and apply a configuration with two teams."""
    context.platform = StandInPlatform(context.folder, extra_bounds=BOUNDS)
    context.add_cleanup(context.platform.close)
    context.platform.start([SERVICE, SERVICE])
    body = configuration_of(3, SERVICE, PATH, [SERVICE])
    body['resources'].append(team_entry(one, rate, BURST))
    body['resources'].append(team_entry(two, other, BURST))
    context.platform.apply(body, 0)
    context.rates = {one: rate, two: other}
    context.clients = {
        name: TeamClients(context.platform, HOST, PATH, name)
        for name in (one, two)
    }
    for daemon in DAEMONS:
        wait_until(partial(is_served, context, two, daemon), f'{daemon} serves')
    # Buckets start empty; the small team saves up some calls.
    time.sleep(1)


def is_served(context, team, daemon):
    """Return True if a daemon serves a call; the call is not recorded."""
    trial = TeamClients(context.platform, HOST, PATH, team)
    trial.send(daemon)
    return trial.count(200) == 1


@when(
    '"{one}" sends {rate:d} per s and "{two}" sends {other:d} per s to both '
    'daemons for {length:d} s'
)
def send_both(context, one, rate, two, other, length):
    """Send the calls of two teams at the same time."""
    run_together(
        lambda: context.clients[one].send_at(rate, length, DAEMONS),
        lambda: context.clients[two].send_at(other, length, DAEMONS),
    )


@when(
    '"{team}" sends {rate:d} per s for {length:d} s and the lease holder is '
    'killed after {after:d} s'
)
def send_while_killed(context, team, rate, length, after):
    """Kill the replica that holds the lease while calls are sent."""

    def kill():
        time.sleep(after)
        context.killed = holders(context)[-1]
        context.platform.kill(context.killed)

    run_together(
        lambda: context.clients[team].send_at(rate, length, DAEMONS), kill
    )


def run_together(*functions):
    """Run functions in threads and wait for them."""
    threads = [threading.Thread(target=one) for one in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def holders(context):
    """Return the replicas that ever held the lease, in order of time."""
    lines = []
    for number in range(REPLICA_COUNT):
        name = f'control-{number}'
        lines.extend(
            (line.split()[0], name)
            for line in context.platform.log_text(name).splitlines()
            if GAINED in line
        )
    return [name for _, name in sorted(lines)]


@then('the served calls of "{team}" stay within the bound')
def check_bound(context, team):
    """Check every window of the served calls."""
    most = context.clients[team].most_served()
    limit = bound(context.rates[team], BURST)
    assert most <= limit, f'{most} calls in a window, {limit} allowed'


@then('"{team}" is served at least {least:d} calls')
def check_served(context, team, least):
    """Check that the limit is used."""
    served = context.clients[team].count(200)
    assert served >= least, (served, context.clients[team].answers[-5:])


@then('each refusal of "{team}" is a 429 with Retry-After')
def check_refusals(context, team):
    """Check the status and the header of every refused call."""
    refused = [one for one in context.clients[team].answers if one[1] != 200]
    assert refused
    for _, status, retry_after in refused:
        assert status == 429, status
        assert float(retry_after) > 0, retry_after


@then('no call of "{team}" is refused')
def check_none_refused(context, team):
    """Check that every call was served."""
    answers = context.clients[team].answers
    assert answers
    assert all(status == 200 for _, status, _ in answers), answers


@then('a call of "{team}" after its Retry-After is served')
def check_retry(context, team):
    """Send a call again after the time that a refusal named."""
    clients = TeamClients(context.platform, HOST, PATH, team)
    while clients.count(200) == len(clients.answers):
        clients.send(DAEMONS[0])
    time.sleep(float(clients.answers[-1][2]))
    clients.send(DAEMONS[0])
    assert clients.answers[-1][1] == 200, clients.answers[-2:]


@then('another replica holds the lease')
def check_other_holder(context):
    """Check that the lease moved."""
    last = holders(context)[-1]
    assert last != context.killed, last


@then('no replica holds the lease')
def check_no_holder(context):
    """Check that no replica took the lease."""
    assert holders(context) == []
