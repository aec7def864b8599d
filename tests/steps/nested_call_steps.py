"""Steps for nested calls: recognition, precedence and reserved slots."""

from __future__ import annotations

import asyncio
import contextlib
import random
from types import SimpleNamespace

from behave import given, then, when

from burdocklead.connection.http_messages import HttpRequest
from burdocklead.fairness.nested_calls import ParentCalls
from burdocklead.fairness.tickets import Admitted, Queued, Refused, Ticket
from burdocklead.metrics import MetricSet
from burdocklead.process.host_routing_handler import HostRoutingHandler
from burdocklead.request.admission import AdmissionQueue
from burdocklead.request.call import not_run
from burdocklead.request.dialect import BurdockleadDialect, CallOptions
from burdocklead.request.slot_table import SlotTable
from burdocklead.request.work_limit import WorkLimit
from burdocklead.teams.current_keys import CurrentKeys
from burdocklead.values import RefusalCause
from burdocklead.version.deployment import Deployment, HostRoute, Service
from burdocklead.version.route_table import RouteTable
from tests.steps.capacity_simulation import CapacityDeployment, Kind

NESTED_MS = 37
NESTED_OBJECTIVE_S = 0.199


class FixedTable(SlotTable):
    """Slots without the adaptive limit."""

    def limit(self, now):
        """Return the slots."""
        return self.slots


def _ticket(name, now, **changes):
    fields = {
        'attempt_id': name,
        'route': 'b/pay',
        'rank': 1,
        'cost_ms': 100,
        'deadline': now + 5,
        'queue_limit': 10,
        'objective': now + 1,
    }
    return Ticket(**{**fields, **changes})


@given('a call "{call_id}" that {state} at the local upstream')
def track_call(context, call_id, state):
    """Track the call, until the end of the scenario if it runs."""
    context.parents = ParentCalls()
    context.tracking = contextlib.ExitStack()
    context.tracking.enter_context(context.parents.track(call_id))
    if state == 'has ended':
        context.tracking.close()


@then(
    'a call with ID "{call_id}" that arrives at its daemon is sent as {state}'
)
def check_sent(context, call_id, state):
    """Pass a request to the handler and look at the call it dispatches."""
    calls = []

    async def run(call):
        calls.append(call)
        return not_run(RefusalCause.no_upstream)

    dialect = BurdockleadDialect()
    dialect.read_call_options = lambda request: CallOptions(call_id)
    route = HostRoute(
        host='b', path_prefix='/', idempotent=True, timeout_ms=9, service='b'
    )
    table = RouteTable(
        Deployment(
            version=1, services={'b': Service()}, host_routes={'r': route}
        )
    )
    handler = HostRoutingHandler(
        SimpleNamespace(table=table, version=1, keys=CurrentKeys()),
        SimpleNamespace(run=run, work_limit=WorkLimit()),
        dialect,
        MetricSet(),
        random.Random(1),
        context.parents,
    )
    request = HttpRequest('GET', '/', (('Host', 'b'),), b'', 0)
    asyncio.run(handler.handle(request))
    assert [call.nested for call in calls] == [state == 'nested'], calls


@then('no call is tracked as running')
def check_forgotten(context):
    assert not context.parents.running, context.parents


@then('of {count:d} calls named after it, {limit:d} are nested')
def check_limit(context, count, limit):
    nested = [context.parents.recognize(f'p7.{one}') for one in range(count)]
    assert sum(nested) == limit, nested


@given('an upstream whose only slot is taken')
def take_slot(context):
    context.queue = AdmissionQueue(FixedTable(1))
    context.queue.offer(_ticket('running', 0), 0)


def _started_by_release(context, running, now):
    """Release the slot and return the calls that got one."""
    decisions = context.queue.release(running, 100, now)
    return [
        one.ticket.attempt_id for one in decisions if one.verdict == Admitted()
    ]


@when(
    'new calls of rank 1 and then a nested call of rank 1 and a new call of '
    'rank 0 wait'
)
def queue_ranks(context):
    waiting = (
        _ticket('first', 0),
        _ticket('second', 0),
        _ticket('nested', 0, nested=True, objective=2),
        _ticket('urgent', 0, rank=0),
    )
    for ticket in waiting:
        assert context.queue.offer(ticket, 0).verdict == Queued()


@then('the slots are given to "{names}"')
def check_order(context, names):
    running = 'running'
    order = []
    for _ in names.split(', '):
        order.extend(_started_by_release(context, running, 0.1))
        running = order[-1]
    assert ', '.join(order) == names, order


@when(
    'a nested call and new calls wait until the nested one missed its objective'
)
def miss_objective(context):
    for ticket in (
        _ticket('nested', 0, nested=True, objective=0.2),
        _ticket('first', 0, objective=4),
    ):
        assert context.queue.offer(ticket, 0).verdict == Queued()


