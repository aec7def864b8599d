"""Steps that send calls through the dispatcher to scripted upstreams."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import replace

import msgspec
from behave import given, then, when

from burdocklead.clock import HybridClock
from burdocklead.connection.frames import Answer, Lost, Refusal
from burdocklead.events import EventRing
from burdocklead.metrics import MetricSet
from burdocklead.request.attempt_runner import NO_LOAD
from burdocklead.request.block_list import BlockList, fingerprint_of
from burdocklead.request.call import Call
from burdocklead.request.crash_guard import CrashGuard
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.placement import Placement
from burdocklead.request.retries import MAX_BUDGET_TOKENS, backoff_s
from burdocklead.request.routing import Router
from burdocklead.request.shared_budget import RetryLimit, SharedRetryBudget
from burdocklead.values import CrashReport, RefusalCause
from burdocklead.version.deployment import Route, Service
from burdocklead.version.route_table import REDIRECT_RATIO, RouteMatch
from tests.steps.routing_simulation import candidates_for, member

MS = 0.001
REFUSALS = {
    'refused': RefusalCause.queue_full,
    'leaving': RefusalCause.draining,
    'bounced': RefusalCause.not_at_once,
}
CRASH_FATES = frozenset(('crashed', 'was-beside-a-crash'))


def _lost_at_crash(attempt, target, *, blamed):
    """Return the result of an attempt whose upstream crashed."""
    fingerprint = fingerprint_of(
        attempt.service, attempt.method, attempt.path, attempt.body
    )
    report = CrashReport(
        fingerprint,
        f'crash{attempt.number}',
        target.daemon_id,
        int(time.time()),
        alone=False,
    )
    return Lost(
        attempt.attempt_id,
        'closed',
        True,
        NO_LOAD,
        crashes=(report,) if blamed else (),
    )


class ScriptedUpstreams:
    """Answers attempts by their number as a script says."""

    def __init__(self):
        """Answer everything at once."""
        self.count = 3
        self.script = {}
        self.attempts = []
        self.cancelled = 0

    def candidates(self, service):
        """Return the upstreams."""
        members = [member(one) for one in range(self.count)]
        return candidates_for('vancouver', members)

    async def run(self, call, target, attempt):
        """Return the scripted result of an attempt."""
        self.attempts.append((attempt.number, target.daemon_id))
        fate, delay = self.script.get(
            attempt.number, self.script.get('every', ('answers', 0))
        )
        try:
            await asyncio.sleep(delay)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        cause = REFUSALS.get(fate)
        if cause is not None:
            return Refusal(attempt.attempt_id, cause, NO_LOAD)
        if fate == 'lost':
            return Lost(attempt.attempt_id, 'silent', False, NO_LOAD)
        if fate in CRASH_FATES:
            return _lost_at_crash(attempt, target, blamed=fate == 'crashed')
        status = 500 if fate == 'fails' else 200
        return Answer(attempt.attempt_id, status, (), b'', NO_LOAD)


@given('retried calls that {kind} idempotent with a hedge after {after:d} ms')
def plan_calls(context, kind, after):
    """Make a route and a dispatcher."""
    route = Route(
        name='view',
        method='GET',
        path='/',
        idempotent=kind == 'are',
        timeout_ms=10000,
    )
    service = Service(routes=(route,), hedge_after_ms=after)
    context.match = RouteMatch('sheets', service, route, '/')
    context.upstreams = ScriptedUpstreams()
    rng = random.Random(4)
    context.dispatcher = Dispatcher(
        'p',
        context.upstreams,
        context.upstreams,
        Placement(context.upstreams, Router('vancouver', rng)),
        rng,
        MetricSet(),
    )


@given('the service has no upstream')
def plan_absence(context):
    """Take all upstreams away."""
    context.upstreams.count = 0


@then('the times to return are {least:f} s at least')
def check_least_return(context, least):
    """Check that nobody is asked back before something can have changed."""
    times = [one.retry_after_s for one in context.results]
    assert min(times) >= least, times


@given('{count:d} upstreams may be sent a retried call')
def plan_attempts(context, count):
    """Limit the attempts of a call, which repeats errors of upstreams."""
    match = context.match
    service = msgspec.structs.replace(
        match.service, max_attempts=count, retry_server_errors=True
    )
    context.match = replace(match, service=service)


@then('no retry was spent')
def check_unspent(context):
    """Check that the budget is as full as at first."""
    left = context.dispatcher.budgets['sheets'].tokens
    assert left == MAX_BUDGET_TOKENS, left


@given('retried attempt {number:d} never answers')
def plan_silence(context, number):
    """Let an attempt hang."""
    context.upstreams.script[number] = ('answers', 1000)


@given('retried attempt {number:d} {fate} after {delay:d} ms')
def plan_delay(context, number, fate, delay):
    """Let an attempt take its time."""
    context.upstreams.script[number] = (fate.split()[-1], delay * MS)


@given('retried attempt {number:d} is {fate:w}')
def plan_refusal(context, number, fate):
    """Refuse an attempt."""
    context.upstreams.script[number] = (fate, 0)


@given('retried attempt {number:d} {fate} its upstream')
@given('retried attempt {number:d} {fate} of another call')
def plan_crash(context, number, fate):
    """Let the upstream of an attempt crash by it or by another call."""
    context.upstreams.script[number] = (fate, 0)


@given('the dispatcher contains requests that crash upstreams')
def plan_guard(context):
    """Give the dispatcher what knows of crashes."""
    context.dispatcher.guard = CrashGuard(
        BlockList('u9'), EventRing('u9', HybridClock()), MetricSet()
    )


@given('every retried attempt is refused')
def plan_refusals(context):
    """Refuse all."""
    context.upstreams.script['every'] = ('refused', 0)


@given('every retried attempt answers after {delay:d} ms')
def plan_slowness(context, delay):
    """Answer all late."""
    context.upstreams.script['every'] = ('answers', delay * MS)


async def _send(context, count):
    results = []
    for number in range(count):
        deadline = asyncio.get_running_loop().time() + 10
        call = Call(f'c{number}', context.match, 'GET', (), b'', '', deadline)
        results.append(await context.dispatcher.run(call))
    context.cancelled = context.upstreams.cancelled
    return results


@when('{count:d} retried call is sent')
@when('{count:d} retried calls are sent')
def send_calls(context, count):
    """Send calls one after the other."""
    context.results = asyncio.run(_send(context, count))


@then('the retried calls are {outcome}')
def check_outcomes(context, outcome):
    """Check what callers were told."""
    seen = {one.outcome.value for one in context.results}
    assert seen == {outcome.replace(' ', '-')}, seen


@then('{count:d} retried attempts went to different upstreams')
def check_attempts(context, count):
    """Check number and places of the attempts."""
    attempts = context.upstreams.attempts
    assert len(attempts) == count, attempts
    assert len({name for _, name in attempts}) == count, attempts
    assert [number for number, _ in attempts] == list(range(1, count + 1))


@then('{count:d} retried attempt was cancelled and {tokens:d} token was spent')
def check_cancelled(context, count, tokens):
    """Check the loser and the budget."""
    assert context.cancelled == count, context.cancelled
    left = context.dispatcher.budgets['sheets'].tokens
    assert left == MAX_BUDGET_TOKENS - tokens, left


@then('at most {count:d} retried attempts were made')
def check_share(context, count):
    """Check the share and that the budget is used at all."""
    made = len(context.upstreams.attempts)
    assert len(context.results) + MAX_BUDGET_TOKENS <= made <= count, made


@then('the wait before retry {number:d} spreads from {low:d} to {high:d} ms')
def check_backoff(context, number, low, high):
    """Draw waits and check their range."""
    rng = random.Random(8)
    waits = [backoff_s(number, rng) / MS for _ in range(1000)]
    assert low <= min(waits) < high * 0.05, min(waits)
    assert high * 0.95 < max(waits) <= high, max(waits)


@given(
    'the daemons share {ratio:f} retries a call and {floor:d} in {window:d} s'
)
def plan_shared_budget(context, ratio, floor, window):
    """Let the dispatcher use a budget that all daemons share."""
    context.dispatcher.shared_budget = SharedRetryBudget(
        RetryLimit(ratio, floor, window), lambda: 1, time.monotonic
    )


@given('refused calls may ask one more upstream each')
def plan_redirects(context):
    """Let a call earn a redirect, as host routes do."""
    match = context.match
    service = msgspec.structs.replace(match.service, retry_ratio=REDIRECT_RATIO)
    context.match = replace(match, service=service)


@then(
    '{count:d} attempts were made, {each:d} of each call at different upstreams'
)
def check_places(context, count, each):
    """Check that no upstream was asked twice for one call."""
    attempts = context.upstreams.attempts
    assert len(attempts) == count, len(attempts)
    for start in range(0, count, each):
        places = {name for _, name in attempts[start : start + each]}
        assert len(places) == each, attempts[start : start + each]


@then(
    'the times to return spread over at least {spread:f} s and end within '
    '{limit:f} s'
)
def check_return_times(context, spread, limit):
    """Check that refused callers do not meet again."""
    times = [one.retry_after_s for one in context.results]
    assert min(times) > 0, times
    assert max(times) - min(times) >= spread, times
    assert max(times) <= limit, times
