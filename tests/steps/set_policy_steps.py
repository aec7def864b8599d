"""Steps for the policy of the replica set."""

from __future__ import annotations

from behave import given, then

from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.set_change import SetChange
from burdocklead.durable.set_policy import (
    CancelChange,
    SetView,
    plan_change,
)
from burdocklead.values import Address

PORT = 8090


def replica_at(name, place=''):
    """Return a replica; its place names its address."""
    host = f'10.0.0.{ord((place or name)[0])}'
    return Replica(name, Address(host, PORT), f'folder-{name}')


@given('"{own}" looks at the set {names} of wanted size {size:d}')
def plan_set(context, own, names, size):
    """Keep a set without a change."""
    replicas = tuple(replica_at(name) for name in names.split(', '))
    context.own = own
    context.size = size
    context.replica_set = ReplicaSet(4, replicas)


@given('"{own}" looks at the set {names} that replaces {leaving} by {joining}')
def plan_changing_set(context, own, names, leaving, joining):
    """Keep a set with a change in progress."""
    plan_set(context, own, names, len(names.split(', ')))
    replicas = context.replica_set.replicas
    following = tuple(one for one in replicas if one.replica_id != leaving) + (
        replica_at(joining),
    )
    context.replica_set = ReplicaSet(5, replicas, following)


@given('replicas were heard {ages}')
def plan_heard(context, ages):
    """Keep the ages in s."""
    pairs = [part.split(' ') for part in ages.split(', ')]
    context.heard = {name: float(age) for name, age in pairs}


@given('candidates are {ages}')
def plan_candidates(context, ages):
    """Keep the candidates with their ages in s."""
    context.candidates = {}
    for part in ages.split(', '):
        words = part.split(' ')
        if words[0] == 'none':
            continue
        place = words[2] if words[1] == 'at' else ''
        candidate = replica_at(words[0], place)
        context.candidates[candidate] = float(words[-1])


@then('the plan is {plan}')
def check_plan(context, plan):
    """Check what is proposed."""
    planned = plan_change(
        SetView(
            context.own,
            context.replica_set,
            context.heard,
            context.candidates,
            context.size,
        )
    )
    assert _described(planned) == plan, planned


def _described(planned):
    match planned:
        case SetChange('', joining):
            return f'add {joining.replica_id}'
        case SetChange(leaving, joining):
            return f'replace {leaving} by {joining.replica_id}'
        case CancelChange():
            return 'take back'
    return 'nothing'
