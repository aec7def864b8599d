"""Steps for admission control on a simulated clock."""

from __future__ import annotations

from behave import given, then, when

from burdocklead.fairness.tickets import Admitted, Queued, Ticket
from burdocklead.request.admission import AdmissionQueue, admission_for
from burdocklead.request.route_costs import RouteCosts
from burdocklead.version.deployment import RANKS, Priority
from tests.steps.admission_simulation import (
    S_PER_MS,
    SLOTS,
    Fifo,
    FixedSlots,
    Upstream,
    mixed_call,
    poisson_arrivals,
    priority_call,
    saturation_rate,
    seeded,
    simulate,
    usual_call,
)


def _arrivals(context, seconds):
    rng = seeded(context.seed)
    return poisson_arrivals(
        rng, context.rate, seconds, context.call_factory(rng)
    )


@given('an admission workload of seed {seed:d} at {load:f} times saturation')
def plan_single_route(context, seed, load):
    """Plan calls of one route."""
    context.seed = seed
    context.rate = load * saturation_rate()
    context.call_factory = usual_call
    context.upstream = Upstream()


@given(
    'an admission workload of seed {seed:d} where {long:d} of 100 calls run '
    '{factor:d} times longer'
)
def plan_mixed_routes(context, seed, long, factor):
    """Plan short and long calls that use 0.8 of the slots on average."""
    share = long / 100
    mean = 5 * S_PER_MS * (1 - share + share * factor)
    context.seed = seed
    context.rate = 0.8 * SLOTS / mean
    context.call_factory = lambda rng: mixed_call(rng, share, factor)
    context.upstream = Upstream()


@given(
    'an admission workload of seed {seed:d} of three priorities at {load:f} '
    'times saturation'
)
def plan_priorities(context, seed, load):
    """Plan calls of three priorities."""
    plan_single_route(context, seed, load)
    context.call_factory = priority_call


@given(
    'a noisy neighbour takes {share:f} of the capacity from {begin:d} '
    'to {end:d} seconds'
)
def plan_neighbour(context, share, begin, end):
    """Reduce the capacity for a period."""
    context.upstream = Upstream(lost_share=share, slow_period=(begin, end))
    context.slow_period = (begin, end)


@given(
    'each admission call is {factor:d} times slower from {begin:d} '
    'to {end:d} seconds'
)
def plan_slowdown(context, factor, begin, end):
    """Slow each call down at any concurrency."""
    context.upstream = Upstream(factor=factor, slow_period=(begin, end))
    context.slow_period = (begin, end)


@given('the first {count:d} admission calls take 10 times longer')
def plan_cold_start(context, count):
    """Start with a cold upstream."""
    context.upstream = Upstream(cold_calls=count)


@when('admission control handles it for {seconds:d} seconds')
def run_admission(context, seconds):
    """Simulate the workload."""
    context.seconds = seconds
    context.figures = []
    context.arrivals = _arrivals(context, seconds)
    context.run = simulate(
        admission_for(SLOTS), context.arrivals, context.upstream
    )


@then(
    'admission control reaches at least {share:f} of the goodput at saturation'
)
def check_goodput(context, share):
    """Compare with the same upstream at saturation, and with FIFO."""
    overload = len(context.run.in_time(context.arrivals))
    fifo = len(simulate(Fifo(), context.arrivals).in_time(context.arrivals))
    context.rate = saturation_rate()
    base = _arrivals(context, context.seconds)
    goodput = len(simulate(admission_for(SLOTS), base).in_time(base))
    context.figures.append(
        f'in time {overload}, at saturation {goodput}, FIFO {fifo}'
    )
    assert overload >= share * goodput, (overload, goodput, fifo)
    assert fifo < overload, (overload, fifo)


@then('admission control starts almost no call that cannot finish in time')
def check_wasted_work(context):
    """Check that at most 1 % of the started calls end too late."""
    started = len(context.run.started)
    in_time = len(context.run.in_time(context.arrivals))
    assert in_time >= 0.99 * started, (in_time, started)


def _short_waits(run, arrivals):
    return sorted(
        run.started[arrival.ticket.attempt_id] - arrival.at
        for arrival in arrivals
        if arrival.ticket.route == 'sheets/view'
        and arrival.ticket.attempt_id in run.started
        and arrival.at > 5
    )


def _p99(waits):
    return waits[int(len(waits) * 0.99)]


@then(
    '99 of 100 short admission calls wait at most {count:d} short service times'
)
def check_short_waits(context, count):
    """Check the 99th percentile of the waits of short calls."""
    waits = _short_waits(context.run, context.arrivals)
    context.figures.append(
        f'p99 wait {_p99(waits) / S_PER_MS:.2f} ms of {len(waits)}'
    )
    assert _p99(waits) <= count * 5 * S_PER_MS, _p99(waits)


@then('a FIFO queue makes them wait longer')
def check_fifo_waits(context):
    """Compare with a FIFO queue on the same workload."""
    fifo = simulate(Fifo(), context.arrivals, context.upstream)
    fifo_s = _p99(_short_waits(fifo, context.arrivals))
    seen_s = _p99(_short_waits(context.run, context.arrivals))
    context.figures.append(
        f'p99 wait FIFO {fifo_s / S_PER_MS:.2f} ms, '
        f'admission control {seen_s / S_PER_MS:.2f} ms'
    )
    assert fifo_s > seen_s, (fifo_s, seen_s)


@then('every long admission call is answered in time')
def check_long_calls(context):
    """Check that long calls do not starve."""
    long = [
        arrival
        for arrival in context.arrivals
        if 'search' in arrival.ticket.route
    ]
    assert len(context.run.in_time(long)) == len(long)


