"""Steps for the shares of teams."""

from __future__ import annotations

from behave import given, then, when

from burdocklead.fairness.team_shares import TeamShares
from burdocklead.fairness.tickets import Admitted, Queued, Ticket
from burdocklead.request.admission import admission_for
from tests.steps.capacity_simulation import CapacityDeployment, Kind

COST_MS = 150
SLOTS_OF_SERVICE = 24


class NoShares(TeamShares):
    """Treats all teams alike, as before."""

    def round_of(self, ticket):
        """Return the same round for all calls."""
        return 0


class UnsharedDeployment(CapacityDeployment):
    """Upstreams without shares of teams."""

    def start(self):
        """Replace the shares of each upstream."""
        super().start()
        for upstream in self.upstreams:
            upstream.gate.queue.teams = NoShares()


@given(
    '{count:d} teams that send {load:f} of the capacity of a service in equal '
    'parts'
)
def plan_teams(context, count, load):
    rate = load * SLOTS_OF_SERVICE * 1000 / COST_MS
    context.kinds = (Kind('view', 'a', COST_MS, 582, 3491, rate),)
    context.team_names = ['big', *(f'small{one}' for one in range(1, count))]


@when(
    'one of them sends {factor:d} times its usual calls from {begin:d} to '
    '{end:d} s, with and without shares'
)
def run_teams(context, factor, begin, end):
    names = context.team_names
    context.period = (begin, end)

    def weights(now):
        big = factor if begin <= now < end else 1
        return [big, *(1 for _ in names[1:])]

    def rate_factor(now):
        return sum(weights(now)) / len(names)

    def choose_team(now, rng):
        return rng.choices(names, weights(now))[0]

    context.runs = []
    for make in (CapacityDeployment, UnsharedDeployment):
        deployment = make(context.kinds, {'a': 4})
        deployment.factors['view'] = rate_factor
        deployment.teams['view'] = choose_team
        context.runs.append(deployment.run_for(end + 2))


def _share_of_others(context, deployment):
    records = [
        one
        for one in deployment.of_kind('view', *context.period)
        if one.team != 'big'
    ]
    return sum(one.in_time for one in records) / len(records)


@then(
    'at least {share:f} of the calls of the others are in time, at most '
    '{unshared:f} without shares'
)
def check_others(context, share, unshared):
    found = [_share_of_others(context, one) for one in context.runs]
    assert found[0] >= share, found
    assert found[1] <= unshared, found


@then('with shares, at least {share:f} as many calls are in time as without')
def check_total(context, share):
    totals = [
        sum(one.in_time for one in deployment.records)
        for deployment in context.runs
    ]
    assert totals[0] >= share * totals[1], totals


@given('an upstream that runs a call and has {presence} teams')
@given('an upstream that runs a call and has teams')
def plan_upstream(context, presence=''):
    context.queue = admission_for(1)
    context.started = ['running']
    team = '' if presence == 'no' else 'first'
    offer = context.queue.offer(_ticket('running', team), 0)
    assert offer.verdict == Admitted(), offer


def _ticket(name, team):
    return Ticket(name, 's/r', 1, COST_MS, 100, 4, team=team)


def _queue_calls(context, count, team):
    return [
        context.queue.offer(_ticket(f'{team}-{one}', team), 0)
        for one in range(count)
    ]


@when('{count:d} calls of the team "{team:w}" wait and no other team sends')
@when('{count:d} calls of the team "" wait')
def queue_one_team(context, count, team=''):
    for offer in _queue_calls(context, count, team):
        assert offer.verdict == Queued(), offer


@when('5 calls of the team "big" and then 1 of the team "small" wait')
def queue_two_teams(context):
    """Queue fewer calls than the limit of the queue allows."""
    for team, count in (('big', 5), ('small', 1)):
        for one in range(count):
            ticket = Ticket(
                f'{team}-{one}', 's/r', 1, COST_MS, 100, 9, team=team
            )
            assert context.queue.offer(ticket, 0).verdict == Queued()


def _next_team(context):
    decisions = context.queue.release(context.started[-1], COST_MS, 1)
    context.started.extend(one.ticket.attempt_id for one in decisions)
    return decisions[0].ticket.team


@then('the next slots are given to the teams "{teams}"')
def check_slots(context, teams):
    given_to = [_next_team(context) for _ in teams.split(', ')]
    assert ', '.join(given_to) == teams, given_to


@then(
    'at most {count:d} calls of the team "big" start before the one of "small"'
)
def check_before(context, count):
    order = [_next_team(context) for _ in range(6)]
    assert order.index('small') <= count, order


@when(
    '4 calls of the team "big" fill its queue and 1 of the team "small" arrives'
)
def fill_queue(context):
    _queue_calls(context, 4, 'big')
    context.offer = _queue_calls(context, 1, 'small')[0]


@then('a call of the team "big" is shed and the one of "small" waits')
def check_shed(context):
    shed = [one.ticket.team for one in context.offer.displaced]
    assert shed == ['big'], context.offer
    assert context.offer.verdict == Queued(), context.offer


@when('{count:d} teams send a call each, which waits for the one before it')
def send_from_many(context, count):
    for number in range(count):
        ticket = _ticket(f'next-{number}', f'team-{number}')
        assert context.queue.offer(ticket, 0).verdict == Queued()
        context.queue.release(context.started[-1], COST_MS, 0)
        context.started.append(ticket.attempt_id)


@then('the state of at most {count:d} teams is kept')
def check_state(context, count):
    kept = context.queue.teams.finish_ms
    assert len(kept) <= count, len(kept)


@then('no team is known once a call finds the upstream idle')
def check_idle(context):
    """Let the last call end and another team's call arrive."""
    context.queue.release(context.started[-1], COST_MS, 1)
    context.queue.offer(_ticket('new', 'new'), 2)
    assert list(context.queue.teams.finish_ms) == ['new']


@then('all waiting calls are in the same round')
def check_rounds(context):
    rounds = {call.sort_key[3] for call in context.queue.short.calls}
    assert rounds == {0}, rounds
