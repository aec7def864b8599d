"""Steps for cold upstreams, without a network or a clock."""

from __future__ import annotations

import math
import random
from types import SimpleNamespace

import logbook
from behave import given, then, when

from burdocklead.evacuation.upstream_access import UpstreamAccess
from burdocklead.request.routing import Router
from burdocklead.request.upstream_view import ReceivedEstimate
from burdocklead.values import Address, Estimate, LoadReport, Member
from burdocklead.version.deployment import Service
from burdocklead.warmup.cold_time import ReportedColdTime

SEED = 7
COLD_S = 4
TICK_S = 0.2
COLD_TOLERANCE_S = 0.001
INSTANCE = 'i-1'
ADDRESS = Address('127.0.0.1', 1)
LOAD = LoadReport(1, 2, 3, 4)
ROUTE = 'sheets/view'


def make_access(context, rate, cold_start_s=COLD_S):
    """Create an upstream beside a daemon that started at time 0."""
    context.now = 0
    context.access = UpstreamAccess()
    service = Service(cold_start_s=cold_start_s, cold_rate=rate)
    context.access.warm_up.service = lambda: service
    context.access.tick(0)


def run_until(context, at):
    """Let the daemon run until a time."""
    while context.now < at:
        context.now = min(context.now + TICK_S, at)
        context.access.tick(context.now)


def report(context, remaining_ms, instance=INSTANCE):
    """Let a health check report a cold time."""
    context.access.warm_up.observe_check(
        ReportedColdTime(instance, remaining_ms), INSTANCE, context.now
    )


@given(
    'a warm upstream that can handle {rate:g} calls a second when it is cold'
)
def make_warm(context, rate):
    """Start beside a warm upstream two seconds ago."""
    make_access(context, rate)
    run_until(context, 2)


@given('a cold upstream that can handle {rate:g} calls a second')
def make_cold(context, rate):
    """Start two seconds ago; the upstream is cold from now on."""
    make_warm(context, rate)
    report(context, COLD_S * 1000)


@given('a daemon that starts beside a cold upstream')
def make_restarted(context):
    """Start now; nothing is known of the calls of a predecessor."""
    make_access(context, 5)
    report(context, COLD_S * 1000)


@given('a cold upstream whose service has a rate of {rate}')
def make_unlimited(context, rate):
    """Report a cold time of a service without a limit."""
    make_access(context, None if rate == 'none' else float(rate))
    report(context, COLD_S * 1000)


@when(
    'calls want to start for {wait:d} s at random moments, {arrivals:d} a '
    'second'
)
def offer_calls(context, wait, arrivals):
    """Start each call that is not refused."""
    rng = random.Random(SEED)
    context.started = []
    limit = context.now + wait
    while context.now < limit:
        run_until(context, context.now + rng.expovariate(arrivals))
        report(context, COLD_S * 1000)
        if context.access.refusal_cause(context.now) is None:
            context.access.warm_up.window.record(context.now)
            context.started.append(context.now)


@then('at most {most:d} calls start in any second')
def check_most(context, most):
    """Count the calls in the second after each call."""
    for first in context.started:
        within = [at for at in context.started if first <= at < first + 1]
        assert len(within) <= most, within


@then('at least {least:d} calls start')
def check_least(context, least):
    """Check that the limit lets calls pass."""
    assert len(context.started) >= least, len(context.started)


@when('{count:d} calls start within {wait:g} s')
def start_calls(context, count, wait):
    """Start calls at equal distances, whatever the limit."""
    for _ in range(count):
        context.access.warm_up.window.record(context.now)
        run_until(context, context.now + wait / count)


@when('a health check reports a cold time of {remaining_ms:d} ms')
def report_cold(context, remaining_ms):
    """Let the upstream become cold."""
    report(context, remaining_ms)


@when('the daemon is frozen for {wait:g} s')
def freeze(context, wait):
    """Advance the time without a tick."""
    context.now += wait


@then('a call is refused as "{cause}" after {wait:g} s')
def check_refusal(context, cause, wait):
    """Check the cause once the daemon has run for a while."""
    access = context.access
    access.tick(context.now)
    run_until(context, context.now + wait)
    assert access.refusal_cause(context.now) == cause
    context.now -= wait


