"""Steps for the soak and its oracle."""

from __future__ import annotations

import math
from dataclasses import replace

from behave import given, then, when

from devtools.soak.__main__ import SoakPlan, run_soak
from devtools.soak.records import (
    CallRecord,
    Disruption,
    ServedVersion,
    SoakRecord,
    find_problems,
)

CALL = CallRecord('m', 'd', False, 10, 11, 4.5, 'answered')
IDEMPOTENT_CALL = replace(CALL, idempotent=True)


def _served(*pairs):
    served = [
        ServedVersion('d', process, version) for process, version in pairs
    ]
    return SoakRecord(served_versions=served), 0


def _called(call, ran, *disruptions):
    return SoakRecord(calls=[call], disruptions=list(disruptions)), ran


def _healed(call, disruption, healed_at):
    record, ran = _called(call, 0, disruption)
    record.end_disruptions(healed_at)
    later = replace(call, started=healed_at, ended=healed_at + 1)
    assert not record.was_disrupted(later)
    return record, ran


RECORDS = {
    'a non-idempotent call ran twice': _called(CALL, 2),
    'a call reported as not run ran once': _called(
        replace(CALL, outcome='not-run'), 1
    ),
    'an answered call ran at no upstream': _called(CALL, 0),
    'a call got the answer of another call': _called(
        replace(CALL, intact=False), 1
    ),
    'a call through an undisrupted entry got no outcome': _called(
        replace(CALL, outcome=''), 0, Disruption('e', 9, 12)
    ),
    'a call through an undisrupted entry took 9 s': _called(
        replace(CALL, ended=19), 1, Disruption('d', 1, 10)
    ),
    'two different files of one version were accepted': (
        SoakRecord(accepted={4: {'x', 'y'}}),
        0,
    ),
    'a process served an older version than before': _served((1, 4), (1, 3)),
    'a daemon read an endless answer for long': (
        SoakRecord(flood_bytes=[90000000]),
        0,
    ),
    'an idempotent call ran twice': _called(IDEMPOTENT_CALL, 2),
    'a call through a killed entry got no outcome': _called(
        replace(CALL, outcome=''), 1, Disruption('d', 10.5, 12)
    ),
    'a restarted process served an older version': _served((1, 4), (2, 3)),
    'an entry was restarted long after its fault': _healed(
        replace(CALL, outcome='', started=39, ended=40),
        Disruption('d', 10, math.inf),
        41,
    ),
    'a call with unknown outcome ran once': _called(
        replace(CALL, outcome='unknown'), 1
    ),
}


@when('the soak runs {seconds:d} s with seed {seed:d}')
def run_short(context, seconds, seed):
    """Run a small soak with real processes."""
    plan = SoakPlan(seed, seconds, daemons=2)
    record, problems = run_soak(plan, context.folder)
    context.record = record
    context.problems = problems


@then('the soak found no violated guarantee')
def check_no_violation(context):
    assert not context.problems, context.problems


@then(
    'the soak saw at least {calls:d} calls and {versions:d} accepted versions'
)
def check_counts(context, calls, versions):
    """Check that the run was long enough to find violations."""
    counts = (len(context.record.calls), len(context.record.accepted))
    assert counts[0] >= calls, counts
    assert counts[1] >= versions, counts


@given('a soak record in which {what}')
def check_record(context, what):
    """Check a hand-made record with the oracle."""
    record, ran = RECORDS[what]
    context.problems = find_problems(record, {'m': ran})


@then('the soak\'s oracle finds "{problem}"')
def check_found(context, problem):
    assert context.problems == [problem], context.problems


@then("the soak's oracle finds no problem")
def check_allowed(context):
    assert not context.problems, context.problems
