"""Steps that run the fuzzer of the request path, also on broken variants."""

from __future__ import annotations

from unittest import mock

import msgspec
from behave import given, then, when

from burdocklead.connection.frames import Answer, AttemptState, Refusal
from burdocklead.request import attempt_runner, dispatch
from burdocklead.request.attempt_table import (
    AttemptRecord,
    AttemptTable,
    LowWaterMarks,
)
from burdocklead.request.execution import AttemptExecutor
from burdocklead.request.keyed_call import KeyedCalls
from burdocklead.values import RefusalCause
from devtools.fuzz import attempt_table, request_path
from devtools.fuzz.request_network import FaultRates

true_verdict = attempt_runner.result_of_verdict


def query_without_fence(table, attempt_id):
    """Return a record and fence nothing."""
    never_seen = AttemptRecord(AttemptState.never_seen)
    return table.records.get(attempt_id, never_seen)


async def take_over(keyed_calls, call, held):
    """Take any claim over without asking what became of it."""
    return Refusal(held.attempt_id, RefusalCause.fenced, attempt_runner.NO_LOAD)


def trust_any(verdict, query):
    """Trust the verdict of another incarnation."""
    following = msgspec.structs.replace(verdict, incarnation=query.incarnation)
    return true_verdict(following, query)


def raise_and_lose(marks, name):
    """Keep a few marks and lose the others."""
    process = (name.entry_id, name.incarnation)
    marks.numbers[process] = max(marks.numbers.get(process, 0), name.number)
    while len(marks.numbers) > marks.limit:
        marks.numbers.popitem(last=False)


def refuse_lost(executor, attempt, reason, *, crashed):
    """Say that a lost attempt did not run."""
    return executor._refusal(attempt, RefusalCause.shed)


VARIANTS = {
    'the fence': (AttemptTable, 'query', query_without_fence),
    'fencing before takeover': (KeyedCalls, '_resolve_held', take_over),
    'the truth about a loss': (AttemptExecutor, '_lost', refuse_lost),
    'the limit of retries': (
        dispatch,
        'may_retry',
        lambda call, result: not isinstance(result, Answer),
    ),
    'the low-water mark': (LowWaterMarks, 'cover', lambda marks, name: False),
    'retired entries': (LowWaterMarks, 'raise_to', raise_and_lose),
    'the incarnation check': (attempt_runner, 'result_of_verdict', trust_any),
}


CALLS = tuple(
    request_path.SendCall(entry, idempotent=False) for entry in (0, 1, 2)
)
SCENES = {
    'upstream crashes': (
        *CALLS,
        request_path.Wait(0.01),
        request_path.CrashUpstream(0),
        request_path.CrashUpstream(1),
        request_path.RestartUpstream(0),
        request_path.RestartUpstream(1),
    ),
    'restarted daemons': (
        *CALLS,
        request_path.Wait(0.01),
        request_path.BounceDaemon(1),
        request_path.BounceDaemon(2),
    ),
}


@given('a request path without {part}')
def break_path(context, part):
    """Replace a part of the product until the scenario ends."""
    patch = mock.patch.object(*VARIANTS[part])
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    'the fuzzer of the request path runs {count:d} examples with seed {seed:d}'
)
def run_examples(context, count, seed):
    """Run the fuzzer and keep the first broken promise."""
    context.broken = first_broken(request_path, count, seed)


@when('the fuzzer of the request path plays {count:d} scenes with {event}')
def play_scenes(context, count, event):
    """Play the same steps with many seeds of the network."""
    context.broken = None
    for seed in range(count):
        script = request_path.Script(seed, FaultRates(), 1000, SCENES[event])
        try:
            request_path.run_script(script)
        except AssertionError as error:
            context.broken = str(error)
            return


@when(
    'the fuzzer of the attempt table runs {count:d} examples with seed {seed:d}'
)
def run_table_examples(context, count, seed):
    """Run the fuzzer and keep the first broken promise."""
    context.broken = first_broken(attempt_table, count, seed)


def first_broken(fuzzer, count, seed):
    """Return the first broken promise, None if there is none."""
    try:
        fuzzer.run_fuzzer(seed=seed, count=count, shrink=False)
    except AssertionError as error:
        return str(error)
    return None


@then('the fuzzer found no broken promise')
def check_kept(context):
    """Check that every promise was kept."""
    assert context.broken is None, context.broken


@then('the fuzzer found a broken promise')
def check_broken(context):
    """Check that the oracle saw the broken part."""
    assert context.broken is not None