@then('a call may start after {wait:g} s')
def check_start(context, wait):
    """Check that a call is accepted once the daemon has run for a while."""
    run_until(context, context.now + wait)
    cause = context.access.refusal_cause(context.now)
    assert cause is None, cause


@then('its load report is as before')
def check_report(context):
    """Check that the report has no cold time."""
    assert context.access.warm_up.describe(LOAD, context.now) == LOAD


@then(
    'its load report has a wait of {low:d} to {high:d} ms and a cold time of '
    '{least:d} to {most:d} ms'
)
def check_wait(context, low, high, least, most):
    """Check what entries are told."""
    load = context.access.warm_up.describe(LOAD, context.now)
    assert low <= load.expected_wait_ms <= high, load
    assert least <= load.cold_ms <= most, load


@given('an upstream whose service has a cold time of {cold_s:d} s')
def make_reporting(context, cold_s):
    """Start two seconds ago; the log is recorded."""
    make_access(context, 5, cold_s)
    run_until(context, 2)
    handler = logbook.TestHandler()
    handler.push_application()
    context.add_cleanup(handler.pop_application)
    context.log = handler


@given('an upstream whose service is not known')
def make_unknown(context):
    """Start before the configuration is known."""
    make_access(context, 5)
    context.access.warm_up.service = lambda: None


@when('its service has a cold time of {cold_s:d} s')
def configure(context, cold_s):
    """Let the daemon learn the configuration."""
    service = Service(cold_start_s=cold_s, cold_rate=5)
    context.access.warm_up.service = lambda: service


@when('it reports "{reports}"')
def report_all(context, reports):
    """Apply reports, assumptions and waits in order."""
    for text in reports.split(', '):
        apply_report(context, *text.rpartition(' ')[::2])


def apply_report(context, kind, figure):
    """Apply one report."""
    warm_up = context.access.warm_up
    match kind:
        case 'wait':
            run_until(context, context.now + float(figure))
        case 'heartbeat':
            warm_up.observe_heartbeat(float(figure), context.now)
        case 'another instance':
            report(context, float(figure), 'i-2')
        case 'check' if figure == 'none':
            warm_up.observe_check(None, INSTANCE, context.now)
        case 'check':
            report(context, float(figure))
        case _:
            warm_up.cold_time.trusts_heartbeats = False
            context.access.assume_cold(context.now)


@then('its remaining cold time is {remaining:g} s')
def check_remaining(context, remaining):
    """Compare the remaining time."""
    seen = context.access.warm_up.cold_s(context.now)
    assert math.isclose(seen, remaining, abs_tol=COLD_TOLERANCE_S), seen


@then('the odd figure is logged once')
def check_log(context):
    """Check that the second odd figure adds no line."""
    lines = [
        one for one in context.log.records if one.msg == 'cold time ignored'
    ]
    assert len(lines) == 1, lines


def member_of(zone):
    """Return the member record of an upstream."""
    return Member(
        daemon_id=zone,
        incarnation=1,
        revision=0,
        zone=zone,
        link=ADDRESS,
        http=ADDRESS,
        service='sheets',
        slots=4,
    )


@given(
    'an entry in "{zone}" with a cold upstream there and a warm one in '
    '"{other}" that is {slower:d} ms slower'
)
def make_entry(context, zone, other, slower):
    """Create a router that has heard of both."""
    context.router = Router(zone, random.Random(SEED))
    context.estimates = {zone: 20, other: 20 + slower}


@when('the cold one reports {cold:d} ms and {age:g} s pass')
def report_load(context, cold, age):
    """Record the load reports, and estimates when the time has passed."""
    router = context.router
    router.observe_load(router.zone, LoadReport(0, 0, 4, 0, cold), 0)
    for zone, expected_ms in context.estimates.items():
        view = router.view_of(zone)
        estimate = Estimate(expected_ms, expected_ms)
        view.estimates[ROUTE] = ReceivedEstimate(estimate, age)
    context.age = age


@then('the entry prefers the one in "{zone}"')
def check_preferred(context, zone):
    """Compare the scores."""
    router = context.router
    best = min(
        map(member_of, context.estimates),
        key=lambda one: router.score(one, 5, context.age, 3, ROUTE),
    )
    assert best.zone == zone, SimpleNamespace(**router.views)
