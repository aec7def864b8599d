"""Steps for automatic changes of the replica set."""

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
    """Return a replica; its address is that of ``place``, or its own."""
    host = f'10.0.0.{ord((place or name)[0])}'
    return Replica(name, Address(host, PORT), f'folder-{name}')


@given('"{own}" evaluates the set {names} with target size {size:d}')
def store_set(context, own, names, size):
    """Store a set without a change in progress."""
    replicas = tuple(replica_at(name) for name in names.split(', '))
    context.own = own
    context.size = size
    context.replica_set = ReplicaSet(4, replicas)


@given('"{own}" evaluates the set {names} that replaces {leaving} by {joining}')
def store_changing_set(context, own, names, leaving, joining):
    """Store a set with a change in progress."""
    store_set(context, own, names, len(names.split(', ')))
    replicas = context.replica_set.replicas
    following = tuple(one for one in replicas if one.replica_id != leaving) + (
        replica_at(joining),
    )
    context.replica_set = ReplicaSet(5, replicas, following)


@given('the member ages in s are {ages}')
def store_member_ages(context, ages):
    """Store the time in s since each member was heard."""
    pairs = [part.split(' ') for part in ages.split(', ')]
    context.member_ages = {name: float(age) for name, age in pairs}


@given('the candidate ages in s are {ages}')
def store_candidate_ages(context, ages):
    """Store the candidates and the time in s since each was heard."""
    context.candidate_ages = {}
    for part in ages.split(', '):
        words = part.split(' ')
        if words[0] == 'none':
            continue
        place = words[2] if words[1] == 'at' else ''
        candidate = replica_at(words[0], place)
        context.candidate_ages[candidate] = float(words[-1])


@then('the plan is {plan}')
def check_plan(context, plan):
    """Compare the planned change."""
    planned = plan_change(
        SetView(
            context.own,
            context.replica_set,
            context.member_ages,
            context.candidate_ages,
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
            return 'cancel'
    return 'nothing'