def _answered_share(context, priority):
    calls = [
        arrival
        for arrival in context.arrivals
        if arrival.ticket.rank == RANKS[Priority(priority)]
    ]
    return len(context.run.in_time(calls)) / len(calls)


@then(
    'admission control answers at least {share:f} of the "{priority}" '
    'priority calls'
)
def check_answered(context, share, priority):
    """Check the share that was answered in time."""
    seen = _answered_share(context, priority)
    assert seen >= share, seen


@then(
    'admission control answers more of the "{high}" than of the "{low}" '
    'priority calls'
)
def check_order_of_shedding(context, high, low):
    """Check that the lower priority is shed more."""
    shares = _answered_share(context, high), _answered_share(context, low)
    context.figures.append(f'answered {high}, {low}: {shares}')
    assert shares[0] > shares[1], shares


def _limits(context, begin, end):
    return [limit for at, limit in context.run.limits if begin <= at < end]


@then('the admission limit was below {count:d} in the slow period')
def check_limit_fell(context, count):
    """Check that the limit was lowered."""
    lowest = min(_limits(context, *context.slow_period))
    assert lowest < count, lowest


@then('the mean admission limit in the slow period was at least {count:d}')
def check_limit_stayed(context, count):
    """Check that the limit stayed up."""
    limits = _limits(context, *context.slow_period)
    mean = sum(limits) / len(limits)
    assert mean >= count, mean


@then('the admission limit was at most {count:d} after {seconds:f} seconds')
def check_ramp(context, count, seconds):
    """Check the limit of a cold start."""
    highest = max(_limits(context, 0, seconds))
    assert highest <= count, highest


@then('the admission limit is {count:d} at the end')
def check_last_limit(context, count):
    """Check the last limit within the simulated time."""
    within = [
        sample for sample in context.run.limits if sample[0] < context.seconds
    ]
    assert within[-1][1] == count, within[-1]


@then(
    'the goodput in the slow period is higher than without the adaptive limit'
)
def check_adaptive_goodput(context):
    """Compare the goodput in the slow period with that of a fixed limit."""
    fixed = simulate(
        AdmissionQueue(FixedSlots(SLOTS)), context.arrivals, context.upstream
    )
    begin, end = context.slow_period
    counts = [
        len(run.in_time(context.arrivals, begin, end))
        for run in (context.run, fixed)
    ]
    context.figures.append(
        f'in time with and without the adaptive limit: {counts}'
    )
    assert counts[0] > counts[1], counts


@when(
    'a route of {cost:d} ms is called {count:d} times and every {nth:d}th call '
    'takes {outlier:d} ms'
)
def learn_cost(context, cost, count, nth, outlier):
    """Learn a cost from calls with outliers."""
    context.cost = RouteCosts().cost_of('sheets/view', 1)
    for number in range(count):
        context.cost.observe(outlier if number % nth == 0 else cost)


@then('its learned cost is between {low:d} and {high:d} ms')
def check_learned_cost(context, low, high):
    """Check the learned cost."""
    assert low <= context.cost.median.estimate <= high, context.cost


@when("a route's learned cost has grown beyond its timeout")
def learn_beyond_timeout(context):
    """Finish slow calls until even the low quantile exceeds the timeout."""
    context.queue = admission_for(SLOTS)
    for number in range(3000):
        ticket = Ticket(f'a{number}', 'r', RANKS[Priority.normal], 5, 1e6, 10)
        context.queue.offer(ticket, number)
        context.queue.release(f'a{number}', 5000, number)
    assert context.queue.table.costs.cost_of('r', 5).low.estimate > 1000


@then('an idle upstream still admits a call of the route')
def check_idle_admits(context):
    """Check that only the first call of the idle upstream is admitted."""
    ticket = Ticket('last', 'r', RANKS[Priority.normal], 5, 4001, 10)
    offer = context.queue.offer(ticket, 4000)
    assert offer.verdict == Admitted(), offer
    other = Ticket('other', 'r', RANKS[Priority.normal], 5, 4001, 10)
    assert context.queue.offer(other, 4000).verdict != Admitted()


def _offer(context, route, now):
    context.number = getattr(context, 'number', 0) + 1
    name = f'c{context.number}'
    ticket = Ticket(name, route, RANKS[Priority.normal], 5, now + 10, 100)
    return name, context.queue.offer(ticket, now)


@given(
    'admission control of {slots:d} slots has learned that searches are long'
)
def learn_long_route(context, slots):
    """Finish calls of both routes one after the other."""
    context.queue = admission_for(slots)
    for number in range(200):
        for route, cost in (('view', 5), ('search', 300)):
            name, _ = _offer(context, route, number * S_PER_MS)
            context.queue.release(name, cost, number * S_PER_MS)


@when(
    '{count:d} admission calls of the short route run {factor:d} times '
    'their usual cost'
)
def overrun(context, count, factor):
    """Start short calls and advance the clock."""
    for _ in range(count):
        _, offer = _offer(context, 'view', 1)
        assert offer.verdict == Admitted(), offer
    context.now = 1 + factor * 5 * S_PER_MS * 1.2


@then('admission control queues a search')
def check_search_waits(context):
    """Check that overrunning calls count towards the share of long calls."""
    for _ in range(10):
        _, offer = _offer(context, 'search', context.now)
    assert offer.verdict == Queued(), offer
    assert len(context.queue.table.running) < context.queue.table.slots


@then('admission control starts a short call at once')
def check_short_starts(context):
    """Check that a slot was kept free."""
    _, offer = _offer(context, 'view', context.now)
    assert offer.verdict == Admitted(), offer
