"""Steps for retries and hedges: calls dispatched to scripted upstreams."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import replace

import msgspec
from behave import given, then, when

from burdocklead.clock import HybridClock
from burdocklead.connection.frames import Answer, Lost, Refusal
from burdocklead.durable.claims import (
    Claim,
    ClaimReply,
    ClaimStart,
    finish_claim,
    start_claim,
)
from burdocklead.events import EventRing
from burdocklead.metrics import MetricSet
from burdocklead.request.attempt_runner import NO_LOAD
from burdocklead.request.block_list import BlockList, fingerprint_of
from burdocklead.request.call import Call
from burdocklead.request.crash_guard import CrashGuard
from burdocklead.request.dispatch import Dispatcher
from burdocklead.request.keyed_call import KeyedCalls, claim_fingerprint_of
from burdocklead.request.placement import Placement
from burdocklead.request.retries import MAX_BUDGET_TOKENS, backoff_s
from burdocklead.request.routing import Router
from burdocklead.request.shared_budget import RetryLimit, SharedRetryBudget
from burdocklead.values import CrashReport, RefusalCause
from burdocklead.version.deployment import Route, Service
from burdocklead.version.route_table import HOST_ROUTE_RETRY_RATIO, RouteMatch
from tests.steps.routing_simulation import candidates_for, member

S_PER_MS = 0.001
REFUSALS = {
    'queue-full': RefusalCause.queue_full,
    'draining': RefusalCause.draining,
    'not-at-once': RefusalCause.not_at_once,
}
CRASH_BEHAVIORS = frozenset(('crashed', 'was lost in a crash'))


def _lost_in_crash(attempt, target, *, reported):
    """Return the result of an attempt whose upstream crashed.

    It holds a crash report only if ``reported`` is true.
    """
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
        crashes=(report,) if reported else (),
    )


class ScriptedUpstreams:
    """Upstreams whose behavior is scripted by the number of the attempt."""

    def __init__(self):
        """Answer every attempt without delay."""
        self.count = 3
        self.script = {}
        self.attempts = []
        self.cancelled = 0

    def candidates(self, service):
        """Return the upstreams."""
        members = [member(one) for one in range(self.count)]
        return candidates_for('vancouver', members)

    def find_member(self, daemon_id):
        """Return an upstream by the ID of its daemon."""
        found = map(member, range(self.count))
        return next(one for one in found if one.daemon_id == daemon_id)

    async def resolve(self, target, query):
        """Report that the earlier attempt of a keyed call never ran."""
        return Refusal(query.attempt_id, RefusalCause.draining, NO_LOAD)

    async def run(self, call, target, attempt):
        """Return the scripted result of an attempt."""
        self.attempts.append((attempt.number, target.daemon_id))
        behavior, delay = self.script.get(
            attempt.number, self.script.get('every', ('answers', 0))
        )
        try:
            await asyncio.sleep(delay)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        cause = REFUSALS.get(behavior)
        if cause is not None:
            return Refusal(attempt.attempt_id, cause, NO_LOAD)
        if behavior == 'lost':
            return Lost(attempt.attempt_id, 'silent', False, NO_LOAD)
        if behavior in CRASH_BEHAVIORS:
            return _lost_in_crash(
                attempt, target, reported=behavior == 'crashed'
            )
        status = 500 if behavior == 'fails' else 200
        return Answer(attempt.attempt_id, status, (), b'', NO_LOAD)


@given(
    'dispatched calls that {kind} idempotent with a hedge after {after:d} ms'
)
def plan_calls(context, kind, after):
    """Create a route and a dispatcher."""
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
def plan_no_upstream(context):
    """Remove all upstreams."""
    context.upstreams.count = 0


@then('the retry-after times are at least {minimum:f} s')
def check_min_retry_after(context, minimum):
    """Check that callers do not retry before an upstream can be known."""
    times = [one.retry_after_s for one in context.results]
    assert min(times) >= minimum, times


@given('max_attempts is {count:d} for the dispatched calls')
def plan_max_attempts(context, count):
    """Limit the attempts of a call and let it retry server errors."""
    match = context.match
    service = msgspec.structs.replace(
        match.service, max_attempts=count, retry_server_errors=True
    )
    context.match = replace(match, service=service)


@then('no retry token was spent')
def check_unspent(context):
    """Check that the retry budget is still full."""
    left = context.dispatcher.budgets['sheets'].tokens
    assert left == MAX_BUDGET_TOKENS, left


@given('dispatched attempt {number:d} never answers')
def plan_no_answer(context, number):
    """Let an attempt hang."""
    context.upstreams.script[number] = ('answers', 1000)


@given('dispatched attempt {number:d} {behavior} after {delay:d} ms')
def plan_delay(context, number, behavior, delay):
    """Let an attempt end after a delay."""
    context.upstreams.script[number] = (behavior.split()[-1], delay * S_PER_MS)


@given('dispatched attempt {number:d} is refused as {cause}')
def plan_refusal(context, number, cause):
    """Refuse an attempt."""
    context.upstreams.script[number] = (cause, 0)


@given('dispatched attempt {number:d} {behavior} its upstream')
@given('dispatched attempt {number:d} {behavior} caused by another call')
def plan_crash(context, number, behavior):
    """Crash the upstream of an attempt because of it or of another call."""
    context.upstreams.script[number] = (behavior, 0)


@given('the dispatcher blocks requests that crash upstreams')
def plan_guard(context):
    """Give the dispatcher a crash guard."""
    context.dispatcher.guard = CrashGuard(
        BlockList('u9'), EventRing('u9', HybridClock()), MetricSet()
    )


@given('every dispatched attempt is refused')
def plan_refusals(context):
    """Refuse every attempt."""
    context.upstreams.script['every'] = ('queue-full', 0)


@given('every dispatched attempt answers after {delay:d} ms')
def plan_delays(context, delay):
    """Answer every attempt after a delay."""
    context.upstreams.script['every'] = ('answers', delay * S_PER_MS)


async def _send(context, count):
    results = []
    for number in range(count):
        deadline = asyncio.get_running_loop().time() + 10
        call = Call(f'c{number}', context.match, 'GET', (), b'', '', deadline)
        results.append(await context.dispatcher.run(call))
    context.cancelled = context.upstreams.cancelled
    return results


@when('{count:d} dispatched call is sent')
@when('{count:d} dispatched calls are sent')
def send_calls(context, count):
    """Send calls one after the other."""
    context.results = asyncio.run(_send(context, count))


@then('the dispatched calls are {outcome}')
def check_outcomes(context, outcome):
    """Check that every call has this outcome."""
    seen = {one.outcome.value for one in context.results}
    assert seen == {outcome.replace(' ', '-')}, seen


@then('{count:d} dispatched attempts went to different upstreams')
def check_attempts(context, count):
    """Check the number of attempts and their upstreams."""
    attempts = context.upstreams.attempts
    assert len(attempts) == count, attempts
    assert len({name for _, name in attempts}) == count, attempts
    assert [number for number, _ in attempts] == list(range(1, count + 1))


@then(
    '{count:d} dispatched attempt was cancelled and {tokens:d} token was spent'
)
def check_cancelled(context, count, tokens):
    """Check the cancelled attempts and the retry budget."""
    assert context.cancelled == count, context.cancelled
    left = context.dispatcher.budgets['sheets'].tokens
    assert left == MAX_BUDGET_TOKENS - tokens, left


@then('at most {count:d} dispatched attempts were made')
def check_budget(context, count):
    """Check that the budget is kept and that the initial tokens are used."""
    made = len(context.upstreams.attempts)
    assert len(context.results) + MAX_BUDGET_TOKENS <= made <= count, made


@then('the backoff before retry {number:d} spreads from {low:d} to {high:d} ms')
def check_backoff(context, number, low, high):
    """Draw many backoffs and check that they fill the range."""
    rng = random.Random(8)
    waits = [backoff_s(number, rng) / S_PER_MS for _ in range(1000)]
    assert low <= min(waits) < high * 0.05, min(waits)
    assert high * 0.95 < max(waits) <= high, max(waits)


@given(
    'the daemons share a budget of {ratio:f} retries per call plus {floor:d} '
    'per {window:d} s'
)
def plan_shared_budget(context, ratio, floor, window):
    """Give the dispatcher a shared retry budget."""
    context.dispatcher.shared_budget = SharedRetryBudget(
        RetryLimit(ratio, floor, window), lambda: 1, time.monotonic
    )


@given('the service has the retry ratio of host routes')
def plan_host_route_ratio(context):
    """Set the ratio of host routes, which earns one retry per call."""
    match = context.match
    service = msgspec.structs.replace(
        match.service, retry_ratio=HOST_ROUTE_RETRY_RATIO
    )
    context.match = replace(match, service=service)


@then(
    '{count:d} attempts were made, {each:d} of each call at different upstreams'
)
def check_distinct_upstreams(context, count, each):
    """Check that no call was sent twice to the same upstream."""
    attempts = context.upstreams.attempts
    assert len(attempts) == count, len(attempts)
    for start in range(0, count, each):
        upstreams = {name for _, name in attempts[start : start + each]}
        assert len(upstreams) == each, attempts[start : start + each]


@then(
    'the retry-after times spread over at least {spread:f} s and are at most '
    '{limit:f} s'
)
def check_retry_after(context, spread, limit):
    """Check that refused callers do not all retry at once."""
    times = [one.retry_after_s for one in context.results]
    assert min(times) > 0, times
    assert max(times) - min(times) >= spread, times
    assert max(times) <= limit, times


class ScriptedClaim:
    """The claim of one key, held at first by an earlier attempt, if any."""

    def __init__(self, current=None):
        """Start with the claim of the earlier attempt."""
        self.current = current

    async def request(self, message, timeout):
        """Decide a request like a control replica."""
        if isinstance(message, ClaimStart):
            self.current = start_claim(self.current, message)
        else:
            self.current = finish_claim(self.current, message)
        return ClaimReply(self.current)


async def _send_keyed(context, count, *, claimed):
    results = []
    for number in range(count):
        deadline = asyncio.get_running_loop().time() + 10
        key = f'k{number}'
        call = Call(f'c{number}', context.match, 'POST', (), b'', key, deadline)
        earlier = Claim(
            claim_fingerprint_of(call), 'e.1.1', 'u0', member(0).incarnation
        )
        claim = ScriptedClaim(earlier if claimed else None)
        keyed_calls = KeyedCalls(context.dispatcher, claim.request, lambda: 100)
        results.append(await keyed_calls.run(call))
    return results


@when('{count:d} keyed calls are sent')
def send_keyed_calls(context, count):
    """Send calls with different keys."""
    context.results = asyncio.run(_send_keyed(context, count, claimed=False))


@when('a keyed call is sent whose key is claimed by an attempt that never ran')
def send_claimed_call(context):
    """Send a call whose claim is taken over."""
    context.results = asyncio.run(_send_keyed(context, 1, claimed=True))


@then('the shared budget counts {count:d} first attempts')
def check_first_attempts(context, count):
    """Check what the calls earned."""
    window = context.dispatcher.shared_budget.windows['sheets']
    assert window.count_first_attempts() == count, window
