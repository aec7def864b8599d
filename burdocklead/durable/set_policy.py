"""When the replica set changes without an operator, without I/O.

A change is proposed by one replica, decided by a quorum of the present set
and ended only after the joining replica has caught up, see ``set_change``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.set_change import SetChange

MAX_HEARD_AGE_S = 1.0  # Replicas exchange four times a second.
REPLACE_AFTER_S = 2.5  # Longer than a restart of a replica takes.
JOIN_TIMEOUT_S = 3.0  # A joining replica that is silent for longer is given up.


@dataclass(frozen=True, slots=True)
class SetView:
    """What one replica knows when it looks at the set.

    Attributes:
        own_id: Replica that looks.
        current: The newest set known.
        member_ages_s: Time since each member was last heard of in s.
        candidate_ages_s: Time since each replica outside the set was heard of in
            s.
        target_size: Replicas that the set should have.
    """

    own_id: str
    current: ReplicaSet
    member_ages_s: Mapping[str, float]
    candidate_ages_s: Mapping[Replica, float]
    target_size: int

    def age_of(self, name: str) -> float:
        """Return the time since a replica was heard of in s."""
        if name == self.own_id:
            return 0
        return self.member_ages_s.get(name, float('inf'))

    def recent_candidates(self) -> list[Replica]:
        """Return the candidates heard of lately, in a fixed order."""
        recent = [
            candidate
            for candidate, age_s in self.candidate_ages_s.items()
            if age_s <= MAX_HEARD_AGE_S
            and self.current.find(candidate.replica_id) is None
        ]
        return sorted(recent)


@dataclass(frozen=True, slots=True)
class CancelChange:
    """The change in progress should be taken back.

    Attributes:
        reason: Why, in a few words.
    """

    reason: str


def plan_change(view: SetView) -> SetChange | CancelChange | None:
    """Return the change that this replica should propose, if any."""
    if not _should_propose(view):
        return None
    if view.current.following:
        return _plan_cancel(view)
    candidates = view.recent_candidates()
    return _plan_repair(view, candidates) if candidates else None


def _plan_repair(view: SetView, candidates: list[Replica]) -> SetChange | None:
    """Return the change that uses one of the candidates, if any is needed."""
    for candidate in candidates:
        replaced = _member_replaced_by(view, candidate)
        if replaced is not None:
            return SetChange(replaced.replica_id, candidate)
    if len(view.current.replicas) < view.target_size:
        return SetChange(joining=candidates[0])
    silent = _longest_silent(view)
    return SetChange(silent.replica_id, candidates[0]) if silent else None


def _should_propose(view: SetView) -> bool:
    """Return True for the first of the replicas heard of lately."""
    recent = [
        replica.replica_id
        for replica in view.current.replicas
        if view.age_of(replica.replica_id) <= MAX_HEARD_AGE_S
    ]
    return bool(recent) and min(recent) == view.own_id


def _plan_cancel(view: SetView) -> CancelChange | None:
    for replica in view.current.joining():
        if view.age_of(replica.replica_id) > JOIN_TIMEOUT_S:
            return CancelChange(f'{replica.replica_id} is silent')
        for candidate in view.recent_candidates():
            if candidate.address == replica.address:
                return CancelChange(f'{candidate.replica_id} took its place')
    return None


def _member_replaced_by(view: SetView, candidate: Replica) -> Replica | None:
    """Return the member whose address a replica with another folder has."""
    for replica in view.current.replicas:
        if replica.address == candidate.address:
            return replica
    return None


def _longest_silent(view: SetView) -> Replica | None:
    silent = [
        replica
        for replica in view.current.replicas
        if view.age_of(replica.replica_id) > REPLACE_AFTER_S
    ]
    return max(
        silent,
        key=lambda replica: view.age_of(replica.replica_id),
        default=None,
    )
