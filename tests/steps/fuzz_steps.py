"""Steps that run the request path fuzzers, with and without injected faults."""

from __future__ import annotations

from unittest import mock

import msgspec
from behave import given, then, when

from burdocklead.connection.frames import Answer, AttemptState, Refusal
from burdocklead.process.upstream_reports import UpstreamReports
from burdocklead.request import attempt_runner, dispatch
from burdocklead.request.attempt_table import (
    AttemptRecord,
    AttemptTable,
    LowWaterMarks,
)
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.values import RefusalCause
from devtools.fuzz import attempt_table, request_path, upstream_reports
from devtools.fuzz.request_network import FaultRates

original_result_of_verdict = attempt_runner.result_of_verdict


def query_without_fence(table, attempt_id):
    """Return the record of an attempt without fencing an unseen one."""
    never_seen = AttemptRecord(AttemptState.never_seen)
    return table.records.get(attempt_id, never_seen)


async def take_over_unfenced(keyed_calls, call, existing):
    """Report the attempt of a claim as fenced without querying its daemon."""
    return Refusal(
        existing.attempt_id, RefusalCause.fenced, attempt_runner.NO_LOAD
    )


def accept_any_incarnation(verdict, query):
    """Use a verdict even if it comes from another incarnation."""
    accepted = msgspec.structs.replace(verdict, incarnation=query.incarnation)
    return original_result_of_verdict(accepted, query)


def note_eviction_unretired(marks, parts):
    """Drop marks above the limit without retiring their incarnations."""
    process = (parts.entry_id, parts.incarnation)
    marks.highest_evicted[process] = max(
        marks.highest_evicted.get(process, 0), parts.number
    )
    while len(marks.highest_evicted) > marks.limit:
        marks.highest_evicted.popitem(last=False)


def report_lost_as_refused(executor, attempt, reason, *, crash_suspected):
    """Return a refusal for a lost attempt, as if it had not run."""
    return executor._refusal(attempt, RefusalCause.shed)


PATCHES = {
    'fencing by queries': (AttemptTable, 'query', query_without_fence),
    'fencing before takeover': (
        KeyedCalls,
        '_resolve_existing',
        take_over_unfenced,
    ),
    'reports of lost attempts': (
        AttemptExecutor,
        '_lost',
        report_lost_as_refused,
    ),
    'the limit of retries': (
        dispatch,
        'may_retry',
        lambda call, result: not isinstance(result, Answer),
    ),
    'low-water marks': (LowWaterMarks, 'covers', lambda marks, parts: False),
    'retired incarnations': (
        LowWaterMarks,
        'note_eviction',
        note_eviction_unretired,
    ),
    'the incarnation check': (
        attempt_runner,
        'result_of_verdict',
        accept_any_incarnation,
    ),
}


def count_first_report(reports, report, now):
    """Count a report that should be held."""
    reports.confirmed = report.instance
    return reports._count(report, now)


def confirm_any(reports, instance, now):
    """Confirm an instance even if it departed meanwhile."""
    reports.confirmed = instance
    return True


REPORT_PATCHES = {
    'the holding of first reports': ('_hold', count_first_report),
    'departures': ('depart', lambda reports, instance, now, wall_ms: None),
    'the order of reports': ('_is_older', lambda reports, report: False),
    'departures during a health check': ('confirm', confirm_any),
    'health checks': ('needs_health_check', lambda reports: False),
}


@given('upstream reports without {part}')
def patch_upstream_reports(context, part):
    """Replace a part of the order of reports until the scenario ends."""
    patch = mock.patch.object(UpstreamReports, *REPORT_PATCHES[part])
    patch.start()
    context.add_cleanup(patch.stop)


SEND_CALLS = tuple(
    request_path.SendCall(entry, idempotent=False) for entry in (0, 1, 2)
)
STEPS_BY_EVENT = {
    'upstream crashes': (
        *SEND_CALLS,
        request_path.Wait(0.01),
        request_path.CrashUpstream(0),
        request_path.CrashUpstream(1),
        request_path.RestartUpstream(0),
        request_path.RestartUpstream(1),
    ),
    'restarted daemons': (
        *SEND_CALLS,
        request_path.Wait(0.01),
        request_path.BounceDaemon(1),
        request_path.BounceDaemon(2),
    ),
}


@given('a request path without {part}')
def patch_request_path(context, part):
    """Replace a part of the request path until the scenario ends."""
    patch = mock.patch.object(*PATCHES[part])
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    'the fuzzer of the request path runs {count:d} examples with seed {seed:d}'
)
def run_request_path_fuzzer(context, count, seed):
    """Run the fuzzer and keep the first violation."""
    context.violation = first_violation(request_path, count, seed)


@when('the fuzzer of the request path runs {count:d} scripts with {event}')
def run_scripts(context, count, event):
    """Run the same steps with many seeds of the simulated network."""
    context.violation = None
    for seed in range(count):
        script = request_path.Script(
            seed, FaultRates(), 1000, STEPS_BY_EVENT[event]
        )
        try:
            request_path.run_script(script)
        except AssertionError as error:
            context.violation = str(error)
            return


@when(
    'the fuzzer of the attempt table runs {count:d} examples with seed {seed:d}'
)
def run_attempt_table_fuzzer(context, count, seed):
    """Run the fuzzer and keep the first violation."""
    context.violation = first_violation(attempt_table, count, seed)


@when(
    'the fuzzer of upstream reports runs {count:d} examples with seed {seed:d}'
)
def run_upstream_report_fuzzer(context, count, seed):
    """Run the fuzzer and keep the first violation."""
    context.violation = first_violation(upstream_reports, count, seed)


def first_violation(fuzzer, count, seed):
    """Return the first invariant violation, None if there is none."""
    try:
        fuzzer.run_fuzzer(seed=seed, count=count, shrink=False)
    except AssertionError as error:
        return str(error)
    return None


@then('the fuzzer found no invariant violation')
def check_no_violation(context):
    """Check that the oracle found no violation."""
    assert context.violation is None, context.violation


@then('the fuzzer found an invariant violation')
def check_violation(context):
    """Check that the oracle found a violation."""
    assert context.violation is not None
