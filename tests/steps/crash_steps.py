"""Steps for requests that crash their upstreams."""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter

import msgspec
import requests
from behave import given, then, when

from burdocklead.request.block_list import BlockList
from burdocklead.request.headers import CAUSE_HEADER, OUTCOME_HEADER
from burdocklead.values import CrashReport
from burdocklead.version.deployment import Crashes
from devtools.local_deployment import wait_until
from devtools.upstream import CRASH_EXIT_CODE, CRASH_HEADER
from tests.steps.routing_simulation import member

CALL_TIMEOUT_S = 20
HEALTHY_CALLS = 100
CRASHED_AT_S = 1000
PROBE_COUNT_PERIOD_S = 1.5


def _report(number, fingerprint='f', *, alone=True):
    return CrashReport(fingerprint, f'crash{number}', 'u0', CRASHED_AT_S, alone)


@given('{count:d} crash report of one request')
@given('{count:d} crash reports of one request')
def plan_reports(context, count):
    """Create a report of each crash."""
    context.reports = [_report(number) for number in range(count)]


@given(
    '{count:d} crash reports of one request and the first of them marked as '
    'cleared'
)
def plan_cleared(context, count):
    """Add the first report a second time, as cleared."""
    plan_reports(context, count)
    cleared = msgspec.structs.replace(context.reports[0], cleared=True)
    context.reports.append(cleared)


@when('a block list merges them in the order {order}')
def merge_reports(context, order):
    """Merge the reports one by one."""
    context.block_list = BlockList('u9')
    for index in order.split():
        context.block_list.merge([context.reports[int(index)]])


@then('the block list treats the request as "{state}"')
def check_state(context, state):
    """Check the state at the time of the crashes."""
    seen = context.block_list.state_of('f', Crashes(), CRASHED_AT_S)
    assert seen.value == state, seen


@then('{later:d} seconds later the block list treats the request as "{state}"')
def check_later_state(context, later, state):
    """Check the state after some time."""
    seen = context.block_list.state_of('f', Crashes(), CRASHED_AT_S + later)
    assert seen.value == state, seen


@given('a limit of 1 crash and one crash with {count:d} requests in progress')
def plan_common_crash(context, count):
    """Report several requests for the same crash."""
    context.block_list = BlockList('u9')
    for number in range(count):
        report = _report(0, f'f{number}', alone=False)
        context.block_list.merge([report])


@then('the block list treats all {count:d} requests as "{state}"')
def check_all_states(context, count, state):
    """Check the state of each request."""
    limits = Crashes(max_crashes=1)
    for number in range(count):
        seen = context.block_list.state_of(f'f{number}', limits, CRASHED_AT_S)
        assert seen.value == state, seen


@then(
    'every order of {count:d} members gives the same upstream for the trial, '
    'which is not "{crashed}"'
)
def check_trial_member(context, count, crashed):
    """Check the choice with the members in every order.

    Another request crashed each of the other upstreams more often.
    """
    for daemon_id, number in itertools.product(('u1', 'u2'), range(2)):
        other = CrashReport(
            'g', f'{daemon_id}.{number}', daemon_id, CRASHED_AT_S, True
        )
        context.block_list.merge([other])
    members = [member(number) for number in range(count)]
    chosen = {
        context.block_list.trial_member('f', order).daemon_id
        for order in itertools.permutations(members)
    }
    assert len(chosen) == 1, chosen
    assert crashed not in chosen, chosen


class Restarter(threading.Thread):
    """Restarts crashed upstreams and counts the crashes."""

    def __init__(self, deployment):
        """Watch the upstreams of a deployment."""
        super().__init__(daemon=True)
        self.deployment = deployment
        self.crashes = 0
        self.stopping = threading.Event()

    def run(self):
        """Watch until ``stopping`` is set."""
        while not self.stopping.wait(0.02):
            for process in self.deployment.upstreams.values():
                if process.is_running():
                    continue
                self.crashes += process.popen.returncode == CRASH_EXIT_CODE
                process.start()


class HealthyCaller(threading.Thread):
    """Sends calls that crash nothing and records their outcomes."""

    def __init__(self, deployment):
        """Use all daemons of a deployment in turn."""
        super().__init__(daemon=True)
        self.deployment = deployment
        self.outcomes = []
        self.stopping = threading.Event()

    def run(self):
        """Send until ``stopping`` is set."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            names = list(self.deployment.daemons)
            answer = requests.get(
                self.deployment.url(
                    names[number % len(names)], f'/job-sheets/sheets/{number}'
                ),
                timeout=CALL_TIMEOUT_S,
            )
            outcome_and_cause = (
                answer.headers.get(OUTCOME_HEADER),
                answer.headers.get(CAUSE_HEADER),
            )
            self.outcomes.append(outcome_and_cause)


@given('crashed upstreams are restarted')
def start_restarter(context):
    """Watch the upstreams from now on."""
    context.restarter = Restarter(context.deployment)
    context.restarter.start()


@when(
    'a crashing {method} "{target}" is sent {count:d} times through all '
    'daemons in turn'
)
def send_crashing(context, method, target, count):
    """Send the crashing call next to healthy ones."""
    callers = [HealthyCaller(context.deployment) for _ in range(4)]
    for caller in callers:
        caller.start()
    names = list(context.deployment.daemons)
    for number in range(count):
        context.response = requests.request(
            method,
            context.deployment.url(names[number % len(names)], target),
            headers={CRASH_HEADER: 'yes'},
            timeout=CALL_TIMEOUT_S,
        )
    wait_until(
        lambda: all(len(one.outcomes) > HEALTHY_CALLS for one in callers),
        'healthy calls to continue',
    )
    for stopped in callers:
        stopped.stopping.set()
        stopped.join()
    context.restarter.stopping.set()
    context.restarter.join()
    context.healthy = [seen for one in callers for seen in one.outcomes]


@then('upstreams crashed at most {count:d} times')
def check_crashes(context, count):
    """Check the number of crashes, of which there must be at least one."""
    assert 1 <= context.restarter.crashes <= count, context.restarter.crashes


@then(
    'the last crashing call has the outcome "{outcome}" and the cause "{cause}"'
)
def check_last_call(context, outcome, cause):
    """Check the last response to the crashing call."""
    headers = context.response.headers
    seen = (headers.get(OUTCOME_HEADER), headers.get(CAUSE_HEADER))
    assert seen == (outcome, cause), seen


@then('healthy calls sent meanwhile were all answered')
def check_healthy(context):
    """Check the outcomes of all healthy calls."""
    seen = Counter(context.healthy)
    assert {outcome for outcome, _ in seen} == {'answered'}, seen


def _counter(process, name, label=''):
    page = requests.get(
        f'http://{process.addresses["admin"]}/metrics', timeout=CALL_TIMEOUT_S
    )
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in page.text.splitlines()
        if line.startswith(f'burdocklead_{name}_total') and label in line
    )


@then(
    'probes of every daemon are answered within {limit:d} messages per second'
)
def check_probes(context, limit):
    """Count messages for ``PROBE_COUNT_PERIOD_S`` while no call is sent."""
    daemons = context.deployment.daemons.values()
    started = time.monotonic()
    before = [_counter(one, 'measuring_messages') for one in daemons]
    time.sleep(PROBE_COUNT_PERIOD_S)
    after = [_counter(one, 'measuring_messages') for one in daemons]
    elapsed = time.monotonic() - started
    spent = [late - early for early, late in zip(before, after, strict=True)]
    assert all(0 < one <= limit * (elapsed + 1) for one in spent), spent
    answered = [_counter(one, 'probes', 'answered') for one in daemons]
    assert all(answered), answered
