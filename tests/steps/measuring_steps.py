"""Steps for the budget of load probes and for dead load signals."""

from __future__ import annotations

import random

import msgspec
from behave import given, then, when

from burdocklead.options import read_settings
from burdocklead.process.daemon_components import DaemonComponents
from burdocklead.process.daemon_process import create_prober
from burdocklead.process.prober import BYTES_PER_PROBE, MESSAGES_PER_PROBE
from burdocklead.request.load_signals import LoadSignalMonitor
from burdocklead.request.measuring import MeasuringBudget, ProbePlanner
from burdocklead.request.routing import Candidates, Router
from burdocklead.settings import DaemonSettings
from burdocklead.values import LoadReport
from burdocklead.version.deployment import Measuring
from tests.steps.routing_simulation import candidates_for, member

PLANNING_INTERVAL_S = 0.05


@given(
    'a measuring budget of {messages:d} messages and {size:d} bytes a second'
)
def set_budget(context, messages, size):
    limits = Measuring(messages_per_second=messages, bytes_per_second=size)
    context.budget = MeasuringBudget(limits)
    context.router = Router('vancouver', random.Random(3))
    context.planner = ProbePlanner(context.router)
    context.probe_times = []


def _make_services(count, size):
    services = {}
    for number in range(count):
        name = f's{number}'
        members = [
            msgspec.structs.replace(
                member(index), service=name, daemon_id=f'{name}-{index}'
            )
            for index in range(size)
        ]
        services[name] = candidates_for('vancouver', members)
    return services


@when(
    '{count:d} services of {size:d} upstreams are probed for {seconds:d} '
    'seconds'
)
def run_planner(context, count, size, seconds):
    """Plan probes like the daemon while every service gets calls."""
    services = _make_services(count, size)
    for step in range(int(seconds / PLANNING_INTERVAL_S)):
        now = step * PLANNING_INTERVAL_S
        context.router.called_at = dict.fromkeys(services, now)
        for one in context.planner.plan(services, now):
            if not context.budget.try_spend(
                MESSAGES_PER_PROBE, BYTES_PER_PROBE, now
            ):
                break
            context.planner.record_probe(one.daemon_id, now)
            context.probe_times.append(now)


def _max_probes_per_second(probe_times):
    return max(
        (sum(at <= one < at + 1 for one in probe_times) for at in probe_times),
        default=0,
    )


@then('the probes stay within the measuring budget in every second')
def check_budget(context):
    """Check every sliding window of one second."""
    probes = _max_probes_per_second(context.probe_times)
    limits = context.budget.limits
    assert probes * MESSAGES_PER_PROBE <= limits.messages_per_second, probes
    assert probes * BYTES_PER_PROBE <= limits.bytes_per_second, probes


@then('the probes use at least {share:f} of one limit')
def check_budget_used(context, share):
    """Check that the planner makes use of the budget."""
    limits = context.budget.limits
    possible = min(
        limits.messages_per_second // MESSAGES_PER_PROBE,
        limits.bytes_per_second // BYTES_PER_PROBE,
    )
    probes = _max_probes_per_second(context.probe_times)
    assert probes >= share * possible, (probes, possible)


@when('probes are planned for a service with fresh reports')
def plan_with_fresh_reports(context):
    """Plan while all reports are fresh, then check that stale ones count."""
    context.services = _make_services(1, 3)
    context.router.called_at['s0'] = 1
    for index in range(3):
        load = LoadReport(1, 0, 4)
        context.router.observe_load(f's0-{index}', load, 0.9)
    context.planned = context.planner.plan(context.services, 1)
    assert context.planner.plan(context.services, 2), (
        'no probe planned for stale reports'
    )


@when('probes are planned after {seconds:d} seconds without a call')
def plan_without_calls(context, seconds):
    context.planned = context.planner.plan(context.services, 1 + seconds)


@then('no probe is planned')
def check_nothing_planned(context):
    """Check that no probe is planned, nor for a service without upstreams."""
    assert not context.planned, context.planned
    assert not context.planner.plan({'s0': Candidates()}, 1)


@when(
    '{count:d} answers in {seconds:d} seconds come with {reports} and '
    '{low:d} to {high:d} attempts in flight'
)
def observe_answers(context, count, seconds, reports, low, high):
    """Pass answers and load reports to the signal monitor."""
    context.reported_reasons = []
    context.monitor = LoadSignalMonitor(
        lambda daemon_id, reason: context.reported_reasons.append(reason)
    )
    for number in range(count):
        now = number * seconds / count
        sent = low + number % (high - low + 1)
        if reports == 'equal reports':
            context.monitor.observe_report('u0', (0, 0, 4), now)
        if reports == 'changing reports':
            context.monitor.observe_report('u0', (sent, 0, 4), now)
        context.monitor.observe_answer('u0', sent, now)


@when('a new load report comes')
def observe_new_report(context):
    context.monitor.observe_report('u0', (3, 1, 4), 10)


@then('the dead signals are "{reason}"')
@then('the dead signals are ""')
def check_dead(context, reason=''):
    assert ','.join(context.monitor.dead_reasons().values()) == reason


@then('the reported signal changes are "{reasons}"')
def check_reported_reasons(context, reasons):
    assert ','.join(context.reported_reasons) == reasons, (
        context.reported_reasons
    )


@given('a daemon whose load queries have used its measuring budget')
def use_budget(context):
    """Spend the budget of the component that sends load queries."""
    settings = read_settings(
        DaemonSettings,
        {'zone': 'a', 'control': 'c=127.0.0.1:1', 'daemon_id': 'd'},
        {},
    )
    context.components = DaemonComponents(settings)
    context.add_cleanup(context.components.load_socket.close)
    budget = context.components.selector.budget
    budget.limits = Measuring(messages_per_second=2)
    assert budget.try_spend(2, 0, 1)


@then('its background probes may send nothing')
def check_nothing_left(context):
    """Check the budget of the prober."""
    prober = create_prober(context.components)
    assert not prober.budget.try_spend(1, 0, 1)
