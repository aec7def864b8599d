"""Changes of the replica set by joint consensus; without I/O.

A change takes two steps, each with a new epoch: first both the old and the
new set must agree, then the new one alone. The second step is taken only
after a joining replica has caught up, so a replica that lacks state never
counts toward a quorum of the new set alone.
"""

from __future__ import annotations

from collections.abc import Set as AbstractSet

import msgspec

from burdocklead.durable.register_values import decode_value
from burdocklead.durable.replica_set import (
    Replica,
    ReplicaSet,
    is_majority,
    names_of,
)
from burdocklead.exceptions import SetChangeError

REPLICA_SET_KEY = 'replica-set'
STEP = 'replica set'


class SetChange(msgspec.Struct, frozen=True):
    """A requested change of the replica set.

    Attributes:
        leaving: Name of the replica to remove, empty if none.
        joining: Replica to add, None if none.
    """

    leaving: str = ''
    joining: Replica | None = None


def decode_set(value: bytes, known: ReplicaSet) -> ReplicaSet:
    """Return the newer of the set in a register value and the known set."""
    if not value:
        return known
    held = decode_value(value, ReplicaSet, REPLICA_SET_KEY)
    return max(held, known, key=lambda replica_set: replica_set.epoch)


def start_change(
    current: ReplicaSet, change: SetChange, reachable: AbstractSet[str]
) -> ReplicaSet:
    """Return the set after the first step of a change.

    Args:
        current: The set in force.
        change: The requested change.
        reachable: Replicas heard from recently, the joining one included.

    Raises:
        SetChangeError: If the change is refused.
    """
    if current.following:
        names = ', '.join(sorted(names_of(current.following)))
        _refuse(f'a change to {names} is in progress')
    kept = _without(current.replicas, change.leaving)
    joining = change.joining
    if joining is None:
        following = kept
    else:
        if joining.replica_id in names_of(current.replicas):
            _refuse(f'{joining.replica_id} is in the set; use a new name')
        following = tuple(sorted((*kept, joining)))
    if following == current.replicas:
        _refuse('nothing to change')
    if not following:
        _refuse('the last replica can not be removed')
    if not is_majority(reachable, following):
        count = len(reachable & names_of(following))
        _refuse(
            f'no quorum after it: {count} of {len(following)} replicas '
            'can be reached'
        )
    return ReplicaSet(current.epoch + 1, current.replicas, following)


def finish_change(current: ReplicaSet, epoch: int) -> ReplicaSet:
    """Return the set after the second step of the change of an epoch."""
    if current.epoch != epoch or not current.following:
        return current
    return ReplicaSet(epoch + 1, current.following)


def cancel_change(current: ReplicaSet) -> ReplicaSet:
    """Return the set without the change in progress.

    Raises:
        SetChangeError: If no change is in progress.
    """
    if not current.following:
        _refuse('no change is in progress')
    return ReplicaSet(current.epoch + 1, current.replicas)


def _without(
    replicas: tuple[Replica, ...], leaving: str
) -> tuple[Replica, ...]:
    if leaving and leaving not in names_of(replicas):
        _refuse(f'{leaving} is not in the set')
    return tuple(
        replica for replica in replicas if replica.replica_id != leaving
    )


def _refuse(reason: str) -> None:
    raise SetChangeError(reason, step=STEP)
