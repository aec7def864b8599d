"""Steps for the decisions on the rate limits of teams."""

from __future__ import annotations

from bisect import bisect_right
from unittest import mock

from behave import given, then, when

from burdocklead.allowance.borrower import Admitted, Borrower
from burdocklead.allowance.fallback import FallbackCredit
from burdocklead.allowance.holder import GrantBook
from burdocklead.allowance.limits import AllowanceRules, TeamLimit
from burdocklead.allowance.messages import (
    GrantReply,
    GrantRequest,
    TeamDemand,
)
from burdocklead.allowance.roster import Roster
from devtools.fuzz import allowance
from tests.steps.fuzz_steps import first_violation

TEAM = 'large'
RULES = AllowanceRules(slack=20)
original_hear = Roster.hear
original_fill = FallbackCredit.fill


def hear_unconfirmed(roster, request, now):
    """Count every reply as received."""
    record = original_hear(roster, request, now)
    record.confirmed_at = now
    return record


def fill_without_limit(credit, now, share, limit, rules):
    """Keep all calls that a daemon saves up."""
    credit.credit += share * limit.rate * max(now - credit.at, 0)
    credit.at = now


PATCHES = {
    'reserved shares': (Roster, 'open_share', lambda roster, now: 1),
    'confirmed replies': (Roster, 'hear', hear_unconfirmed),
    'the shares of the previous term': (
        Roster,
        'adopt',
        lambda roster, shares, now: None,
    ),
    'the limit on saved calls in fallback': (
        FallbackCredit,
        'fill',
        fill_without_limit,
    ),
}


LONG = len(allowance.DURATIONS_S) - 1
LATE = len(allowance.GAPS_S) - 1
FAULTS = {
    'replies lost to half': (('lose replies', LONG, 0, LATE),),
    'a holder killed during a cut': (
        ('lose replies', LONG, 0, 1),
        ('kill holder', 0, 0, LATE),
    ),
    'a burst in fallback': (
        ('lose replies', LONG, 2, 2),
        ('be idle', 2, 0, LATE),
    ),
}


@when('the fuzzer of the team limits runs {count:d} scripts with {faults}')
def run_allowance_scripts(context, count, faults):
    """Run the same faults with many seeds of delays and calls."""
    context.violation = None
    for seed in range(count):
        script = allowance.Script(seed, 40, 6, FAULTS[faults])
        try:
            allowance.check_script(script)
        except AssertionError as error:
            context.violation = str(error)
            return


@given('team limits without {part}')
def patch_team_limits(context, part):
    """Replace a part of the team limits until the scenario ends."""
    patch = mock.patch.object(*PATCHES[part])
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    'the fuzzer of the team limits runs {count:d} examples with seed {seed:d}'
)
def run_allowance_fuzzer(context, count, seed):
    """Run the fuzzer and keep the first violation."""
    context.violation = first_violation(allowance, count, seed)


@given(
    '{count:d} daemons in fallback with a limit of {rate:d} per s and a burst '
    'of {burst:d}'
)
def start_fallback(context, count, rate, burst):
    """Tell each daemon its share, long before the calls."""
    context.limit = TeamLimit(rate, burst)
    context.borrowers = []
    for number in range(count):
        borrower = Borrower(RULES)
        reply = GrantReply(1, 'c', 1, 1 / count, number / count)
        borrower.apply(reply, 0, 0)
        context.borrowers.append(borrower)


@when('each of them gets a call every {interval:g} s for {length:d} s')
def send_in_fallback(context, interval, length):
    """Record the times of the admitted calls."""
    context.times = []
    for step in range(int(length / interval)):
        now = RULES.fallback_after_s + step * interval
        for borrower in context.borrowers:
            decision = borrower.decide(TEAM, context.limit, now)
            if isinstance(decision, Admitted):
                context.times.append(now)


@then('{least:d} to {most:d} calls are admitted')
def check_admitted(context, least, most):
    """Check the number of admitted calls."""
    assert least <= len(context.times) <= most, len(context.times)


@then('no {window:d} s have more than {most:d} of these calls')
def check_fallback_windows(context, window, most):
    """Check each window that starts with a call."""
    for index, start in enumerate(context.times):
        count = bisect_right(context.times, start + window) - index
        assert count <= most, (start, count)


def start_book(burst):
    """Return a lease holder of one team with a rate of 10 per s."""
    book = GrantBook(RULES, Roster(RULES, 1))
    book.use_limits({TEAM: TeamLimit(10, burst)}, 1, 0)
    return book


@given('a lease holder that just started its term')
def start_holder(context):
    """Start a term at time 0."""
    context.book = start_book(50)
    context.now = 0


@given('a lease holder whose team has saved up a burst of {burst:d}')
def start_idle_holder(context, burst):
    """Start a term and let the team be idle."""
    context.book = start_book(burst)
    context.now = 100
    context.book.scan(0)


@when('the burst is lowered to {burst:d}')
def lower_burst(context, burst):
    """Put a lower limit in force."""
    context.book.use_limits({TEAM: TeamLimit(10, burst)}, 2, context.now)


@then('a request for {calls:d} calls is granted {granted:d}')
def check_granted(context, calls, granted):
    """Send a request with a demand."""
    request = GrantRequest('d', 1, demand=(TeamDemand(TEAM, calls),))
    reply = context.book.reply(request, 'c', context.now)
    context.grant = reply.grants[0]
    assert context.grant.calls == granted, context.grant


@then('the next call may be granted after {wait:g} s')
def check_wait(context, wait):
    """Check the wait that the lease holder named."""
    assert round(context.grant.wait_ms) == round(wait * 1000), context.grant
