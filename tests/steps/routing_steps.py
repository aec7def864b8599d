"""Steps for the routing simulation and for single routing decisions."""

from __future__ import annotations

import math
import random

from behave import given, then, when

from burdocklead.connection.frames import Answer, Refusal
from burdocklead.request.attempt_runner import NO_LOAD
from burdocklead.request.routing import Router
from burdocklead.values import RefusalCause
from tests.steps.routing_simulation import (
    LeastReported,
    NoZonePreference,
    RandomChoice,
    RoundRobin,
    TwoChoices,
    UpstreamFault,
    candidates_for,
    member,
    run_policy,
)

SECONDS = 6
BASELINES = (RandomChoice, RoundRobin, LeastReported, TwoChoices)
ROUTE = 'sheets/view'


@given(
    'a routing straggler that is {factor:d} times slower from {begin:d} to '
    '{end:d} seconds and reports {report}'
)
def plan_straggler(context, factor, begin, end, report):
    reports_idle = report == 'itself as idle'
    context.fault = UpstreamFault(factor, reports_idle, False, begin, end)


@given('routing without faults')
def plan_no_fault(context):
    context.fault = UpstreamFault()


@given(
    'a routing upstream that refuses all as draining from {begin:d} to '
    '{end:d} seconds'
)
def plan_drain(context, begin, end):
    context.fault = UpstreamFault(draining=True, begin=begin, end=end)


@when('calls are routed at {load:f} of the capacity with seed {seed:d}')
def run_routing(context, load, seed):
    """Run the simulation with the router of the product."""
    context.load = load
    context.seed = seed
    context.outcome = _run(context, Router)


def _run(context, policy):
    return run_policy(
        policy, context.seed, context.load, SECONDS, context.fault
    )


def _compare_p99(context, policies, begin, end):
    routed_p99 = context.outcome.p99(begin, end)
    baseline_p99s = {
        policy.__name__: _run(context, policy).p99(begin, end)
        for policy in policies
    }
    return routed_p99, baseline_p99s


@then(
    'the routed 99th percentile in the slow period is below that of every '
    'baseline'
)
def check_slow_period(context):
    fault = context.fault
    routed_p99, baseline_p99s = _compare_p99(
        context, BASELINES, fault.begin, fault.end
    )
    assert routed_p99 < min(baseline_p99s.values()), (routed_p99, baseline_p99s)


@then('the routed 99th percentile is below that of random and two choices')
def check_steady(context):
    routed_p99, baseline_p99s = _compare_p99(
        context, (RandomChoice, TwoChoices), 1, SECONDS
    )
    assert routed_p99 < min(baseline_p99s.values()), (routed_p99, baseline_p99s)


@then(
    'the routed 99th percentile is not above that without the zone preference'
)
def check_preference_cost(context):
    routed_p99, baseline_p99s = _compare_p99(
        context, (NoZonePreference,), 1, SECONDS
    )
    assert routed_p99 <= min(baseline_p99s.values()), (
        routed_p99,
        baseline_p99s,
    )


@then('fewer than 1 of {share:d} routed attempts went to the straggler')
def check_straggler_share(context, share):
    """Check that the straggler got less than a third of its fair share, 1/6."""
    fault = context.fault
    attempts = context.outcome.attempts(fault.begin, fault.end)
    assert attempts['u0'] * share < attempts.total(), attempts


@then('at least {share:f} of routed attempts stay in their availability zone')
def check_local_share(context, share):
    seen = context.outcome.local_share()
    assert seen >= share, seen


@then('at most {count:d} routed attempts reach it in its first second')
def check_drained(context, count):
    begin = context.fault.begin
    attempts = context.outcome.attempts(begin, begin + 1)
    assert attempts['u0'] <= count, attempts


@then('every routed call is answered')
def check_all_answered(context):
    assert not context.outcome.failed, len(context.outcome.failed)


def _two_upstreams(context):
    context.router = Router('vancouver', random.Random(1))
    zones = ('vancouver', 'vancouver')
    members = [member(number, zones) for number in range(2)]
    context.candidates = candidates_for('vancouver', members)
    context.now = 1


