"""Steps for calls that wait while their upstream is temporarily slow."""

from __future__ import annotations

import heapq
import itertools
import random

from behave import given, then, when

from burdocklead.fairness.tickets import Admitted, Queued, Refused, Ticket
from burdocklead.request.admission import paced_admission_for
from burdocklead.request.upstream_load import PaceView, UpstreamLoad
from burdocklead.values import RefusalCause

MS_PER_S = 1000
STEP_S = 0.15
POLL_S = 0.02
SLOW_PACE = 5


def _report(view, pace, now):
    view.observe(UpstreamLoad(0, 0, 18, pace), now)


@given(
    'an upstream whose pace changed {ago:g} s ago from {before:g} to {after:g}'
)
def plan_pace(context, before, after, ago):
    """Report the first pace for a while, then the second one until now."""
    context.pace = PaceView()
    for step in range(10):
        _report(context.pace, before, 10 + step * POLL_S)
    start = 10.2
    context.now = start + ago
    steps = int(ago / POLL_S) + 1
    for step in range(steps):
        _report(context.pace, after, start + step * POLL_S)


@then('a call of {cost:d} ms should wait for a better pace: {expected}')
def check_waiting(context, cost, expected):
    """Check whether the call is worth holding."""
    waits = context.pace.is_worth_waiting(cost, context.now)
    assert waits is (expected == 'yes'), context.pace


@then('a call of {cost:d} ms is expected to take {expected:d} ms')
def check_expected(context, cost, expected):
    """Check the expected time of a call."""
    assert context.pace.expected_ms(cost, context.now) == expected, context.pace


@given('an admission queue of {slots:d} slots at pace {pace:g}')
def plan_queue(context, slots, pace):
    """Make a queue whose upstream had its usual pace until now."""
    context.queue = paced_admission_for(slots)
    context.pace = PaceView()
    context.now = 10
    _report(context.pace, 1, context.now - POLL_S)
    _report(context.pace, pace, context.now)
    context.queue.set_pace(context.pace, context.now)
    context.verdicts = {}


def _offer(context, cost_ms, left_ms):
    name = f'{cost_ms} ms'
    ticket = Ticket(
        name, name, 1, cost_ms, context.now + left_ms / MS_PER_S, 1000
    )
    verdict = context.queue.offer(ticket, context.now).verdict
    context.verdicts[name] = verdict


@when('a call of {one:d} ms and a call of {two:d} ms are offered')
def offer_two(context, one, two):
    """Offer both calls long before their deadlines."""
    _offer(context, one, 5000)
    _offer(context, two, 5000)


@when('a call of {cost:d} ms with {left:d} ms left is offered')
def offer_late(context, cost, left):
    """Offer a call close to its deadline."""
    _offer(context, cost, left)


def _set_pace(context, pace):
    _report(context.pace, pace, context.now)
    for decision in context.queue.set_pace(context.pace, context.now):
        context.verdicts[decision.ticket.attempt_id] = decision.verdict


@when('the call of {cost:d} ms ends')
def end_call(context, cost):
    """Release the slot of a call."""
    for decision in context.queue.release(f'{cost} ms', cost, context.now):
        context.verdicts[decision.ticket.attempt_id] = decision.verdict


@when('the pace is {pace:g} again')
def change_pace(context, pace):
    """Report another pace a moment later."""
    context.now += POLL_S
    _set_pace(context, pace)


@when('{wait:d} ms pass at pace {pace:g}')
def pass_time(context, wait, pace):
    """Report a pace after some time."""
    context.now += wait / MS_PER_S
    _set_pace(context, pace)


@then('the call of {one:d} ms waits and the call of {two:d} ms runs')
def check_both(context, one, two):
    """Check both verdicts."""
    assert context.verdicts[f'{one} ms'] == Queued(), context.verdicts
    assert context.verdicts[f'{two} ms'] == Admitted(), context.verdicts


@then('the call of {cost:d} ms runs')
def check_runs(context, cost):
    """Check that the call was admitted."""
    assert context.verdicts[f'{cost} ms'] == Admitted(), context.verdicts


@then('the call of {cost:d} ms is refused')
def check_refused(context, cost):
    """Check that the call is refused before its deadline."""
    verdict = context.verdicts[f'{cost} ms']
    assert verdict == Refused(RefusalCause.deadline), context.verdicts


class Upstreams:
    """Upstreams with a random pace in each time step."""

    def __init__(self, count, slots, share, rng):
        """Draw the pace of each step."""
        self.queues = [paced_admission_for(slots) for _ in range(count)]
        self.views = [PaceView() for _ in range(count)]
        self.phases = [rng.random() * STEP_S for _ in range(count)]
        self.paces = [
            [SLOW_PACE if rng.random() < share else 1 for _ in range(2000)]
            for _ in range(count)
        ]

    def pace_at(self, index, now):
        """Return the pace of an upstream at a time."""
        return self.paces[index][int((now + self.phases[index]) / STEP_S)]


@given(
    '{count:d} upstreams of {slots:d} slots that are 5 times slower in a third '
    'of the steps of 150 ms'
)
def plan_upstreams(context, count, slots):
    """Prepare the same upstreams for each simulation."""
    context.make = lambda: Upstreams(count, slots, 1 / 3, random.Random(5))


