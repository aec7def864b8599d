"""Policy for automatic changes of the replica set; without I/O.

A change is proposed by one replica, decided by a quorum of the current set
and completed only after the joining replica has caught up, see
``set_change``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from burdocklead.durable.replica_set import Replica, ReplicaSet
from burdocklead.durable.set_change import SetChange

MAX_HEARD_AGE_S = 1.0  # Four default exchange intervals of 0.25 s.
REPLACE_AFTER_S = 2.5  # Longer than a replica takes to restart.
JOIN_TIMEOUT_S = 3.0  # A change is cancelled if its joining replica is silent.


@dataclass(frozen=True, slots=True)
class SetView:
    """What one replica knows about the replica set.

    Attributes:
        own_id: The replica with this view.
        current: The newest set known.
        member_ages_s: Time since each member was last heard, in s.
        candidate_ages_s: Time since each replica outside the set was last
            heard, in s.
        target_size: Number of replicas that the set should have.
    """

    own_id: str
    current: ReplicaSet
    member_ages_s: Mapping[str, float]
    candidate_ages_s: Mapping[Replica, float]
    target_size: int

    def age_of(self, name: str) -> float:
        """Return the time since a replica was last heard, in s."""
        if name == self.own_id:
            return 0
        return self.member_ages_s.get(name, float('inf'))

    def recent_candidates(self) -> list[Replica]:
        """Return the candidates heard recently, sorted."""
        recent = [
            candidate
            for candidate, age_s in self.candidate_ages_s.items()
            if age_s <= MAX_HEARD_AGE_S
            and self.current.find(candidate.replica_id) is None
        ]
        return sorted(recent)


@dataclass(frozen=True, slots=True)
class CancelChange:
    """The change in progress should be cancelled.

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
    """Return a change that adds one of the candidates, None if not needed."""
    for candidate in candidates:
        replaced = _member_replaced_by(view, candidate)
        if replaced is not None:
            return SetChange(replaced.replica_id, candidate)
    if len(view.current.replicas) < view.target_size:
        return SetChange(joining=candidates[0])
    silent = _longest_silent(view)
    return SetChange(silent.replica_id, candidates[0]) if silent else None


def _should_propose(view: SetView) -> bool:
    """Return True if this is the first by name of the replicas heard recently.

    Only that replica proposes changes.
    """
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
    """Return the member that has the candidate's address, None if none.

    A candidate with a member's address is that replica on another data
    folder.
    """
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
