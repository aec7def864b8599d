"""Steps for an overload of all upstreams of a service."""

from __future__ import annotations

from behave import given, then, when

from burdocklead.fairness.overload_control import OverloadControl
from burdocklead.fairness.tickets import Queued, Refused, Ticket
from burdocklead.request.admission import admission_for
from burdocklead.values import RefusalCause
from tests.steps.capacity_simulation import CapacityDeployment, Kind

CLIENT_KINDS = ('place', 'upload', 'history', 'pay')
SHORT_KINDS = ('place', 'upload', 'pay')


class NoControl(OverloadControl):
    """Refuses no call, as before overload control."""

    def refuses(self, *call):
        """Return False."""
        return False

    def remove_late(self, queue, now):
        """Keep all calls."""
        return []


class UncontrolledDeployment(CapacityDeployment):
    """Upstreams without overload control."""

    def start(self):
        """Replace the overload control of each upstream."""
        super().start()
        for upstream in self.upstreams:
            upstream.gate.queue.overload = NoControl()


def _kinds():
    return (
        Kind('place', 'a', 150, 582, 3491, 56, True, 'inner', 0.7),
        Kind('upload', 'a', 180, 1034, 7754, 7, False, 'inner', 0.9),
        Kind('history', 'a', 590, 3091, 10303, 10),
        Kind('inner', 'b', 37, 199, 665),
        Kind('pay', 'b', 190, 901, 5632, 64, False),
    )


def _plan(context):
    counts = {'a': 4, 'b': 3}
    context.without = UncontrolledDeployment(_kinds(), counts)
    context.controlled = CapacityDeployment(_kinds(), counts)
    return context.without, context.controlled


@given(
    'two services whose clients send {factor:f} times more {kind} from '
    '{begin:d} to {end:d} s'
)
def plan_long_burst(context, factor, kind, begin, end):
    names = ('history',) if kind == 'long calls' else CLIENT_KINDS

    def burst(now):
        return factor if begin <= now < end else 1

    for deployment in _plan(context):
        for name in names:
            deployment.factors[name] = burst


@given(
    'two services whose calls take {factor:f} times longer from {begin:d} to '
    '{end:d} s'
)
def plan_slowdown(context, factor, begin, end):
    for deployment in _plan(context):
        deployment.slowdowns['steps'] = [
            (at, service, slowdown)
            for service in ('a', 'b')
            for at, slowdown in ((begin, factor), (end, 1))
        ]


@when('their clients call for {seconds:d} s without and with overload control')
def run_both(context, seconds):
    context.without.run_for(seconds)
    context.controlled.run_for(seconds)


@then('as many calls are in time with overload control as without')
def check_in_time(context):
    without, controlled = (
        sum(one.in_time for one in deployment.records)
        for deployment in (context.without, context.controlled)
    )
    assert controlled >= without, (without, controlled)


def _count_late(deployment):
    return sum(
        one.status == 200 and not one.in_time for one in deployment.records
    )


@then('at most half as many answers are late')
def check_late(context):
    without, controlled = map(
        _count_late, (context.without, context.controlled)
    )
    assert controlled * 2 <= without, (without, controlled)


def _median_refusal_ms(deployment):
    refused = sorted(
        one.elapsed_ms for one in deployment.records if one.status >= 503
    )
    return refused[len(refused) // 2]


@then('most refusals come within 0.1 s, without it after 1 s or more')
def check_refusals(context):
    without, controlled = map(
        _median_refusal_ms, (context.without, context.controlled)
    )
    assert controlled <= 100, controlled
    assert without >= 1000, without


@then(
    'at least {share:f} of the short calls are in time with overload control, '
    'and none is answered late'
)
def check_short(context, share):
    records = [
        one
        for one in context.controlled.records
        if one.kind.name in SHORT_KINDS
    ]
    in_time = sum(one.in_time for one in records)
    assert in_time >= share * len(records), (in_time, len(records))
    late = [one for one in records if one.status == 200 and not one.in_time]
    assert not late, late[:3]


@given('an upstream of 1 slot that runs a call')
def fill_slot(context):
    context.queue = admission_for(1)
    context.queue.offer(_ticket('running', objective=1), 0)


def _ticket(name, objective):
    return Ticket(name, 's/r', 1, 200, 10, 10, objective)


@then('a call that needs longer than its objective may wait there')
def check_waits(context):
    offer = context.queue.offer(_ticket('tight', objective=0.1), 0)
    assert offer.verdict == Queued(), offer


@then('it is refused at once after calls were refused for overload')
def check_refused(context):
    """Refuse a call that could be in time but for the queue."""
    overloaded = Refused(RefusalCause.overloaded)
    first = context.queue.offer(_ticket('usual', objective=0.3), 0)
    assert first.verdict == overloaded, first
    second = context.queue.offer(_ticket('tight too', objective=0.1), 0)
    assert second.verdict == overloaded, second