@when('a router sees a refusal as "{cause}" from one of 2 upstreams')
def see_refusal(context, cause):
    _two_upstreams(context)
    refusal = Refusal('a', RefusalCause(cause), NO_LOAD)
    context.router.observe_result('u0', ROUTE, refusal, 0, context.now)


@when(
    'a router waits for {count:d} answers of {usual:d} ms of one of 2 '
    'upstreams for {waited:d} ms'
)
def wait_for_answers(context, count, usual, waited):
    """Make answers of u0 overdue; u1 has more attempts in flight."""
    _two_upstreams(context)
    for _ in range(count):
        context.router.start_attempt('u0', ROUTE, context.now)
    context.now += waited / 1000
    for _ in range(count + 1):
        context.router.start_attempt('u1', ROUTE, context.now)


@then('it chooses the other one {count:d} times')
def check_other(context, count):
    seen = {
        context.router.choose(context.candidates, ROUTE, context.now).daemon_id
        for _ in range(count)
    }
    assert seen == {'u1'}, seen


@then('it chooses the avoided one if the other was tried')
def check_last_resort(context):
    """Check that an avoided upstream is chosen if no other is left."""
    left = context.candidates.without({'u1'})
    chosen = context.router.choose(left, ROUTE, context.now)
    assert chosen.daemon_id == 'u0', chosen


@when('a router chooses among {count:d} upstreams')
def choose_among_many(context, count):
    context.router = Router('vancouver', random.Random(1))
    members = [member(number) for number in range(count)]
    context.candidates = candidates_for('vancouver', members)
    assert context.router.choose(context.candidates, ROUTE, 1)


@then('it scored at most {count:d} of them')
def check_scored(context, count):
    """Count the views, one of which is created for each scored upstream."""
    assert 0 < len(context.router.views) <= count, len(context.router.views)


@then('it chooses at least {count:d} of 100 times in its own availability zone')
def check_own_zone(context, count):
    """Count the choices in the own zone while all upstreams are idle."""
    zones = [
        context.router.choose(context.candidates, ROUTE, 1).zone
        for _ in range(100)
    ]
    assert zones.count(context.router.zone) >= count, zones


@when('a router records answers after {one:g} ms, {two:g} ms and {three:g} ms')
def record_answers(context, one, two, three):
    """Record answers of one upstream."""
    context.router = Router('a', random.Random(1))
    for number, elapsed_ms in enumerate((one, two, three)):
        answer = Answer('d.1.1', 200, (), b'', NO_LOAD)
        context.router.start_attempt('u0', ROUTE, number)
        context.router.finish_attempt('u0', ROUTE)
        context.router.observe_result(
            'u0', ROUTE, answer, elapsed_ms / 1000, number
        )


@then('their upstream is scored by a finite latency')
def check_finite_score(context):
    """Check the expected latency of the upstream."""
    median_ms = context.router.median_latency_ms(ROUTE)
    score = context.router.score(member(0), median_ms, 3)
    assert 0 < score < math.inf, score


@when(
    'a router cancels 1 of {count:d} attempts of {usual:d} ms in flight at an '
    'upstream after {elapsed:d} ms'
)
def cancel_attempt(context, count, usual, elapsed):
    """Start attempts at once and cancel one that took longer than usual."""
    record_answers(context, usual, usual, usual)
    router = context.router
    context.now = 10
    for _ in range(count):
        router.start_attempt('u0', ROUTE, context.now)
    context.now += elapsed / 1000
    router.observe_cancelled('u0', ROUTE, elapsed / 1000, context.now)
    router.finish_attempt('u0', ROUTE)


@then('the other attempts are not overdue {later:d} ms later')
def check_not_overdue(context, later):
    """Check the time for which an answer is overdue."""
    view = context.router.view_of('u0')
    assert not view.overdue_ms(context.now + later / 1000), view


@then('they are overdue {later:d} ms later')
def check_overdue(context, later):
    """Check that the time of the attempts still counts."""
    view = context.router.view_of('u0')
    assert view.overdue_ms(context.now + later / 1000) > 0, view