@when('{rate:d} calls a second of {cost:d} ms arrive for {length:d} s')
def run_calls(context, rate, cost, length):
    """Simulate the calls with and without holding."""
    context.ended = {
        holds: _simulate(context.make(), rate, cost, length, holds)
        for holds in (True, False)
    }


def _simulate(upstreams, rate, cost_ms, length, holds):
    """Return the times from arrival to end in ms and the number of calls."""
    simulation = Simulation(upstreams, cost_ms, length, holds)
    rng = random.Random(9)
    for number in range(rate * length):
        index = rng.randrange(len(upstreams.queues))
        simulation.plan(number / rate, 'arrive', index, number)
    for index, _ in enumerate(upstreams.queues):
        simulation.plan(0, 'poll', index)
    simulation.run()
    return simulation.times, len(simulation.arrived)


class Simulation:
    """Runs calls at upstreams in the order of their events."""

    def __init__(self, upstreams, cost_ms, length, holds):
        """Start without events."""
        self.upstreams = upstreams
        self.cost_ms = cost_ms
        self.length = length
        self.holds = holds
        self.events = []
        self.numbers = itertools.count()
        self.arrived = {}
        self.times = []

    def plan(self, at, kind, index, number=0):
        """Add an event."""
        event = (at, next(self.numbers), kind, index, number)
        heapq.heappush(self.events, event)

    def run(self):
        """Handle all events."""
        while self.events:
            now, _, kind, index, number = heapq.heappop(self.events)
            match kind:
                case 'poll':
                    self.poll(now, index)
                case 'arrive':
                    self.arrive(now, index, number)
                case 'end':
                    self.end(now, index, number)

    def poll(self, now, index):
        """Report the pace if calls are held, and start calls."""
        if now > self.length + 5:
            return
        view = self.upstreams.views[index]
        if self.holds:
            _report(view, self.upstreams.pace_at(index, now), now)
        queue = self.upstreams.queues[index]
        self.start_all(now, index, queue.set_pace(view, now))
        self.plan(now + POLL_S, 'poll', index)

    def arrive(self, now, index, number):
        """Offer a call."""
        self.arrived[number] = now
        ticket = Ticket(f'{number}', 'view', 1, self.cost_ms, now + 1.5, 1000)
        offer = self.upstreams.queues[index].offer(ticket, now)
        if offer.verdict == Admitted():
            self.start(now, index, ticket)
        self.start_all(now, index, offer.displaced)

    def end(self, now, index, number):
        """Release the slot of a call."""
        self.times.append((now - self.arrived[number]) * MS_PER_S)
        queue = self.upstreams.queues[index]
        decisions = queue.release(f'{number}', self.cost_ms, now)
        self.start_all(now, index, decisions)

    def start_all(self, now, index, decisions):
        """Start the calls that were admitted."""
        for decision in decisions:
            if decision.verdict == Admitted():
                self.start(now, index, decision.ticket)

    def start(self, now, index, ticket):
        """Run a call at the pace of its start."""
        pace = self.upstreams.pace_at(index, now)
        run_s = self.cost_ms * pace / MS_PER_S
        self.plan(now + run_s, 'end', index, int(ticket.attempt_id))


def _share(context, limit_ms, holds):
    times, count = context.ended[holds]
    return sum(time_ms <= limit_ms for time_ms in times) / count


@then('at least {share:f} of them end within {limit:d} ms with holding')
def check_holding(context, share, limit):
    """Check the share of calls in time."""
    seen = _share(context, limit, holds=True)
    assert seen >= share, seen


@then('at most {share:f} of them end within {limit:d} ms without holding')
def check_not_holding(context, share, limit):
    """Check that the load pattern makes calls late without holding."""
    seen = _share(context, limit, holds=False)
    assert seen <= share, seen


@given(
    'an upstream of {slots:d} slots whose calls take {factor:g} times as long '
    'when more than {uncontended:d} run'
)
def plan_contention(context, slots, factor, uncontended):
    """Set how the upstream behaves under contention."""
    context.slots = slots
    context.factor = factor
    context.uncontended = uncontended


@when(
    '{count:d} calls of {cost:d} ms have run with as many at a time as admitted'
)
def run_contended(context, count, cost):
    """Keep as many calls running as the slot table allows."""
    rng = random.Random(3)
    queue = paced_admission_for(context.slots)
    queue.table.costs.cost_of('view', cost)
    now = float(0)
    ends = []
    for number in range(count):
        while queue.table.free(now) <= 0:
            now, name, took_ms = heapq.heappop(ends)
            queue.release(name, took_ms, now)
        ticket = Ticket(f'{number}', 'view', 1, cost, now + 60, 1000)
        assert queue.offer(ticket, now).verdict == Admitted()
        took_ms = cost * rng.lognormvariate(0, 0.3)
        if len(queue.table.running) > context.uncontended:
            took_ms *= context.factor
        heapq.heappush(ends, (now + took_ms / MS_PER_S, f'{number}', took_ms))
    context.limit = queue.table.limit(now)


@then('{limit:d} calls may run at the same time')
def check_limit(context, limit):
    """Check the final limit."""
    assert context.limit == limit, context.limit