@then('the next slot is given to "{name}"')
def check_next(context, name):
    started = _started_by_release(context, 'running', 0.5)
    assert started == [name], started


@when('its queue of 2 is full of new calls and 3 nested calls arrive')
def overfill(context):
    context.offers = [
        context.queue.offer(_ticket(name, 0, queue_limit=2, nested=nested), 0)
        for name, nested in (
            ('n1', False),
            ('n2', False),
            ('i1', True),
            ('i2', True),
            ('i3', True),
        )
    ]


@then('2 new calls are shed and a new call of the same rank is refused')
def check_shed(context):
    shed = [
        decision.ticket.attempt_id
        for offer in context.offers
        for decision in offer.displaced
    ]
    assert sorted(shed) == ['n1', 'n2'], shed
    assert isinstance(context.offers[-1].verdict, Refused), context.offers
    late = context.queue.offer(_ticket('n3', 0, queue_limit=2), 0)
    assert late.verdict == Refused(RefusalCause.queue_full), late
    assert not late.displaced, late


@given('an upstream of 3 slots that runs 2 calls of {work:d} ms')
def run_calls(context, work):
    context.queue = AdmissionQueue(FixedTable(3))
    for name in ('one', 'two'):
        ticket = _ticket(name, 0, cost_ms=work, route='b/work')
        assert context.queue.offer(ticket, 0).verdict == Admitted()


@given('a nested call of 37 ms with an objective of 199 ms came {ago:d} s ago')
def see_nested(context, ago):
    """Let a nested call start and end before the time of the next steps."""
    assert _offer_nested(context, 'early', 0) == Admitted()
    context.queue.release('early', NESTED_MS, 0)
    context.now = ago


def _offer_nested(context, name, now):
    ticket = _ticket(
        name,
        now,
        nested=True,
        cost_ms=NESTED_MS,
        route='b/nested',
        objective=now + NESTED_OBJECTIVE_S,
    )
    return context.queue.offer(ticket, now).verdict


@then('a new call of {work:d} ms {verdict}')
def check_new_call(context, work, verdict):
    ticket = _ticket('new', context.now, cost_ms=work, route='b/work')
    expected = {'waits': Queued(), 'starts': Admitted()}[verdict]
    found = context.queue.offer(ticket, context.now).verdict
    assert found == expected, found
    if found == Admitted():
        context.queue.release('new', work, context.now)


@then('a nested call of 37 ms starts')
def check_nested_starts(context):
    assert _offer_nested(context, 'late', context.now) == Admitted()


@given(
    'clients load service b to {load:f} times its capacity while calls to '
    'service a make nested calls to it'
)
def plan_two_services(context, load):
    """Plan 8 upstreams of 6 slots in service a and 6 in service b."""
    parent_rate = 150
    nested_slots = parent_rate * 0.7 * NESTED_MS / 1000
    pay_rate = (load * 36 - nested_slots) / 0.19
    kinds = (
        Kind('place', 'a', 150, 582, 3491, parent_rate, True, 'inner', 0.7),
        Kind('inner', 'b', NESTED_MS, 199, 665),
        Kind('pay', 'b', 190, 901, 5632, pay_rate, idempotent=False),
    )
    context.deployments = [
        CapacityDeployment(kinds, {'a': 8, 'b': 6}) for _ in range(2)
    ]


@when(
    'the same load runs for {seconds:d} s without and with recognition of '
    'nested calls'
)
def run_two_services(context, seconds):
    before, after = context.deployments
    before.recognizes_nested = False
    context.before = before.run_for(seconds)
    context.after = after.run_for(seconds)


@then('without it, at least {count:d} parents are answered 500, with it none')
def check_parents(context, count):
    before, after = (
        sum(one.status == 500 for one in deployment.of_kind('place'))
        for deployment in (context.before, context.after)
    )
    assert before >= count, before
    assert after == 0, after


@then(
    'at least {share:f} of the parents meet their objective, at most '
    '{earlier:f} did before'
)
def check_parents_in_time(context, share, earlier):
    before, after = (
        deployment.share_in_time('place')
        for deployment in (context.before, context.after)
    )
    assert after >= share, after
    assert before <= earlier, before


@then('service b completes at least as much work in time as before')
def check_goodput(context):
    """Compare the work of calls in time; parents in time include nested."""
    before, after = (_work_ms(one) for one in (context.before, context.after))
    assert after >= before, (before, after)


def _work_ms(deployment):
    nested = sum(one.in_time for one in deployment.of_kind('place')) * 0.7
    paid = sum(one.in_time for one in deployment.of_kind('pay'))
    return nested * NESTED_MS + paid * 190
